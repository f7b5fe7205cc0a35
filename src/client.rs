//! Client of the nodes' admin API.

use std::net::SocketAddr;
use std::time::Duration;

use domain::record::RecordKind;
use events::{EventRecord, NodeEvents};
use http::{HeaderValue, Method, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;
use web::client::json_request;
use web::{ClientError, WebClient, parse_json, read_body};
use wire::admin::{
    AmendRequest, AmendResponse, ChangeBody, NodeStatus, PATH_NOT_FOUND, RECORD_NOT_FOUND,
    RecordBody,
};

use crate::options::AdminAccess;

/// Timeout of a node's response, and again of its body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Why a request to the admin API failed.
#[derive(Debug, thiserror::Error)]
pub enum AdminError {
    /// No node could be reached; nothing was applied.
    #[error("no node can be reached ({0}): check --node")]
    Unreachable(String),
    /// The node was reached, but its response was lost; the request may have been applied.
    #[error("the response of {0} was lost")]
    ResponseLost(SocketAddr),
    /// The request can't be built; nothing was sent.
    #[error("the request can't be built: {0}")]
    InvalidRequest(String),
    /// The node responded in a form that this release doesn't know; the request may have been
    /// applied.
    #[error(
        "the response of {address} can't be decoded, perhaps the node runs another release: \
         {problem}"
    )]
    Undecodable {
        /// Admin address of the node.
        address: SocketAddr,
        /// Place and kind of the problem.
        problem: String,
    },
    /// The node refused the request.
    #[error("{address} refused: {problem}")]
    Refused {
        /// Admin address of the node.
        address: SocketAddr,
        /// Reason for the operator.
        problem: String,
    },
    /// The record does not exist.
    #[error("there is no such record")]
    RecordNotFound,
    /// The server at the address doesn't serve the admin API.
    #[error(
        "{0} is no admin listener. A gateway has none: its configuration is in the platform's \
         store, and its state is shown in its log and at its metrics address (docs/OPERATIONS.md)"
    )]
    NotAdminListener(SocketAddr),
}

/// Client of the admin API of one or more nodes.
pub struct AdminClient {
    client: WebClient,
    nodes: Vec<SocketAddr>,
    authorization: HeaderValue,
}

impl AdminClient {
    /// Creates a client that tries the nodes in the order given.
    ///
    /// # Errors
    ///
    /// When the key contains characters that are not allowed in a header.
    pub fn new(access: &AdminAccess) -> eyre::Result<Self> {
        let mut authorization = HeaderValue::from_str(&format!("Bearer {}", access.key.expose()))?;
        authorization.set_sensitive(true);
        Ok(Self {
            client: WebClient::default(),
            nodes: access.nodes.clone(),
            authorization,
        })
    }

    /// Sends an amendment to the first reachable node.
    pub async fn amend(&self, body: &AmendRequest) -> Result<AmendResponse, AdminError> {
        self.call_first_reachable(Method::POST, "/amend", Some(body))
            .await
    }

    /// Reads all records, or those of one kind.
    pub async fn records(&self, kind: Option<RecordKind>) -> Result<Vec<RecordBody>, AdminError> {
        let path = match kind {
            Some(kind) => format!("/records?kind={}", kind.as_str()),
            None => "/records".to_owned(),
        };
        self.call_first_reachable(Method::GET, &path, NO_BODY).await
    }

    /// Reads one record; [`AdminError::RecordNotFound`] if there is none.
    pub async fn record(&self, kind: RecordKind, name: &str) -> Result<RecordBody, AdminError> {
        let path = format!("/records/{}/{name}", kind.as_str());
        self.call_first_reachable(Method::GET, &path, NO_BODY).await
    }

    /// Reads the last 100 changes, newest first.
    pub async fn history(
        &self,
        kind: Option<RecordKind>,
        name: Option<&str>,
    ) -> Result<Vec<ChangeBody>, AdminError> {
        let mut path = "/history?limit=100".to_owned();
        if let Some(kind) = kind {
            path.push_str("&kind=");
            path.push_str(kind.as_str());
        }
        if let Some(name) = name {
            path.push_str("&name=");
            path.push_str(name);
        }
        self.call_first_reachable(Method::GET, &path, NO_BODY).await
    }

    /// Reads the status of the first reachable node.
    pub async fn status(&self) -> Result<NodeStatus, AdminError> {
        self.call_first_reachable(Method::GET, "/status", NO_BODY)
            .await
    }

    /// Reads the status of one node.
    pub async fn status_of(&self, address: SocketAddr) -> Result<NodeStatus, AdminError> {
        self.call(address, Method::GET, "/status", NO_BODY).await
    }

    /// Reads the events of all nodes concurrently; see [`Self::all_nodes`].
    pub async fn all_events(&self) -> Vec<NodeEvents> {
        let mut requests = Vec::new();
        for address in self.all_nodes().await {
            requests.push(self.events_of(address));
        }
        futures::future::join_all(requests).await
    }

    /// Returns the admin addresses of the configured nodes and of all members that the first
    /// reachable node knows.
    pub async fn all_nodes(&self) -> Vec<SocketAddr> {
        let mut nodes = self.nodes.clone();
        if let Ok(status) = self.status().await {
            nodes.extend(status.members.iter().filter_map(|member| member.admin));
        }
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }

    async fn events_of(&self, address: SocketAddr) -> NodeEvents {
        let events: Result<Vec<EventRecord>, AdminError> =
            self.call(address, Method::GET, "/events", NO_BODY).await;
        NodeEvents {
            node: address.to_string(),
            events: events.map_err(|error| error.to_string()),
        }
    }

    async fn call_first_reachable<Q: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Q>,
    ) -> Result<R, AdminError> {
        let mut last_error = AdminError::Unreachable("no address is given".to_owned());
        for address in &self.nodes {
            match self.call(*address, method.clone(), path, body).await {
                Err(error @ AdminError::Unreachable(_)) => last_error = error,
                result => return result,
            }
        }
        Err(last_error)
    }

    async fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Q>,
    ) -> Result<R, AdminError> {
        let mut request = json_request(method, address, path, body)
            .map_err(|error| AdminError::InvalidRequest(error.to_string()))?;
        request
            .headers_mut()
            .insert(header::AUTHORIZATION, self.authorization.clone());
        let response = match self.client.send(address, request, RESPONSE_TIMEOUT).await {
            Ok(response) => response,
            Err(error @ (ClientError::NotConnected(_) | ClientError::Refused(_))) => {
                return Err(AdminError::Unreachable(error.to_string()));
            }
            Err(_) => return Err(AdminError::ResponseLost(address)),
        };
        let status = response.status();
        let body = tokio::time::timeout(
            RESPONSE_TIMEOUT,
            read_body(response.into_body(), MAX_RESPONSE_BYTES),
        );
        let Ok(Ok(bytes)) = body.await else {
            return Err(AdminError::ResponseLost(address));
        };
        match status {
            // The listeners of a gateway respond too, but not in the format of the admin API.
            StatusCode::OK if !is_json(&bytes) => Err(AdminError::NotAdminListener(address)),
            StatusCode::NOT_FOUND if !is_admin_error_text(&bytes) => {
                Err(AdminError::NotAdminListener(address))
            }
            StatusCode::OK => parse_json(&bytes).map_err(|error| AdminError::Undecodable {
                address,
                problem: error.to_string(),
            }),
            StatusCode::NOT_FOUND => Err(AdminError::RecordNotFound),
            _ => Err(AdminError::Refused {
                address,
                problem: String::from_utf8_lossy(&bytes).into_owned(),
            }),
        }
    }
}

fn is_json(bytes: &[u8]) -> bool {
    serde_json::from_slice::<serde::de::IgnoredAny>(bytes).is_ok()
}

fn is_admin_error_text(bytes: &[u8]) -> bool {
    [RECORD_NOT_FOUND, PATH_NOT_FOUND]
        .iter()
        .any(|text| text.as_bytes() == bytes.trim_ascii())
}

/// A missing body, with a type that can be serialized.
const NO_BODY: Option<&()> = None;
