//! Request admission: route lookup, API key check and reading the body.

use std::rc::Rc;
use std::time::Duration;

use adapter::RequestHeaders;
use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use serving::hashing::stable_hash;
use serving::{GatewayConfig, Route};

use crate::admitted::AdmittedRequest;
use crate::local_response::LocalResponse;
use crate::node::GatewayNode;

/// Time limit for reading a client's request body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Response to a request that is not admitted, and the reason for the log.
pub type Rejection = (LocalResponse, &'static str);

/// Admits a request after its body has been read completely.
///
/// # Errors
///
/// [`Rejection`] if no route matches, the key is missing or unknown, or the body can't be read.
pub async fn admit(
    node: &Rc<GatewayNode>,
    config: &GatewayConfig,
    request: Request<Incoming>,
    headers: &RequestHeaders,
) -> Result<AdmittedRequest, Rejection> {
    let arrived = node.now();
    let (head, body) = request.into_parts();
    let host = head
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| head.uri.host())
        .unwrap_or_default();
    let host = host
        .split(':')
        .next()
        .unwrap_or_default()
        .to_ascii_lowercase();
    let route = config
        .route(&host, head.uri.path())
        .ok_or((LocalResponse::NoRoute, "no route matches the host and path"))?;
    let key = authenticate(config, route, headers)?;
    let service = route
        .service_for(stable_hash(&headers.id))
        .ok_or((LocalResponse::NoRoute, "route has no service"))?
        .clone();
    let body = read_body(body, config.limits.body_bytes).await?;
    let timeout = headers
        .time_left
        .map_or(route.timeout, |left| left.min(route.timeout));
    Ok(AdmittedRequest {
        id: headers.id.clone(),
        method: head.method,
        uri: to_origin_form(head.uri),
        headers: head.headers,
        body,
        route: route.name.clone(),
        kind: route.kind,
        service,
        model: headers.model.clone(),
        prompt_tokens: headers.prompt_tokens,
        customer: key.as_ref().map(|(customer, _)| customer.clone()),
        priority: key.and_then(|(_, rank)| rank).unwrap_or(route.priority),
        max_attempts: route.max_attempts,
        target_latency: route.target_latency,
        arrived,
        deadline: arrived + timeout,
        last_event: headers.last_event,
    })
}

type AuthenticatedClient = (domain::CustomerId, Option<u8>);

fn authenticate(
    config: &GatewayConfig,
    route: &Route,
    headers: &RequestHeaders,
) -> Result<Option<AuthenticatedClient>, Rejection> {
    let Some(keys) = &config.keys else {
        return Ok(None);
    };
    let key = headers.key.as_ref().and_then(|key| keys.get(key));
    match key {
        Some(key) => Ok(Some((key.customer.clone(), key.priority))),
        None if route.public => Ok(None),
        None => Err((LocalResponse::Unauthorized, "unknown API key")),
    }
}

async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, Rejection> {
    let read = Limited::new(body, max_bytes).collect();
    match tokio::time::timeout(BODY_READ_TIMEOUT, read).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err((LocalResponse::BodyTooLarge, "request body too large"))
        }
        Ok(Err(_)) | Err(_) => Err((LocalResponse::IncompleteBody, "incomplete request body")),
    }
}

/// Reduces an absolute-form request target to origin form (path and query).
fn to_origin_form(uri: http::Uri) -> http::Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or(uri)
}
