//! Startup of the control plane: host list, replica plans, health probes, leases and assembly.

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

/// Interval between two checks of the table's circuit breaker.
const CIRCUIT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The running tasks of the control plane.
pub struct ControlTasks {
    stop: oneshot::Sender<()>,
    held_leases: watch::Receiver<Vec<LeaseName>>,
    directory: watch::Receiver<Arc<HostDirectory>>,
    supervisor: JoinHandle<()>,
}

impl ControlTasks {
    /// Returns the names of the leases that the node holds.
    pub fn held_leases(&self) -> watch::Receiver<Vec<LeaseName>> {
        self.held_leases.clone()
    }

    /// Returns the host list as last read.
    pub fn directory(&self) -> watch::Receiver<Arc<HostDirectory>> {
        self.directory.clone()
    }

    /// Releases the leases, so that other nodes need not wait for them to expire.
    pub async fn release(self) {
        let _ = self.stop.send(());
        let _ = self.supervisor.await;
    }
}

/// Starts the tasks of the control plane. Health evidence is exchanged with peers through the
/// context's evidence store.
pub fn start(context: &NodeContext, members: &watch::Receiver<Arc<MemberView>>) -> ControlTasks {
    let settings = context.control;
    tokio::spawn(update_node_count(context.table.clone(), members.clone()));
    tokio::spawn(report_circuit(
        context.table.clone(),
        context.recorder.clone(),
    ));
    let directory_sender = watch::Sender::new(Arc::new(HostDirectory::default()));
    let directory = directory_sender.subscribe();
    let plan_sender = watch::Sender::new(Arc::new(FleetPlans::default()));
    let plans = plan_sender.subscribe();
    let period = Duration::from_millis(settings.hosts_ms);
    tokio::spawn(poll_hosts(
        context.host_list.clone(),
        directory_sender,
        period,
    ));
    let period = Duration::from_millis(settings.plans_ms);
    tokio::spawn(poll_plans(context.table.clone(), plan_sender, period));
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
    let task_directory = directory.clone();
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
    let (held_sender, held_leases) = watch::channel(Vec::new());
    let inputs = SupervisorInputs {
        node: context.settings.node.clone(),
        members: members.clone(),
        leases: settings.leases,
        housekeeping: settings.housekeeping,
        held: held_sender,
    };
    let (stop, stopped) = oneshot::channel();
    let supervisor = tokio::spawn(supervise_leases(assembly, inputs, async {
        let _ = stopped.await;
    }));
    ControlTasks {
        stop,
        held_leases,
        directory: task_directory,
        supervisor,
    }
}

/// Updates the node's share of the table's rate limits when the number of nodes changes.
async fn update_node_count(table: NodeTable, mut members: watch::Receiver<Arc<MemberView>>) {
    loop {
        let nodes = members.borrow_and_update().members.len();
        table.set_node_count(nodes);
        if members.changed().await.is_err() {
            return;
        }
    }
}

/// Records an event when the circuit breaker for the table opens, and when it closes again.
async fn report_circuit(table: NodeTable, recorder: EventRecorder) {
    let mut was_closed = true;
    loop {
        tokio::time::sleep(CIRCUIT_CHECK_INTERVAL).await;
        let is_closed = table.circuit() == CircuitState::Closed;
        if is_closed == was_closed {
            continue;
        }
        was_closed = is_closed;
        let code = if is_closed {
            EventCode::StoreCircuitClosed
        } else {
            EventCode::StoreCircuitOpened
        };
        recorder.record(code, EventSubject::default(), "table");
    }
}
