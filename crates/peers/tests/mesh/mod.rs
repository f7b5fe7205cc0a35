//! Nodes of one mesh in one process, each with its own configuration, membership and links.

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
use wire::record::RecordFrame;

/// Generous bound on anything that a test waits for.
pub const PATIENCE: Duration = Duration::from_secs(40);

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

/// How the nodes of a mesh are set.
#[derive(Clone)]
pub struct MeshPlan {
    pub beat: Duration,
    pub limits: LivenessTimeouts,
    pub rule: ReadinessPolicy,
    pub settings: PeerSettings,
}

impl MeshPlan {
    /// Ten times as fast as the defaults, for tests.
    pub fn quick() -> Self {
        Self {
            beat: Duration::from_millis(500),
            limits: LivenessTimeouts {
                dead: Duration::from_secs(4),
                unreachable: Duration::from_secs(2),
            },
            rule: ReadinessPolicy {
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

    /// Starts a node that knows the given seeds and no table.
    pub async fn start(&self, name: &str, key: &str, seeds: &[SocketAddr]) -> MeshNode {
        self.start_with(name, key, seeds, NoEvidence).await
    }

    /// Starts such a node that passes on evidence.
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
        let membership = SharedMembership::new(MemberState::new(own.clone(), self.limits));
        let recorder = EventRecorder::new(own.node.clone(), 1_000);
        let views = watch::Sender::new(Arc::new(ConfigView::default()));
        let config = ConfigActor::start(self.rule, membership.clone(), views, recorder.clone());
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
            tokio::spawn(beat_forever(membership.clone(), self.beat)),
        ];
        MeshNode {
            config,
            membership,
            traffic: gossip.traffic,
            address,
            tasks,
        }
    }

    /// Starts nodes that all know the first one.
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

/// The mesh's key.
pub const KEY: &str = "a key that all nodes share";

async fn beat_forever(membership: SharedMembership, pause: Duration) {
    loop {
        membership.state().advance_heartbeat();
        membership.publish(Instant::now());
        tokio::time::sleep(control::config::poll::jittered(pause)).await;
    }
}

/// The change that makes a revision.
pub fn change(revision: u64) -> ChangeEntry {
    let name = format!("d{revision}");
    ChangeEntry {
        revision: ConfigRevision(revision),
        kind: RecordKind::Drain,
        name: name.clone(),
        record: Some(RecordFrame {
            schema: 2,
            kind: RecordKind::Drain,
            name,
            spec: json!({ "hosts": ["h1"] }),
        }),
        operator: "test".to_owned(),
    }
}

impl MeshNode {
    /// Learns the head as if from the table, now.
    #[allow(dead_code, reason = "the measurement needs it")]
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

    /// Learns a change and the head as if from the table, now.
    pub async fn learn(&self, revision: u64) {
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

    pub fn standing(&self) -> NodeReadiness {
        self.config.status().readiness
    }

    pub fn alive(&self) -> usize {
        self.membership.view(Instant::now()).members.len()
    }
}

/// Waits until something holds.
pub async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < PATIENCE, "waited too long: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
