//! Wiring of control: hosts, replicas, evidence of wholeness, leases and assembly.

use std::sync::Arc;
use std::time::Duration;

use control::assembly::{AssemblyContext, FirstHosts, SupervisorInputs, supervise_leases};
use control::directory::{HostDirectory, poll_hosts};
use control::fleet::{TargetInputs, publish_targets};
use control::members::MemberView;
use control::plans::{FleetPlans, poll_plans};
use control::prober::{ProbeInputs, probe_replicas};
use domain::LeaseName;
use events::{EventCode, EventRecorder, EventSubject};
use platform::CircuitState;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

use super::{NodeContext, NodeTable};

/// Time between two looks at the table's circuit.
const CIRCUIT_LOOK: Duration = Duration::from_millis(250);

/// The running tasks of control.
pub struct ControlTasks {
    stop: oneshot::Sender<()>,
    held: watch::Receiver<Vec<LeaseName>>,
    directory: watch::Receiver<Arc<HostDirectory>>,
    leases: JoinHandle<()>,
}

impl ControlTasks {
    /// Names of the leases that the node holds.
    pub fn held(&self) -> watch::Receiver<Vec<LeaseName>> {
        self.held.clone()
    }

    /// The hosts as last listed.
    pub fn directory(&self) -> watch::Receiver<Arc<HostDirectory>> {
        self.directory.clone()
    }

    /// Gives up the leases, so that other nodes need not wait for them to run out.
    pub async fn release(self) {
        let _ = self.stop.send(());
        let _ = self.leases.await;
    }
}

/// Starts the tasks of control. The context's evidence store takes in what peers saw and gives them
/// what this node saw.
pub fn start(context: &NodeContext, members: &watch::Receiver<Arc<MemberView>>) -> ControlTasks {
    let settings = context.control;
    tokio::spawn(follow_share(context.table.clone(), members.clone()));
    tokio::spawn(follow_circuit(
        context.table.clone(),
        context.recorder.clone(),
    ));
    let hosts = watch::Sender::new(Arc::new(HostDirectory::default()));
    let directory = hosts.subscribe();
    let replicas = watch::Sender::new(Arc::new(FleetPlans::default()));
    let plans = replicas.subscribe();
    let period = Duration::from_millis(settings.hosts_ms);
    tokio::spawn(poll_hosts(context.list.clone(), hosts, period));
    let period = Duration::from_millis(settings.plans_ms);
    tokio::spawn(poll_plans(context.table.clone(), replicas, period));
    let inputs = ProbeInputs {
        node: context.settings.node.clone(),
        plans: plans.clone(),
        directory: directory.clone(),
        members: members.clone(),
    };
    let engine = context.engine.clone();
    tokio::spawn(probe_replicas(
        inputs,
        engine,
        context.evidence_store.clone(),
        settings.watch,
    ));
    let inputs = TargetInputs {
        plans,
        directory: directory.clone(),
        config: context.config_sender.subscribe(),
    };
    tokio::spawn(publish_targets(
        inputs,
        context.evidence_store.clone(),
        context.target_sender.clone(),
    ));
    start_leases(context, members, directory)
}

fn start_leases(
    context: &NodeContext,
    members: &watch::Receiver<Arc<MemberView>>,
    directory: watch::Receiver<Arc<HostDirectory>>,
) -> ControlTasks {
    let listed = directory.clone();
    let settings = context.control;
    let assembly = AssemblyContext {
        table: context.table.with_high_priority(),
        engine: context.engine.clone(),
        chooser: FirstHosts,
        evidence_store: context.evidence_store.clone(),
        targets: Some(context.target_sender.subscribe()),
        directory,
        config: context.config_sender.subscribe(),
        recorder: context.recorder.clone(),
        settings: settings.assembly,
    };
    let (held_sender, held) = watch::channel(Vec::new());
    let inputs = SupervisorInputs {
        node: context.settings.node.clone(),
        members: members.clone(),
        leases: settings.leases,
        housekeeping: settings.housekeeping,
        held: held_sender,
    };
    let (stop, stopped) = oneshot::channel();
    let leases = tokio::spawn(supervise_leases(assembly, inputs, async {
        let _ = stopped.await;
    }));
    ControlTasks {
        stop,
        held,
        directory: listed,
        leases,
    }
}

/// Keeps the node's share of the table's limits in step with the number of nodes.
async fn follow_share(table: NodeTable, mut members: watch::Receiver<Arc<MemberView>>) {
    loop {
        let nodes = members.borrow_and_update().members.len();
        table.set_node_count(nodes);
        if members.changed().await.is_err() {
            return;
        }
    }
}

/// Tells operators when calls to the table begin to be refused, and when they pass again.
async fn follow_circuit(table: NodeTable, recorder: EventRecorder) {
    let mut closed = true;
    loop {
        tokio::time::sleep(CIRCUIT_LOOK).await;
        let now_closed = table.circuit() == CircuitState::Closed;
        if now_closed == closed {
            continue;
        }
        closed = now_closed;
        let code = if closed {
            EventCode::StoreCircuitClosed
        } else {
            EventCode::StoreCircuitOpened
        };
        recorder.record(code, EventSubject::default(), "table");
    }
}
