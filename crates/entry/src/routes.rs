//! Paths of the callers' listener.

use http::Method;
use wire::caller::ErrorCode;

use crate::failure::CallerFailure;

/// What a request's path and method ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerRoute<'path> {
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

const SERVICES: &str = "/v1/services/";
const MODELS: &str = "/v1/models/";

/// Finds the route of a request.
///
/// # Errors
///
/// [`ErrorCode::NotFound`] or [`ErrorCode::MethodNotAllowed`].
pub fn find_route<'path>(
    method: &Method,
    path: &'path str,
) -> Result<CallerRoute<'path>, CallerFailure> {
    let route = known_path(path).ok_or_else(|| {
        let message = format!("there is no path {path:?}");
        CallerFailure::not_run(ErrorCode::NotFound, message).at("path")
    })?;
    let allowed = match route {
        CallerRoute::Health | CallerRoute::Ready | CallerRoute::Models | CallerRoute::Model(_) => {
            Method::GET
        }
        CallerRoute::Chat | CallerRoute::Completion | CallerRoute::Service { .. } => Method::POST,
    };
    if *method == allowed {
        return Ok(route);
    }
    let message = format!("{path} takes {allowed} only");
    let failure = CallerFailure::not_run(ErrorCode::MethodNotAllowed, message);
    Err(failure.at("method").allow(allowed))
}

fn known_path(path: &str) -> Option<CallerRoute<'_>> {
    if let Some(rest) = path.strip_prefix(SERVICES) {
        let (name, call) = rest.split_once('/')?;
        return Some(CallerRoute::Service { name, call });
    }
    if let Some(name) = path.strip_prefix(MODELS) {
        return Some(CallerRoute::Model(name));
    }
    match path {
        "/healthz" => Some(CallerRoute::Health),
        "/readyz" => Some(CallerRoute::Ready),
        "/v1/models" => Some(CallerRoute::Models),
        "/v1/chat/completions" => Some(CallerRoute::Chat),
        "/v1/completions" => Some(CallerRoute::Completion),
        _ => None,
    }
}
