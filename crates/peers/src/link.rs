//! The initiating side of a link.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use control::config::ConfigStatus;
use control::config::poll::jittered;
use domain::{ConfigRevision, NodeId};
use events::{EventCode, EventRecorder, EventSubject};
use h2::RecvStream;
use h2::client::SendRequest;
use http::{Method, Request, StatusCode};
use tokio::net::TcpStream;
use tokio::sync::watch;
use wire::peer::{
    MAX_DIGEST_BYTES, MAX_HELLO_BYTES, MAX_SNAPSHOT_BYTES, NEWEST_VERSION, NONCE_BYTES,
    OLDEST_VERSION, PeerDigest, PeerHello, PeerWelcome, decode_message, encode_message,
};

use crate::auth::{FrameAuthenticator, FrameSide, SharedKey};
use crate::error::LinkError;
use crate::evidence::EvidenceExchange;
use crate::gossip::GossipState;
use crate::peer_view::PeerView;
use crate::settings::PeerSettings;

/// Number of exchanges after which a node whose configuration is still behind its peer's fetches a
/// snapshot. Normally the table delivers the changes sooner, so this happens only if the node can't
/// reach it.
const MAX_EXCHANGES_BEHIND: u32 = 3;

/// Delay before a new configuration revision is sent, so that several changes go out together.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(20);

/// What a link needs besides its address.
#[derive(Debug, Clone)]
pub struct LinkContext<E> {
    /// State of this node that is exchanged over all links.
    pub gossip: GossipState<E>,
    /// Key shared by all nodes of the deployment.
    pub key: SharedKey,
    /// Settings of all links.
    pub settings: PeerSettings,
    /// Recorder of link events.
    pub recorder: EventRecorder,
}

struct OpenLink {
    requests: SendRequest<Bytes>,
    auth: FrameAuthenticator,
    peer_view: PeerView,
    timeout: Duration,
    peer: NodeId,
}

/// Runs one link until it fails. `expected` is the node that should respond; none for a seed
/// address.
///
/// # Errors
///
/// Always returns a [`LinkError`], because a link ends only by failing.
pub async fn run_link<E: EvidenceExchange>(
    context: &LinkContext<E>,
    address: SocketAddr,
    expected: Option<&NodeId>,
) -> Result<std::convert::Infallible, LinkError> {
    let mut link = with_timeout(
        context.settings.exchange_timeout(),
        open_link(context, address, expected),
    )
    .await?;
    context.recorder.record(
        EventCode::PeerLinked,
        EventSubject::default(),
        format!("{} at {address}", link.peer),
    );
    let mut status = context.gossip.config.watch();
    let mut behind = 0;
    loop {
        let revision = context.gossip.config.status().revision;
        link.exchange(context).await?;
        if context.gossip.config.status().revision < link.peer_view.revision {
            behind += 1;
        } else {
            behind = 0;
        }
        if link.peer_view.is_full() {
            link = with_timeout(
                context.settings.exchange_timeout(),
                open_link(context, address, expected),
            )
            .await?;
        }
        if behind >= MAX_EXCHANGES_BEHIND {
            link.fetch_snapshot(context).await?;
            behind = 0;
        }
        let pause = tokio::time::sleep(jittered(context.settings.exchange_interval()));
        tokio::select! {
            () = pause => {}
            () = context.gossip.wake.notified() => {}
            changed = newer_revision(&mut status, revision) => changed?,
        }
    }
}

async fn newer_revision(
    status: &mut watch::Receiver<ConfigStatus>,
    revision: ConfigRevision,
) -> Result<(), LinkError> {
    if status
        .wait_for(|status| status.revision > revision)
        .await
        .is_err()
    {
        return Err(LinkError::Connection(
            "this node is shutting down".to_owned(),
        ));
    }
    tokio::time::sleep(CHANGE_BATCH_DELAY).await;
    Ok(())
}

async fn with_timeout<T>(
    limit: Duration,
    operation: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    match tokio::time::timeout(limit, operation).await {
        Ok(result) => result,
        Err(_) => Err(LinkError::TimedOut),
    }
}

async fn open_link<E: EvidenceExchange>(
    context: &LinkContext<E>,
    address: SocketAddr,
    expected: Option<&NodeId>,
) -> Result<OpenLink, LinkError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let stream = context.gossip.traffic.wrap(stream);
    let (mut requests, connection) = h2::client::handshake(stream).await?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    let hello = PeerHello {
        newest: NEWEST_VERSION,
        oldest: OLDEST_VERSION,
        nonce: rand::random::<[u8; NONCE_BYTES]>(),
        node: context.gossip.membership.node().clone(),
    };
    let response = post(
        &mut requests,
        "/hello",
        encode_message(&hello)?,
        MAX_HELLO_BYTES,
    )
    .await?;
    let welcome: PeerWelcome = decode_message::<_, MAX_HELLO_BYTES>(&response)?;
    context.key.verify_proof(&hello, &welcome)?;
    if expected.is_some_and(|node| *node != welcome.node) {
        return Err(LinkError::UnexpectedNode(welcome.node));
    }
    Ok(OpenLink {
        requests,
        auth: context
            .key
            .authenticator(&hello, &welcome, FrameSide::Initiator),
        peer_view: PeerView::default(),
        timeout: context.settings.exchange_timeout(),
        peer: welcome.node,
    })
}

impl OpenLink {
    async fn exchange<E: EvidenceExchange>(
        &mut self,
        context: &LinkContext<E>,
    ) -> Result<(), LinkError> {
        let requested_at = Instant::now();
        let acked_sequence = self.auth.last_received();
        let digest = context
            .gossip
            .build_digest(&mut self.peer_view, acked_sequence)
            .await;
        let payload = encode_message(&digest)?;
        let response = self.request::<MAX_DIGEST_BYTES>("/digest", payload).await?;
        context.gossip.traffic.count_exchange();
        // After this process was suspended, the response may be ready before the timeout fires. Its
        // heartbeats may then be long out of date.
        if requested_at.elapsed() > self.timeout {
            return Err(LinkError::Stale);
        }
        let response: PeerDigest = decode_message::<_, MAX_DIGEST_BYTES>(&response)?;
        context
            .gossip
            .apply_digest(&mut self.peer_view, response, requested_at)
            .await;
        Ok(())
    }

    async fn fetch_snapshot<E: EvidenceExchange>(
        &mut self,
        context: &LinkContext<E>,
    ) -> Result<(), LinkError> {
        let response = self
            .request::<MAX_SNAPSHOT_BYTES>("/snapshot", Vec::new())
            .await?;
        let Ok(snapshot) = serde_json::from_slice(&response) else {
            return Err(LinkError::Connection("malformed snapshot".to_owned()));
        };
        context.gossip.apply_snapshot(snapshot).await;
        Ok(())
    }

    async fn request<const LIMIT: usize>(
        &mut self,
        path: &str,
        payload: Vec<u8>,
    ) -> Result<Vec<u8>, LinkError> {
        let frame = self.auth.sign(payload)?;
        let operation = post(&mut self.requests, path, frame, LIMIT);
        let response = with_timeout(self.timeout, operation).await?;
        Ok(self.auth.verify::<LIMIT>(&response)?.payload)
    }
}

async fn post(
    requests: &mut SendRequest<Bytes>,
    path: &str,
    body: Vec<u8>,
    limit: usize,
) -> Result<Vec<u8>, LinkError> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://peer{path}"))
        .body(())?;
    let mut ready = requests.clone().ready().await?;
    let (response, mut sender) = ready.send_request(request, false)?;
    sender.send_data(Bytes::from(body), true)?;
    let response = response.await?;
    if response.status() != StatusCode::OK {
        return Err(LinkError::Refused(response.status().as_u16()));
    }
    read_stream(response.into_body(), limit).await
}

/// Reads a whole stream of at most `limit` bytes.
///
/// # Errors
///
/// [`LinkError::TooLarge`] beyond `limit`, [`LinkError::Connection`] if the stream fails.
pub async fn read_stream(mut stream: RecvStream, limit: usize) -> Result<Vec<u8>, LinkError> {
    let mut bytes = Vec::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk?;
        if bytes.len() + chunk.len() > limit {
            return Err(LinkError::TooLarge(limit));
        }
        stream.flow_control().release_capacity(chunk.len())?;
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}
