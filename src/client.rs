//! The operators' side of a node's admin listener.

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

use crate::options::OperatorAccess;

/// Longest wait for a node's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Why a node gave no answer to work with.
#[derive(Debug, thiserror::Error)]
pub enum AdminError {
    /// No node was reached: nothing took effect.
    #[error("no node can be reached ({0}): check --node")]
    Unreached(String),
    /// A node was reached and its answer is lost.
    #[error("the answer of {0} is lost")]
    ResponseLost(SocketAddr),
    /// A node refused the call.
    #[error("{address} refused: {problem}")]
    Refused {
        /// The node's admin address.
        address: SocketAddr,
        /// Why.
        problem: String,
    },
    /// There is no such record.
    #[error("there is no such record")]
    NotFound,
    /// Something else listens at the address.
    #[error(
        "{0} is no admin listener. A gateway has none: its configuration is in the platform's \
         store, and its log and its metrics address tell the rest (docs/OPERATIONS.md)"
    )]
    NotAdmin(SocketAddr),
}

/// Calls nodes' admin listeners.
pub struct AdminClient {
    client: WebClient,
    nodes: Vec<SocketAddr>,
    authorization: HeaderValue,
}

impl AdminClient {
    /// A client.
    ///
    /// # Errors
    ///
    /// When the key can't stand in a header.
    pub fn new(access: &OperatorAccess) -> eyre::Result<Self> {
        let mut authorization = HeaderValue::from_str(&format!("Bearer {}", access.key.expose()))?;
        authorization.set_sensitive(true);
        Ok(Self {
            client: WebClient::default(),
            nodes: access.nodes.clone(),
            authorization,
        })
    }

    /// Sends an amendment to the first node that can be reached.
    pub async fn amend(&self, body: &AmendRequest) -> Result<AmendResponse, AdminError> {
        self.first_reached(Method::POST, "/amend", Some(body)).await
    }

    /// Reads records.
    pub async fn records(&self, kind: Option<RecordKind>) -> Result<Vec<RecordBody>, AdminError> {
        let path = match kind {
            Some(kind) => format!("/records?kind={}", kind.as_str()),
            None => "/records".to_owned(),
        };
        self.first_reached(Method::GET, &path, NO_BODY).await
    }

    /// Reads one record.
    pub async fn record(&self, kind: RecordKind, name: &str) -> Result<RecordBody, AdminError> {
        let path = format!("/records/{}/{name}", kind.as_str());
        self.first_reached(Method::GET, &path, NO_BODY).await
    }

    /// Reads changes, newest first.
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
        self.first_reached(Method::GET, &path, NO_BODY).await
    }

    /// Reads the status of the first node that can be reached.
    pub async fn status(&self) -> Result<NodeStatus, AdminError> {
        self.first_reached(Method::GET, "/status", NO_BODY).await
    }

    /// Reads the status of one node.
    pub async fn status_of(&self, address: SocketAddr) -> Result<NodeStatus, AdminError> {
        self.call(address, Method::GET, "/status", NO_BODY).await
    }

    /// Reads the events of all nodes, those named and those that they know, at the same time.
    pub async fn all_events(&self) -> Vec<NodeEvents> {
        let mut asked = Vec::new();
        for address in self.all_nodes().await {
            asked.push(self.events_of(address));
        }
        futures::future::join_all(asked).await
    }

    /// Admin addresses of the nodes named and of all that the first reached one knows.
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

    async fn first_reached<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Q>,
    ) -> Result<A, AdminError> {
        let mut last = AdminError::Unreached("no address".to_owned());
        for address in &self.nodes {
            match self.call(*address, method.clone(), path, body).await {
                Err(error @ AdminError::Unreached(_)) => last = error,
                answer => return answer,
            }
        }
        Err(last)
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Q>,
    ) -> Result<A, AdminError> {
        let lost = |_| AdminError::ResponseLost(address);
        let mut request = json_request(method, address, path, body).map_err(lost)?;
        request
            .headers_mut()
            .insert(header::AUTHORIZATION, self.authorization.clone());
        let answer = match self.client.send(address, request, ANSWER_TIMEOUT).await {
            Ok(answer) => answer,
            Err(error @ (ClientError::NotConnected(_) | ClientError::Refused(_))) => {
                return Err(AdminError::Unreached(error.to_string()));
            }
            Err(_) => return Err(AdminError::ResponseLost(address)),
        };
        let status = answer.status();
        let read = tokio::time::timeout(
            ANSWER_TIMEOUT,
            read_body(answer.into_body(), MAX_ANSWER_BYTES),
        );
        let Ok(Ok(bytes)) = read.await else {
            return Err(AdminError::ResponseLost(address));
        };
        match status {
            // A gateway's callers, readiness and metrics addresses answer too, with other texts.
            StatusCode::OK if !is_json(&bytes) => Err(AdminError::NotAdmin(address)),
            StatusCode::NOT_FOUND if !is_admin_text(&bytes) => Err(AdminError::NotAdmin(address)),
            StatusCode::OK => parse_json(&bytes).map_err(|error| AdminError::Refused {
                address,
                problem: format!("an answer of another release? {error}"),
            }),
            StatusCode::NOT_FOUND => Err(AdminError::NotFound),
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

fn is_admin_text(bytes: &[u8]) -> bool {
    [RECORD_NOT_FOUND, PATH_NOT_FOUND]
        .iter()
        .any(|text| text.as_bytes() == bytes.trim_ascii())
}

const NO_BODY: Option<&()> = None;
