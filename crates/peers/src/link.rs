//! The calling side of a link.

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
    OLDEST_VERSION, PeerDigest, PeerHello, PeerWelcome, decode_body, encode_body,
};

use crate::auth::{FrameAuthenticator, FrameSide, SharedKey};
use crate::error::LinkError;
use crate::evidence::EvidenceExchange;
use crate::gossip::GossipState;
use crate::peer_view::PeerView;
use crate::settings::PeerSettings;

/// Exchanges after which a node that is still behind its peer asks for everything. The table
/// brings the changes sooner, so this happens when the node can't reach it.
const PATIENT_EXCHANGES: u32 = 3;

/// News of the configuration wait this long for more of it before they go out.
const NEWS_PAUSE: Duration = Duration::from_millis(20);

/// What a link needs beside its address.
#[derive(Debug, Clone)]
pub struct LinkContext<E> {
    /// What the links share.
    pub gossip: GossipState<E>,
    /// The deployment's key.
    pub key: SharedKey,
    /// Settings.
    pub settings: PeerSettings,
    /// Events.
    pub recorder: EventRecorder,
}

struct OpenLink {
    requests: SendRequest<Bytes>,
    auth: FrameAuthenticator,
    peer_view: PeerView,
    timeout: Duration,
    peer: NodeId,
}

/// Keeps one link until it fails. `expected` is the node that should answer, where it is known.
///
/// # Errors
///
/// [`LinkError`], always: a link ends only by failing.
pub async fn run_link<E: EvidenceExchange>(
    context: &LinkContext<E>,
    address: SocketAddr,
    expected: Option<&NodeId>,
) -> Result<std::convert::Infallible, LinkError> {
    let mut link = within(
        context.settings.exchange_timeout(),
        open_link(context, address, expected),
    )
    .await?;
    context.recorder.note(
        EventCode::PeerLinked,
        EventSubject::default(),
        format!("{} at {address}", link.peer),
    );
    let mut news = context.gossip.config.watch();
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
            link = within(
                context.settings.exchange_timeout(),
                open_link(context, address, expected),
            )
            .await?;
        }
        if behind >= PATIENT_EXCHANGES {
            link.fetch_snapshot(context).await?;
            behind = 0;
        }
        let pause = tokio::time::sleep(jittered(context.settings.exchange_interval()));
        tokio::select! {
            () = pause => {}
            () = context.gossip.wake.notified() => {}
            changed = newer_revision(&mut news, revision) => changed?,
        }
    }
}

async fn newer_revision(
    news: &mut watch::Receiver<ConfigStatus>,
    revision: ConfigRevision,
) -> Result<(), LinkError> {
    if news
        .wait_for(|news| news.revision > revision)
        .await
        .is_err()
    {
        return Err(LinkError::Connection("the node stops".to_owned()));
    }
    tokio::time::sleep(NEWS_PAUSE).await;
    Ok(())
}

async fn within<T>(
    limit: Duration,
    step: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    match tokio::time::timeout(limit, step).await {
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
    let answer = post(
        &mut requests,
        "/hello",
        encode_body(&hello)?,
        MAX_HELLO_BYTES,
    )
    .await?;
    let welcome: PeerWelcome = decode_body::<_, MAX_HELLO_BYTES>(&answer)?;
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
        let asked_at = Instant::now();
        let echo = self.auth.last_received();
        let digest = context.gossip.build_digest(&mut self.peer_view, echo).await;
        let payload = encode_body(&digest)?;
        let answer = self.ask::<MAX_DIGEST_BYTES>("/digest", payload).await?;
        context.gossip.traffic.count_exchange();
        // A process that was frozen finds the answer before its own timeout: the answer may tell
        // of heartbeats that were heard long ago.
        if asked_at.elapsed() > self.timeout {
            return Err(LinkError::Stale);
        }
        let answer: PeerDigest = decode_body::<_, MAX_DIGEST_BYTES>(&answer)?;
        context
            .gossip
            .apply_digest(&mut self.peer_view, answer, asked_at)
            .await;
        Ok(())
    }

    async fn fetch_snapshot<E: EvidenceExchange>(
        &mut self,
        context: &LinkContext<E>,
    ) -> Result<(), LinkError> {
        let answer = self
            .ask::<MAX_SNAPSHOT_BYTES>("/snapshot", Vec::new())
            .await?;
        let Ok(snapshot) = serde_json::from_slice(&answer) else {
            return Err(LinkError::Connection("an unreadable snapshot".to_owned()));
        };
        context.gossip.apply_snapshot(snapshot).await;
        Ok(())
    }

    async fn ask<const LIMIT: usize>(
        &mut self,
        path: &str,
        payload: Vec<u8>,
    ) -> Result<Vec<u8>, LinkError> {
        let frame = self.auth.sign(payload)?;
        let step = post(&mut self.requests, path, frame, LIMIT);
        let answer = within(self.timeout, step).await?;
        Ok(self.auth.verify::<LIMIT>(&answer)?.payload)
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
    let (answer, mut sender) = ready.send_request(request, false)?;
    sender.send_data(Bytes::from(body), true)?;
    let answer = answer.await?;
    if answer.status() != StatusCode::OK {
        return Err(LinkError::Refused(answer.status().as_u16()));
    }
    read_stream(answer.into_body(), limit).await
}

/// Reads a stream of at most `limit` bytes.
///
/// # Errors
///
/// [`LinkError::TooLarge`] and [`LinkError::Connection`].
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
