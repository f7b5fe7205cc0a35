//! The initiating side of a link.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use control::config::ConfigStatus;
use control::config::poll::jittered;
use domain::{ConfigRevision, NodeId};
use events::{EventCode, EventRecorder, EventSubject};
use tokio::net::TcpStream;
use tokio::sync::watch;
use wire::peer::{
    MAX_DIGEST_BYTES, MAX_SNAPSHOT_BYTES, PeerDigest, decode_message, encode_message,
};

use crate::auth::SharedKey;
use crate::error::LinkError;
use crate::evidence::EvidenceExchange;
use crate::gossip::GossipState;
use crate::peer_view::PeerView;
use crate::settings::PeerSettings;
use crate::transport::{DialedLink, with_timeout};

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
    dialed: DialedLink,
    peer_view: PeerView,
    timeout: Duration,
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
        format!("{} at {address}", link.dialed.peer()),
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

async fn open_link<E: EvidenceExchange>(
    context: &LinkContext<E>,
    address: SocketAddr,
    expected: Option<&NodeId>,
) -> Result<OpenLink, LinkError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let stream = context.gossip.traffic.wrap(stream);
    let node = context.gossip.membership.node();
    let dialed = DialedLink::open(stream, &context.key, node, expected).await?;
    Ok(OpenLink {
        dialed,
        peer_view: PeerView::default(),
        timeout: context.settings.exchange_timeout(),
    })
}

impl OpenLink {
    async fn exchange<E: EvidenceExchange>(
        &mut self,
        context: &LinkContext<E>,
    ) -> Result<(), LinkError> {
        let requested_at = Instant::now();
        let acked_sequence = self.dialed.last_received();
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
        let timeout = self.timeout;
        self.dialed.request::<LIMIT>(path, payload, timeout).await
    }
}
