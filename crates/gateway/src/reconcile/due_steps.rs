//! Starts the steps of a plan that are this node's turn.

use std::rc::Rc;
use std::time::Duration;

use domain::{FastMap, HostId};
use events::{EventCode, LogLine};
use serving::load_budget::LoadLimit;
use serving::plan::PlanStep;

use super::{PlannedStep, ReplicaReconciler};

impl ReplicaReconciler {
    /// Starts the steps that have waited long enough for nodes of lower rank and rest on fresh state.
    /// Steps for a replica that this node formed start at once, since other nodes have not seen its
    /// state yet.
    pub(super) fn run_due_steps(self: &Rc<Self>, steps: Vec<PlannedStep>) {
        let now = self.node.now();
        let mut waiting_since = self.waiting_since.borrow_mut();
        let mut still_waiting: FastMap<PlanStep, Duration> = FastMap::default();
        let mut due = Vec::new();
        for planned in steps {
            let PlannedStep { fabric, step, .. } = planned;
            let since = waiting_since.get(&step).copied().unwrap_or(now);
            let is_due = now.saturating_sub(since) >= self.step_delay(&fabric, &step);
            if !is_due || !planned.is_fresh {
                still_waiting.insert(step, since);
                continue;
            }
            due.push(step);
        }
        *waiting_since = still_waiting;
        drop(waiting_since);
        for step in due {
            self.start_step(step);
        }
    }

    fn start_step(self: &Rc<Self>, step: PlanStep) {
        let hosts = step.hosts().to_vec();
        if !self.order_tracker.reserve(&hosts) {
            return;
        }
        if !self.is_load_allowed(&step) {
            self.order_tracker.release(&hosts);
            return;
        }
        let line = LogLine::new(EventCode::StepTaken)
            .text("step", &step_text(&step))
            .millis("registry_age_ms", self.node.registry_age());
        self.node.log(&line);
        let reconciler = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let cooldown = reconciler.execute_step(step).await;
            tokio::time::sleep(cooldown).await;
            reconciler.order_tracker.release(&hosts);
            reconciler.node.state_changed.notify_waiters();
        });
    }

    /// Whether the load that a step may need is within this node's share of the rate limit.
    fn is_load_allowed(&self, step: &PlanStep) -> bool {
        let PlanStep::Warm { host, model } = step else {
            return true;
        };
        if self.node.is_bootstrapping() {
            return true;
        }
        let needs_load = self.node.registry(|registry| {
            registry
                .get(host)
                .is_none_or(|entry| !entry.has_weights(model))
        });
        if !needs_load {
            return true;
        }
        let Some(config) = self.node.config() else {
            return false;
        };
        let services = config.services.values();
        let rates = services.map(|service| service.loads_per_second);
        let limit = LoadLimit {
            rate: rates.fold(0.0, f64::max),
            window: self.node.settings.bounds.load_window(),
            nodes: self.node.node_count(),
        };
        let now = self.node.now();
        self.load_budget.borrow_mut().try_start(now, limit)
    }
}

fn step_text(step: &PlanStep) -> String {
    match step {
        PlanStep::Open { head, replica, .. } => format!("open {replica} at {head}"),
        PlanStep::Close {
            head,
            replica,
            mode,
            ..
        } => format!("close {replica} at {head}, {mode:?}"),
        PlanStep::Yield { head, replica, .. } => format!("yield {replica} at {head}"),
        PlanStep::Form { model, members } => {
            let members: Vec<&str> = members.iter().map(HostId::as_str).collect();
            format!("form {model} of {}", members.join(" "))
        }
        PlanStep::Stage { host, model } => format!("stage {model} on {host}"),
        PlanStep::Warm { host, model } => format!("warm {model} on {host}"),
    }
}
