//! Scheduling of the health probes: which node probes which replica, and how often.
//!
//! Each replica is probed by two nodes of its failure domain, chosen by rendezvous hashing, and
//! peers share the results. With 1,500 hosts, two probers a replica and a period of 1 s that is
//! 3,000 requests a second for the whole system, 7 for each of 410 nodes. A node that has received
//! no evidence about a replica for a while probes its hosts itself, so that a network partition
//! between nodes, or the loss of both probers, does not interrupt service; it backs off while the
//! hosts do not respond, so that not every node probes a dead replica every second.

use std::sync::Arc;
use std::time::{Duration, Instant};

use domain::{FastMap, FastSet, IncarnationNumber, NodeId, ReplicaId, ReplicaPlan};
use serde::{Deserialize, Serialize};
use target::EngineClient;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::backoff::{Backoff, with_jitter};
use crate::directory::HostDirectory;
use crate::evidence_store::EvidenceStore;
use crate::lease::ranked_nodes;
use crate::members::MemberView;
use crate::plans::FleetPlans;
use crate::probe::{ProbeOutcome, probe_replica};

/// Nodes assigned to probe one replica.
const PROBERS_PER_REPLICA: usize = 2;

/// Checks for due probes per probe period.
const TICKS_PER_PERIOD: u32 = 4;

/// Timing and limits of the probes. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct ProbeSettings {
    /// Interval between two probes of one replica by one prober.
    #[builder(default = 1_000)]
    pub period_ms: u64,
    /// Timeout of one host's state request.
    #[builder(default = 800)]
    pub timeout_ms: u64,
    /// Age of the newest evidence at which a node that is not assigned probes by itself. It is
    /// below the age limit for dispatch, so that service continues without a gap.
    #[builder(default = 1_800)]
    pub silence_ms: u64,
    /// Longest delay between two probes by such a node while the replica does not respond.
    #[builder(default = 8_000)]
    pub longest_pause_ms: u64,
    /// Replicas probed concurrently; it spreads the load when a single node has to probe all of
    /// them.
    #[builder(default = 128)]
    pub probes_at_once: usize,
}

impl Default for ProbeSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Inputs of the prober.
#[derive(Debug, Clone)]
pub struct ProbeInputs {
    /// Id of this node.
    pub node: NodeId,
    /// The replica plans.
    pub plans: watch::Receiver<Arc<FleetPlans>>,
    /// The host list, for addresses and failure domains.
    pub directory: watch::Receiver<Arc<HostDirectory>>,
    /// The nodes among which the probers are chosen.
    pub members: watch::Receiver<Arc<MemberView>>,
}

/// When this node probes a replica next, and why.
#[derive(Debug)]
struct ProbeSchedule {
    due: Instant,
    backoff: Backoff,
    assigned: bool,
    incarnation: IncarnationNumber,
}

/// Probes replicas and stores the evidence; runs until it is dropped.
pub async fn probe_replicas<E: EngineClient>(
    mut inputs: ProbeInputs,
    engine: E,
    evidence_store: EvidenceStore,
    settings: ProbeSettings,
) {
    let period = Duration::from_millis(settings.period_ms);
    let mut schedules: FastMap<ReplicaId, ProbeSchedule> = FastMap::default();
    let mut running: JoinSet<(ReplicaId, bool)> = JoinSet::new();
    let mut probing: FastSet<ReplicaId> = FastSet::default();
    loop {
        // Assignments are recomputed only when an input changed: 1,500 replicas times 410 nodes are
        // 615,000 hashes.
        let inputs_changed = [
            inputs.plans.has_changed(),
            inputs.directory.has_changed(),
            inputs.members.has_changed(),
        ];
        let inputs_changed = inputs_changed
            .into_iter()
            .any(|changed| changed.unwrap_or(false));
        while let Some(Ok((replica, responded))) = running.try_join_next() {
            probing.remove(&replica);
            reschedule(&mut schedules, &replica, responded, period);
        }
        let plans = Arc::clone(&inputs.plans.borrow_and_update());
        let directory = Arc::clone(&inputs.directory.borrow_and_update());
        let members = Arc::clone(&inputs.members.borrow_and_update());
        let mut current = FastSet::default();
        for plan in plans.plans() {
            current.insert(plan.id.clone());
            let is_new = !schedules.contains_key(&plan.id);
            let schedule = schedules
                .entry(plan.id.clone())
                .or_insert_with(|| new_schedule(plan, settings));
            if schedule.incarnation != plan.incarnation {
                *schedule = ProbeSchedule {
                    assigned: schedule.assigned,
                    ..new_schedule(plan, settings)
                };
            }
            if is_new || inputs_changed {
                schedule.assigned = is_assigned(&inputs.node, plan, &directory, &members);
            }
            let full = probing.len() >= settings.probes_at_once;
            if full
                || probing.contains(&plan.id)
                || !is_due(schedule, plan, &evidence_store, settings)
            {
                continue;
            }
            probing.insert(plan.id.clone());
            let probe = ProbeTask {
                engine: engine.clone(),
                evidence_store: evidence_store.clone(),
                plan: plan.clone(),
                directory: Arc::clone(&directory),
                timeout: Duration::from_millis(settings.timeout_ms),
            };
            running.spawn(probe.run());
        }
        if schedules.len() > current.len() {
            schedules.retain(|id, _| current.contains(id));
            evidence_store.retain(&current);
        }
        tokio::time::sleep(period / TICKS_PER_PERIOD).await;
    }
}

/// Schedules an immediate probe: a replica in a new incarnation takes no requests before it is
/// known to be healthy.
fn new_schedule(plan: &ReplicaPlan, settings: ProbeSettings) -> ProbeSchedule {
    let period = Duration::from_millis(settings.period_ms);
    let max_delay = Duration::from_millis(settings.longest_pause_ms);
    ProbeSchedule {
        due: Instant::now(),
        backoff: Backoff::new(period, max_delay),
        assigned: false,
        incarnation: plan.incarnation,
    }
}

/// Whether this node is assigned to probe the replica. A node that is not in its own member view
/// probes every replica.
fn is_assigned(
    node: &NodeId,
    plan: &ReplicaPlan,
    directory: &HostDirectory,
    members: &MemberView,
) -> bool {
    let known = members.members.iter().any(|member| member.node == *node);
    if !known {
        return true;
    }
    let leading = plan.leader().and_then(|host| directory.hosts.get(host));
    let domain = leading.map(|entry| &entry.domain);
    let ranked = ranked_nodes(members, plan.id.as_str(), |member| {
        Some(&member.domain) == domain
    });
    ranked
        .iter()
        .take(PROBERS_PER_REPLICA)
        .any(|member| member.node == *node)
}

fn is_due(
    schedule: &ProbeSchedule,
    plan: &ReplicaPlan,
    evidence_store: &EvidenceStore,
    settings: ProbeSettings,
) -> bool {
    let now = Instant::now();
    if now < schedule.due {
        return false;
    }
    if schedule.assigned {
        return true;
    }
    let max_silence = Duration::from_millis(settings.silence_ms);
    // Only evidence from peers counts here. This node's own evidence does not stop its probes,
    // since nobody else may provide any; once peers send evidence again, the probes stop.
    let peers_report = evidence_store.newest_for(&plan.id).is_some_and(|entry| {
        let current = entry.evidence.incarnation >= plan.incarnation;
        let fresh = |at: Instant| now.saturating_duration_since(at) < max_silence;
        current && entry.last_from_peer.is_some_and(fresh)
    });
    !peers_report
}

fn reschedule(
    schedules: &mut FastMap<ReplicaId, ProbeSchedule>,
    replica: &ReplicaId,
    responded: bool,
    period: Duration,
) {
    let Some(schedule) = schedules.get_mut(replica) else {
        return;
    };
    let delay = if responded || schedule.assigned {
        schedule.backoff.reset();
        with_jitter(period, 0.2)
    } else {
        schedule.backoff.next_delay()
    };
    schedule.due = Instant::now() + delay;
}

struct ProbeTask<E> {
    engine: E,
    evidence_store: EvidenceStore,
    plan: ReplicaPlan,
    directory: Arc<HostDirectory>,
    timeout: Duration,
}

impl<E: EngineClient> ProbeTask<E> {
    async fn run(self) -> (ReplicaId, bool) {
        let outcome = probe_replica(&self.engine, &self.plan, &self.directory, self.timeout).await;
        let responded = match outcome {
            ProbeOutcome::Evidence(evidence, load) => {
                self.evidence_store.record_own(evidence, load);
                true
            }
            ProbeOutcome::Inconclusive => false,
        };
        (self.plan.id, responded)
    }
}
