//! Simulated loading of weights and adapters.

use std::net::SocketAddr;
use std::time::Duration;

use domain::{ModelName, VersionName};
use http::Method;
use http_body_util::BodyExt;
use web::client::json_request;
use web::{ClientError, WebClient};
use wire::engine::EngineAssignment;

use crate::options::EngineOptions;

/// Loading adapters or changing the role takes the time of a full load divided by this.
const PARTIAL_LOAD_DIVISOR: u32 = 10;

/// Delay before a failed download is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout for the response of the store, long because a rate-limited store may be busy with other
/// downloads.
const STORE_TIMEOUT: Duration = Duration::from_mins(10);

/// The weights in a host's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedWeights {
    /// Model that the weights belong to.
    pub model: ModelName,
    /// Version of that model.
    pub version: VersionName,
}

/// How much must be loaded for an assignment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadScope {
    /// Neither weights, adapters nor role change.
    Nothing,
    /// The weights are loaded, but adapters or role change.
    Partial,
    /// The weights of another model or version.
    Full,
}

/// Returns how much must be loaded to change from one assignment to another.
#[must_use]
pub fn load_scope(
    loaded: Option<&LoadedWeights>,
    before: Option<&EngineAssignment>,
    wanted: &EngineAssignment,
) -> LoadScope {
    let loaded_already = loaded
        .is_some_and(|loaded| loaded.model == wanted.model && loaded.version == wanted.version);
    if !loaded_already {
        return LoadScope::Full;
    }
    let unchanged = before
        .is_some_and(|before| before.adapters == wanted.adapters && before.role == wanted.role);
    if unchanged {
        LoadScope::Nothing
    } else {
        LoadScope::Partial
    }
}

/// Waits as long as loading takes; downloads full weights from the store if there is one, and
/// retries until it succeeds.
pub async fn load(
    client: &WebClient,
    options: &EngineOptions,
    wanted: &EngineAssignment,
    scope: LoadScope,
) {
    let time = Duration::from_millis(options.load_ms);
    match (scope, options.weights) {
        (LoadScope::Nothing, _) => {}
        (LoadScope::Partial, _) => tokio::time::sleep(time / PARTIAL_LOAD_DIVISOR).await,
        (LoadScope::Full, None) => tokio::time::sleep(time).await,
        (LoadScope::Full, Some(store)) => {
            while fetch(client, store, wanted).await.is_err() {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Downloads a model's weights and discards them.
async fn fetch(
    client: &WebClient,
    store: SocketAddr,
    wanted: &EngineAssignment,
) -> Result<(), ClientError> {
    let path = format!("/weights/{}/{}", wanted.model, wanted.version);
    let request = json_request(Method::GET, store, &path, None::<&()>)?;
    let response = client.send(store, request, STORE_TIMEOUT).await?;
    if !response.status().is_success() {
        let reason = format!("status {} to weights", response.status());
        return Err(ClientError::Broken(store, reason));
    }
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        frame.map_err(|error| ClientError::Broken(store, error.to_string()))?;
    }
    Ok(())
}
