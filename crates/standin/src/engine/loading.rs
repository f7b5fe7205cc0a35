//! Loading weights and adapters, which takes time.

use std::net::SocketAddr;
use std::time::Duration;

use domain::{ModelName, VersionName};
use http::Method;
use http_body_util::BodyExt;
use web::client::json_request;
use web::{ClientError, WebClient};
use wire::engine::EngineAssignment;

use crate::options::EngineOptions;

/// Adapters and a change of role take this part of the time of whole weights.
const PARTIAL_LOAD_DIVISOR: u32 = 10;

/// Pause before the weights are asked for again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait for the store to begin; a rate-limited one may be busy with others.
const STORE_TIMEOUT: Duration = Duration::from_mins(10);

/// What lies in a host's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedWeights {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: VersionName,
}

/// What an assignment needs loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadScope {
    /// Nothing.
    Nothing,
    /// Adapters, or the set-up of a role.
    Partial,
    /// The whole weights.
    Full,
}

/// What is needed to go from one assignment to another.
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

/// Takes as long as loading what an assignment needs.
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

/// Reads a model's weights to their end.
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
