//! Wiring of what nodes know of each other: configuration, membership and links.

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

/// A bound listener for peers, with what is shared with them.
pub struct PeerListener {
    listener: TcpListener,
    membership: SharedMembership,
    members: MemberTableSync<NodeTable>,
    config: ConfigHandle,
}

/// The running links.
pub struct PeerTasks {
    gossip: GossipState<StoreEvidence>,
    members: MemberTableSync<NodeTable>,
}

/// Time that a node that stops gives its peers to hear of it.
const GOODBYE_LIMIT: Duration = Duration::from_millis(300);

/// Binds the listener for peers. `admin` is the address at which operators find this node.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn bind(context: &NodeContext, admin: Option<SocketAddr>) -> eyre::Result<PeerListener> {
    let settings = &context.settings;
    let any_port = SocketAddr::new(settings.listen.ip(), 0);
    let wanted = settings.peers.listen.unwrap_or(any_port);
    let listener = TcpListener::bind(wanted)
        .await
        .wrap_err_with(|| format!("can't listen for peers on {wanted}"))?;
    let own = Member {
        node: settings.node.clone(),
        address: listener.local_addr()?,
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        admin,
    };
    let membership = SharedMembership::new(MemberState::new(own, settings.members.timeouts()));
    let members = MemberTableSync::builder()
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
        members,
        config,
    })
}

fn shared_key(settings: &NodeSettings) -> eyre::Result<Option<SharedKey>> {
    let Some(text) = peer_key(&settings.peers)? else {
        return Ok(None);
    };
    Ok(Some(SharedKey::new(text.expose())?))
}

/// Evidence of wholeness between the evidence store and the links.
#[derive(Debug, Clone)]
pub struct StoreEvidence(EvidenceStore);

impl EvidenceExchange for StoreEvidence {
    fn export(&self) -> Vec<TimedEvidence> {
        let now = Instant::now();
        let mut held = Vec::new();
        for evidence in self.0.export(usize::MAX) {
            // Evidence from before the clock's own start is too old for anything.
            let Some(as_of) = now.checked_sub(evidence.age) else {
                continue;
            };
            held.push(TimedEvidence { evidence, as_of });
        }
        held
    }

    fn import(&self, held: TimedEvidence) {
        let mut evidence = held.evidence;
        evidence.age = held.as_of.elapsed();
        self.0.record(evidence);
    }
}

impl PeerListener {
    /// The nodes that are taken to be alive, told of every change.
    pub fn members(&self) -> watch::Receiver<Arc<MemberView>> {
        self.membership.watch()
    }

    /// Starts the tasks.
    ///
    /// # Errors
    ///
    /// When the shared key can't be read or is too short.
    pub fn start(self, context: &NodeContext) -> eyre::Result<PeerTasks> {
        let settings = &context.settings;
        let key = shared_key(settings)?;
        let follower = ConfigPoller::builder()
            .table(context.table.clone())
            .objects(context.objects.clone())
            .config(self.config.clone())
            .members(self.membership.clone())
            .recorder(context.recorder.clone())
            .settings(settings.config)
            .build();
        tokio::spawn(poll_config(follower));
        tokio::spawn(self.members.clone().run_row_writes());
        tokio::spawn(self.members.clone().run_heartbeats());
        tokio::spawn(self.members.clone().run_listings());
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
            members: self.members,
        })
    }
}

impl PeerTasks {
    /// The configuration in force, and how well it is known.
    pub fn config(&self) -> &ConfigHandle {
        &self.gossip.config
    }

    /// What went over the links.
    pub fn traffic(&self) -> &PeerTraffic {
        &self.gossip.traffic
    }

    /// The membership.
    pub fn membership(&self) -> &SharedMembership {
        &self.gossip.membership
    }

    /// Says goodbye to the other nodes.
    pub async fn leave(&self) {
        tokio::join!(
            self.gossip.announce_leave(GOODBYE_LIMIT),
            self.members.leave()
        );
    }
}
