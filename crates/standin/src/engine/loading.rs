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
const SMALL_PART: u32 = 10;

/// Pause before the weights are asked for again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

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
pub enum LoadNeed {
    /// Nothing.
    Nothing,
    /// Adapters, or the set-up of a role.
    Small,
    /// The whole weights.
    Weights,
}

/// What is needed to go from one assignment to another.
#[must_use]
pub fn load_need(
    loaded: Option<&LoadedWeights>,
    before: Option<&EngineAssignment>,
    wanted: &EngineAssignment,
) -> LoadNeed {
    let there = loaded
        .is_some_and(|loaded| loaded.model == wanted.model && loaded.version == wanted.version);
    if !there {
        return LoadNeed::Weights;
    }
    let same = before
        .is_some_and(|before| before.adapters == wanted.adapters && before.role == wanted.role);
    if same {
        LoadNeed::Nothing
    } else {
        LoadNeed::Small
    }
}

/// Takes as long as loading what an assignment needs.
pub async fn load(
    client: &WebClient,
    options: &EngineOptions,
    wanted: &EngineAssignment,
    need: LoadNeed,
) {
    let time = Duration::from_millis(options.load_ms);
    match (need, options.weights) {
        (LoadNeed::Nothing, _) => {}
        (LoadNeed::Small, _) => tokio::time::sleep(time / SMALL_PART).await,
        (LoadNeed::Weights, None) => tokio::time::sleep(time).await,
        (LoadNeed::Weights, Some(store)) => {
            while fetch(client, store, wanted).await.is_err() {
                tokio::time::sleep(RETRY_PAUSE).await;
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
    let answer = client.send(store, request, STORE_TIMEOUT).await?;
    if !answer.status().is_success() {
        let problem = format!("status {} to weights", answer.status());
        return Err(ClientError::Broken(store, problem));
    }
    let mut body = answer.into_body();
    while let Some(frame) = body.frame().await {
        frame.map_err(|error| ClientError::Broken(store, error.to_string()))?;
    }
    Ok(())
}
