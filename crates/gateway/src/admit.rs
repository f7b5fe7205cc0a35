//! Admitting a request: its route, its key, its body.

use std::rc::Rc;
use std::time::Duration;

use adapter::RequestHeaders;
use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use serving::hashing::stable_hash;
use serving::{GatewayConfig, Route};

use crate::forward::ForwardRequest;
use crate::local_reply::LocalReply;
use crate::node::GatewayNode;

/// Longest wait for a caller's body.
const BODY_LIMIT: Duration = Duration::from_secs(10);

/// The final answer to a request that is not admitted, and why.
pub type Refusal = (LocalReply, &'static str);

/// Admits a request, once its body is there whole.
///
/// # Errors
///
/// [`Refusal`].
pub async fn admit(
    node: &Rc<GatewayNode>,
    config: &GatewayConfig,
    request: Request<Incoming>,
    facts: &RequestHeaders,
) -> Result<ForwardRequest, Refusal> {
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
        .ok_or((LocalReply::NoRoute, "no route"))?;
    let key = find_key(config, route, facts)?;
    let service = route
        .service_for(stable_hash(&facts.id))
        .ok_or((LocalReply::NoRoute, "the route has no service"))?
        .clone();
    let body = read_body(body, config.limits.body_bytes).await?;
    let wait = facts
        .time_left
        .map_or(route.timeout, |left| left.min(route.timeout));
    Ok(ForwardRequest {
        id: facts.id.clone(),
        method: head.method,
        uri: path_only(head.uri),
        headers: head.headers,
        body,
        route: route.name.clone(),
        kind: route.kind,
        service,
        model: facts.model.clone(),
        prompt_tokens: facts.prompt_tokens,
        customer: key.as_ref().map(|(customer, _)| customer.clone()),
        priority: key.and_then(|(_, rank)| rank).unwrap_or(route.priority),
        max_attempts: route.max_attempts,
        target_latency: route.target_latency,
        arrived,
        deadline: arrived + wait,
        last_event: facts.last_event,
    })
}

type KnownCaller = (domain::CustomerId, Option<u8>);

fn find_key(
    config: &GatewayConfig,
    route: &Route,
    facts: &RequestHeaders,
) -> Result<Option<KnownCaller>, Refusal> {
    let Some(keys) = &config.keys else {
        return Ok(None);
    };
    let key = facts.key.as_ref().and_then(|key| keys.get(key));
    match key {
        Some(key) => Ok(Some((key.customer.clone(), key.priority))),
        None if route.public => Ok(None),
        None => Err((LocalReply::Unauthorized, "unknown key")),
    }
}

async fn read_body(body: Incoming, most: usize) -> Result<Bytes, Refusal> {
    let reading = Limited::new(body, most).collect();
    match tokio::time::timeout(BODY_LIMIT, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err((LocalReply::BodyTooLarge, "the body is too large"))
        }
        Ok(Err(_)) | Err(_) => Err((LocalReply::IncompleteBody, "the body did not arrive whole")),
    }
}

/// The path and query alone, for callers that write a whole URI in the request line.
fn path_only(uri: http::Uri) -> http::Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or(uri)
}
