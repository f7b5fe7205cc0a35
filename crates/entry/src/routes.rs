//! Paths of the callers' listener.

use http::Method;
use wire::caller::ErrorCode;

use crate::error::RequestError;

/// What a request's path and method ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route<'path> {
    /// Whether the process lives.
    Health,
    /// Whether it shall be sent requests.
    Ready,
    /// The models that the customer may use.
    Models,
    /// One of these models.
    Model(&'path str),
    /// A chat.
    Chat,
    /// A plain completion.
    Completion,
    /// A call of a plain service.
    Service {
        /// The service.
        name: &'path str,
        /// The call.
        call: &'path str,
    },
}

const SERVICES_PREFIX: &str = "/v1/services/";
const MODELS_PREFIX: &str = "/v1/models/";

/// Finds the route of a request.
///
/// # Errors
///
/// [`ErrorCode::NotFound`] or [`ErrorCode::MethodNotAllowed`].
pub fn find_route<'path>(method: &Method, path: &'path str) -> Result<Route<'path>, RequestError> {
    let route = match_path(path).ok_or_else(|| {
        let message = format!("there is no path {path:?}");
        RequestError::not_run(ErrorCode::NotFound, message).with_param("path")
    })?;
    let allowed = match route {
        Route::Health | Route::Ready | Route::Models | Route::Model(_) => Method::GET,
        Route::Chat | Route::Completion | Route::Service { .. } => Method::POST,
    };
    if *method == allowed {
        return Ok(route);
    }
    let message = format!("{path} takes {allowed} only");
    let error = RequestError::not_run(ErrorCode::MethodNotAllowed, message);
    Err(error.with_param("method").with_allowed_method(allowed))
}

fn match_path(path: &str) -> Option<Route<'_>> {
    if let Some(rest) = path.strip_prefix(SERVICES_PREFIX) {
        let (name, call) = rest.split_once('/')?;
        return Some(Route::Service { name, call });
    }
    if let Some(name) = path.strip_prefix(MODELS_PREFIX) {
        return Some(Route::Model(name));
    }
    match path {
        "/healthz" => Some(Route::Health),
        "/readyz" => Some(Route::Ready),
        "/v1/models" => Some(Route::Models),
        "/v1/chat/completions" => Some(Route::Chat),
        "/v1/completions" => Some(Route::Completion),
        _ => None,
    }
}
