//! Routes of the client API.

use http::Method;
use wire::client_api::ErrorCode;

use crate::error::RequestError;

/// Route of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route<'path> {
    /// Liveness check.
    Health,
    /// Readiness check for load balancers.
    Ready,
    /// List of the models granted to the customer.
    Models,
    /// One of these models, by name.
    Model(&'path str),
    /// Chat completion.
    Chat,
    /// Text completion.
    Completion,
    /// Call of a plain service.
    Service {
        /// Service name; not yet checked against the configuration.
        name: &'path str,
        /// Path of the call within the service; may contain slashes.
        call: &'path str,
    },
}

const SERVICES_PREFIX: &str = "/v1/services/";
const MODELS_PREFIX: &str = "/v1/models/";

/// Returns the route for a method and path.
///
/// # Errors
///
/// [`ErrorCode::NotFound`] for an unknown path, [`ErrorCode::MethodNotAllowed`] for a known path
/// with another method.
pub fn find_route<'path>(method: &Method, path: &'path str) -> Result<Route<'path>, RequestError> {
    let route = match_path(path).ok_or_else(|| {
        let message = format!("path {path:?} does not exist");
        RequestError::not_run(ErrorCode::NotFound, message).with_param("path")
    })?;
    let allowed = match route {
        Route::Health | Route::Ready | Route::Models | Route::Model(_) => Method::GET,
        Route::Chat | Route::Completion | Route::Service { .. } => Method::POST,
    };
    if *method == allowed {
        return Ok(route);
    }
    let message = format!("{path} only accepts {allowed}");
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
