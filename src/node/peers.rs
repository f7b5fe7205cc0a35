//! Startup of configuration polling, membership and the links to peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use control::EvidenceStore;
use control::config::{ConfigActor, ConfigHandle, ConfigPoller, poll_config};
use control::members::{Member, MemberState, MemberTableSync, MemberView, SharedMembership};
use eyre::WrapErr;
use peers::{
    EvidenceExchange, GossipState, LinkContext, PeerTraffic, SharedKey, TimedEvidence,
    accept_links, maintain_links,
};
use settings::NodeSettings;
use settings::node::peer_key;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::{NodeContext, NodeTable};

/// A bound listener for peers, with the state that is exchanged with them once it is started.
pub struct PeerListener {
    listener: TcpListener,
    membership: SharedMembership,
    member_sync: MemberTableSync<NodeTable>,
    config: ConfigHandle,
}

/// The running tasks of membership and links.
pub struct PeerTasks {
    gossip: GossipState<StoreEvidence>,
    member_sync: MemberTableSync<NodeTable>,
}

/// Timeout of announcing to peers that the node leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Binds the listener for peers. `admin` is the node's admin address, announced to other nodes.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn bind(context: &NodeContext, admin: Option<SocketAddr>) -> eyre::Result<PeerListener> {
    let settings = &context.settings;
    let any_port = SocketAddr::new(settings.listen.ip(), 0);
    let address = settings.peers.listen.unwrap_or(any_port);
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("can't listen for peers on {address}"))?;
    let local_member = Member {
        node: settings.node.clone(),
        address: listener.local_addr()?,
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        admin,
    };
    let membership =
        SharedMembership::new(MemberState::new(local_member, settings.members.timeouts()));
    let member_sync = MemberTableSync::builder()
        .table(context.table.clone())
        .membership(membership.clone())
        .recorder(context.recorder.clone())
        .settings(settings.members)
        .build();
    let config = ConfigActor::start(
        settings.config.readiness_policy(),
        membership.clone(),
        context.config_sender.clone(),
        context.recorder.clone(),
    );
    Ok(PeerListener {
        listener,
        membership,
        member_sync,
        config,
    })
}

/// Loads the key that all nodes share; none if the settings have none.
fn load_shared_key(settings: &NodeSettings) -> eyre::Result<Option<SharedKey>> {
    let Some(text) = peer_key(&settings.peers)? else {
        return Ok(None);
    };
    Ok(Some(SharedKey::new(text.expose())?))
}

/// Exchanges the health evidence in the evidence store with peers.
#[derive(Debug, Clone)]
pub struct StoreEvidence(EvidenceStore);

impl EvidenceExchange for StoreEvidence {
    fn export(&self) -> Vec<TimedEvidence> {
        let now = Instant::now();
        let mut exported = Vec::new();
        for evidence in self.0.export(usize::MAX) {
            // An age that reaches back before the start of the monotonic clock can't be
            // represented, and such evidence is too old to be used.
            let Some(as_of) = now.checked_sub(evidence.age) else {
                continue;
            };
            exported.push(TimedEvidence { evidence, as_of });
        }
        exported
    }

    fn import(&self, timed: TimedEvidence) {
        let mut evidence = timed.evidence;
        evidence.age = timed.as_of.elapsed();
        self.0.record(evidence);
    }
}

impl PeerListener {
    /// Returns a receiver of the nodes that are considered alive.
    pub fn members(&self) -> watch::Receiver<Arc<MemberView>> {
        self.membership.watch()
    }

    /// Starts configuration polling, membership and, with a shared key, the links.
    ///
    /// # Errors
    ///
    /// When the shared key can't be loaded.
    pub fn start(self, context: &NodeContext) -> eyre::Result<PeerTasks> {
        let settings = &context.settings;
        let key = load_shared_key(settings)?;
        let poller = ConfigPoller::builder()
            .table(context.table.clone())
            .objects(context.objects.clone())
            .config(self.config.clone())
            .members(self.membership.clone())
            .recorder(context.recorder.clone())
            .settings(settings.config)
            .build();
        tokio::spawn(poll_config(poller));
        tokio::spawn(self.member_sync.clone().run_row_writes());
        tokio::spawn(self.member_sync.clone().run_heartbeats());
        tokio::spawn(self.member_sync.clone().run_listings());
        let gossip = GossipState {
            config: self.config,
            membership: self.membership,
            evidence: StoreEvidence(context.evidence_store.clone()),
            recorder: context.recorder.clone(),
            traffic: PeerTraffic::default(),
            wake: Arc::default(),
        };
        if let Some(key) = key {
            let links = LinkContext {
                gossip: gossip.clone(),
                key,
                settings: settings.peers.clone(),
                recorder: context.recorder.clone(),
            };
            tokio::spawn(accept_links(self.listener, links.clone()));
            tokio::spawn(maintain_links(links));
        }
        Ok(PeerTasks {
            gossip,
            member_sync: self.member_sync,
        })
    }
}

impl PeerTasks {
    /// Returns the handle of the configuration actor, for the readiness of the node.
    pub fn config(&self) -> &ConfigHandle {
        &self.gossip.config
    }

    /// Returns the byte counters of the links.
    pub fn traffic(&self) -> &PeerTraffic {
        &self.gossip.traffic
    }

    /// Returns the membership, as known from links and the table.
    pub fn membership(&self) -> &SharedMembership {
        &self.gossip.membership
    }

    /// Announces to the other nodes that this one leaves, over the links and in the table.
    pub async fn leave(&self) {
        tokio::join!(
            self.gossip.announce_leave(LEAVE_TIMEOUT),
            self.member_sync.leave()
        );
    }
}
