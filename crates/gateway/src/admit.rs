//! Request admission: route lookup, API key check and reading the body.

use std::rc::Rc;
use std::time::Duration;

use adapter::RequestHeaders;
use bytes::Bytes;
use domain::ServiceName;
use http::{Request, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serving::hashing::stable_hash;
use serving::regions::RegionSet;
use serving::{GatewayConfig, KeyOwner, Route};
use web::{BodyError, read_body};

use crate::admitted::AdmittedRequest;
use crate::held::{ClientHold, FixedHold, HeldBody, ReadPhase, TOO_MUCH_HELD};
use crate::local_response::LocalResponse;
use crate::node::GatewayNode;

/// Time limit for reading a client's request body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for reading the body of a rejected request, whose client waits for the response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a body that is discarded while the configured limit is unknown, in bytes.
const DEFAULT_DISCARD_BYTES: usize = 4 << 20;

/// `Retry-After` of a request that an unconfirmed configuration does not allow; other nodes may know.
const UNPROVED_RETRY_AFTER: Duration = Duration::from_millis(250);

/// `Retry-After` of a request whose body came too slowly for what the node holds; other nodes may have room.
const SLOW_BODY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Response to a request that is not admitted.
#[derive(Debug, Clone, Copy)]
pub struct Rejection {
    /// Response for the client.
    pub response: LocalResponse,
    /// Reason for the log.
    pub reason: &'static str,
    /// Whether the request was read to its end. If not, the connection closes after the response.
    pub is_read: bool,
}

impl Rejection {
    fn unread(response: LocalResponse, reason: &'static str) -> Self {
        Self {
            response,
            reason,
            is_read: false,
        }
    }

    /// Replaces a refusal that the configuration decided while nobody has confirmed it lately: another
    /// node may know a newer one, which allows the request.
    fn unless_unproved(self, node: &GatewayNode) -> Self {
        let is_final = matches!(
            self.response,
            LocalResponse::NoRoute | LocalResponse::Unauthorized | LocalResponse::BodyTooLarge
        );
        if !is_final || node.is_config_proved() {
            return self;
        }
        Self {
            response: LocalResponse::NotExecuted(UNPROVED_RETRY_AFTER),
            reason: "the configuration may be out of date",
            ..self
        }
    }

    /// Reads the rest of the request before the response: if the connection were closed on it, the
    /// client's next request would be cut off.
    async fn after_body(self, body: Incoming, max_bytes: usize, client: &ClientHold) -> Self {
        client.set_read_phase(Some(ReadPhase::Request));
        let discarding = discard_body(body, max_bytes);
        let discarded = tokio::time::timeout(DISCARD_TIMEOUT, discarding).await;
        client.set_read_phase(None);
        Self {
            is_read: discarded.unwrap_or(false),
            ..self
        }
    }
}

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
    client: &Rc<ClientHold>,
) -> Result<AdmittedRequest, Rejection> {
    let arrived = node.now();
    let (head, body) = request.into_parts();
    let (route, key, service) = match check_head(config, &head, headers) {
        Ok(checked) => checked,
        Err(rejection) => {
            let rejection = rejection.unless_unproved(node);
            let max_bytes = config.limits.body_bytes;
            return Err(rejection.after_body(body, max_bytes, client).await);
        }
    };
    let body = HeldBody::of_request(body, client);
    let body = read_request_body(body, config.limits.body_bytes, client).await;
    let (body, held_body) = body.map_err(|rejection| rejection.unless_unproved(node))?;
    let timeout = headers
        .time_left
        .map_or(route.timeout, |left| left.min(route.timeout));
    let waited = headers.time_left.map_or(Duration::ZERO, |_| {
        node.overload
            .record_time_left(&route.name, route.timeout, timeout, arrived)
    });
    Ok(AdmittedRequest {
        id: headers.id.clone(),
        method: head.method,
        uri: to_origin_form(head.uri),
        headers: head.headers,
        body,
        _held_body: held_body,
        route: route.name.clone(),
        kind: route.kind,
        service,
        model: headers.model.clone(),
        prompt_tokens: headers.prompt_tokens,
        max_output_tokens: headers.max_output_tokens,
        shared_parts: headers.shared_parts.as_slice().into(),
        customer: key.map(|key| key.customer.clone()),
        priority: key.and_then(|key| key.priority).unwrap_or(route.priority),
        max_attempts: route.max_attempts,
        target_latency: route.target_latency,
        waited,
        arrived,
        deadline: arrived + timeout,
        last_event: headers.last_event,
        tried: Rc::default(),
        regions: RegionSet::intersect(
            route.regions.as_ref(),
            key.and_then(|key| key.regions.as_ref()),
        ),
    })
}

/// Rejects a request while no configuration is known.
pub async fn reject_unconfigured(
    response: LocalResponse,
    body: Incoming,
    client: &ClientHold,
) -> Rejection {
    Rejection::unread(response, "no configuration loaded yet")
        .after_body(body, DEFAULT_DISCARD_BYTES, client)
        .await
}

/// Reads a body without keeping it; returns whether it ended within `max_bytes`.
async fn discard_body(mut body: Incoming, max_bytes: usize) -> bool {
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        bytes += frame.data_ref().map_or(0, Bytes::len);
        if bytes > max_bytes {
            return false;
        }
    }
    true
}

/// Route, client and service of an admitted request.
type CheckedHead<'a> = (&'a Route, Option<&'a KeyOwner>, ServiceName);

fn check_head<'a>(
    config: &'a GatewayConfig,
    head: &http::request::Parts,
    headers: &RequestHeaders,
) -> Result<CheckedHead<'a>, Rejection> {
    let host = head
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| head.uri.host())
        .unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    // The fully qualified form of a name ends with a dot.
    let host = host.strip_suffix('.').unwrap_or(host).to_ascii_lowercase();
    let route = config
        .route(&host, head.uri.path())
        .ok_or(Rejection::unread(
            LocalResponse::NoRoute,
            "no route matches the host and path",
        ))?;
    let key = authenticate(config, route, headers)?;
    let service = route
        .service_for(stable_hash(&headers.id))
        .ok_or(Rejection::unread(
            LocalResponse::NoRoute,
            "route has no service",
        ))?
        .clone();
    Ok((route, key, service))
}

fn authenticate<'a>(
    config: &'a GatewayConfig,
    route: &Route,
    headers: &RequestHeaders,
) -> Result<Option<&'a KeyOwner>, Rejection> {
    let Some(keys) = &config.keys else {
        return Ok(None);
    };
    let key = headers.key.as_ref().and_then(|key| keys.get(key));
    match key {
        Some(key) => Ok(Some(key)),
        None if route.public => Ok(None),
        None => Err(Rejection::unread(
            LocalResponse::Unauthorized,
            "unknown API key",
        )),
    }
}

async fn read_request_body(
    mut body: HeldBody<Incoming>,
    max_bytes: usize,
    client: &Rc<ClientHold>,
) -> Result<(Bytes, FixedHold), Rejection> {
    let read = tokio::time::timeout(BODY_READ_TIMEOUT, read_body(&mut body, max_bytes)).await;
    if client.is_cut() {
        client.restart();
        return Err(Rejection::unread(
            LocalResponse::NotExecuted(SLOW_BODY_RETRY_AFTER),
            TOO_MUCH_HELD,
        ));
    }
    match read {
        Ok(Ok(bytes)) => Ok((bytes, body.keep())),
        Ok(Err(BodyError::TooLarge(_))) => Err(Rejection::unread(
            LocalResponse::BodyTooLarge,
            "request body too large",
        )),
        Ok(Err(_)) => Err(Rejection::unread(
            LocalResponse::IncompleteBody,
            "incomplete request body",
        )),
        // Whether the client or this node was slow can't be told, so the request does not count as wrong.
        Err(_) => Err(Rejection::unread(
            LocalResponse::LateBody,
            "request body came too slowly",
        )),
    }
}

/// Reduces an absolute-form request target to origin form (path and query).
fn to_origin_form(uri: http::Uri) -> http::Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or(uri)
}
