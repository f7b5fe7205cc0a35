//! A mesh of nodes in one process, each with its own configuration, membership and links.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use control::ConfigView;
use control::amend::ChangeEntry;
use control::config::load::ConfigUpdate;
use control::config::{
    ConfigActor, ConfigHandle, ConfigObservation, HeadConfirmation, NodeReadiness, ReadinessPolicy,
};
use control::members::{LivenessTimeouts, Member, MemberState, SharedMembership};
use domain::ConfigRevision;
use domain::record::RecordKind;
use events::EventRecorder;
use peers::{
    EvidenceExchange, GossipState, LinkContext, NoEvidence, PeerSettings, PeerTraffic, SharedKey,
    accept_links, maintain_links,
};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use wire::record::RecordEnvelope;

/// Timeout of anything that a test waits for, long enough for a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// One node of a mesh.
pub struct MeshNode {
    pub config: ConfigHandle,
    pub membership: SharedMembership,
    pub traffic: PeerTraffic,
    pub address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for MeshNode {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Settings of the nodes of a mesh.
#[derive(Clone)]
pub struct MeshConfig {
    pub heartbeat_interval: Duration,
    pub liveness: LivenessTimeouts,
    pub readiness: ReadinessPolicy,
    pub settings: PeerSettings,
}

impl MeshConfig {
    /// Settings for tests: heartbeats ten times as fast as by default, other times shorter as well.
    pub fn fast() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            liveness: LivenessTimeouts {
                dead: Duration::from_secs(4),
                unreachable: Duration::from_secs(2),
            },
            readiness: ReadinessPolicy {
                confirm_limit: Duration::from_millis(1_500),
                settle: Duration::from_millis(2_500),
            },
            settings: PeerSettings::builder()
                .exchange_ms(200)
                .timeout_ms(1_000)
                .avoid_ms(1_000)
                .build(),
        }
    }

    /// Starts a node with the given seeds, without a table or evidence.
    pub async fn start(&self, name: &str, key: &str, seeds: &[SocketAddr]) -> MeshNode {
        self.start_with(name, key, seeds, NoEvidence).await
    }

    /// Starts a node with the given seeds and evidence, without a table.
    pub async fn start_with<E: EvidenceExchange>(
        &self,
        name: &str,
        key: &str,
        seeds: &[SocketAddr],
        evidence: E,
    ) -> MeshNode {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("bound");
        let own = Member {
            node: name.parse().expect("a node id"),
            address,
            domain: "plateau".parse().expect("a domain"),
            region: "dakar".parse().expect("a region"),
            admin: None,
        };
        let membership = SharedMembership::new(MemberState::new(own.clone(), self.liveness));
        let recorder = EventRecorder::new(own.node.clone(), 1_000);
        let views = watch::Sender::new(Arc::new(ConfigView::default()));
        let config =
            ConfigActor::start(self.readiness, membership.clone(), views, recorder.clone());
        let gossip = GossipState {
            config: config.clone(),
            membership: membership.clone(),
            evidence,
            recorder: recorder.clone(),
            traffic: PeerTraffic::default(),
            wake: Arc::default(),
        };
        let mut settings = self.settings.clone();
        settings.seeds = seeds.to_vec();
        let context = LinkContext {
            gossip: gossip.clone(),
            key: SharedKey::new(key).expect("a long key"),
            settings,
            recorder,
        };
        let tasks = vec![
            tokio::spawn(accept_links(listener, context.clone())),
            tokio::spawn(maintain_links(context)),
            tokio::spawn(send_heartbeats(membership.clone(), self.heartbeat_interval)),
        ];
        MeshNode {
            config,
            membership,
            traffic: gossip.traffic,
            address,
            tasks,
        }
    }

    /// Starts nodes that all use the first one as their seed.
    pub async fn start_many(&self, count: usize) -> Vec<MeshNode> {
        let mut nodes: Vec<MeshNode> = Vec::new();
        for number in 0..count {
            let seeds: Vec<SocketAddr> =
                nodes.first().map(|node| node.address).into_iter().collect();
            nodes.push(self.start(&format!("e{number:03}"), KEY, &seeds).await);
        }
        nodes
    }
}

/// The shared key of the mesh.
pub const KEY: &str = "a key that all nodes share";

async fn send_heartbeats(membership: SharedMembership, interval: Duration) {
    loop {
        membership.state().advance_heartbeat();
        membership.publish(Instant::now());
        tokio::time::sleep(control::config::poll::jittered(interval)).await;
    }
}

/// Returns the change that creates a revision.
pub fn change(revision: u64) -> ChangeEntry {
    let name = format!("d{revision}");
    ChangeEntry {
        revision: ConfigRevision(revision),
        kind: RecordKind::Drain,
        name: name.clone(),
        record: Some(RecordEnvelope {
            schema: 2,
            kind: RecordKind::Drain,
            name,
            spec: json!({ "hosts": ["h1"] }),
        }),
        operator: "test".to_owned(),
    }
}

impl MeshNode {
    /// Confirms the head revision, as if it had just been read from the table.
    #[allow(dead_code, reason = "used by the benchmark")]
    pub async fn confirm(&self, revision: u64) {
        let observation = ConfigObservation {
            update: ConfigUpdate::default(),
            confirmation: Some(HeadConfirmation {
                revision: ConfigRevision(revision),
                as_of: Instant::now(),
            }),
            known: ConfigRevision(revision),
        };
        self.config.observe(observation).await;
    }

    /// Applies a change and confirms its revision, as if both had just been read from the table.
    pub async fn apply_change(&self, revision: u64) {
        let update = ConfigUpdate {
            snapshot: None,
            changes: vec![change(revision)],
        };
        self.config
            .observe(ConfigObservation {
                update,
                confirmation: Some(HeadConfirmation {
                    revision: ConfigRevision(revision),
                    as_of: Instant::now(),
                }),
                known: ConfigRevision(revision),
            })
            .await;
    }

    pub fn revision(&self) -> u64 {
        self.config.status().revision.0
    }

    pub fn readiness(&self) -> NodeReadiness {
        self.config.status().readiness
    }

    pub fn member_count(&self) -> usize {
        self.membership.view(Instant::now()).members.len()
    }
}

/// Waits until a condition is met; `what` describes it in the panic message.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "timed out: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
