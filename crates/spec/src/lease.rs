//! Lease and fencing: two controllers, a table, one target that checks fencing numbers.
//!
//! Time goes on in ticks for all alike (clocks run at the same rate; their readings are never
//! compared). A pause is a controller that takes no step while ticks pass. A renewal's effect and
//! its answer come late, or the answer never comes. Orders and table writes are decided under a
//! valid lease and leave the controller any time later, which is what a pause does to them.

use crate::search::{ProtocolModel, SpecGuard};

const CONTROLLERS: usize = 2;
const TTL: u8 = 2;
const LAST_EPOCH: u8 = 3;
const LAST_BEAT: u8 = 1;

/// A mechanism that the specification can go without.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseGuard {
    /// A lease is taken over only after it stood unchanged for its whole TTL.
    WaitTtl,
    /// The holder counts its validity from before it sent the renewal.
    CountFromSend,
    /// A write under the lease checks the epoch in the same transaction.
    EpochInTransaction,
    /// The target refuses an order with an old fencing number.
    TargetFencing,
}

impl SpecGuard for LeaseGuard {
    const ALL: &'static [Self] = &[
        Self::WaitTtl,
        Self::CountFromSend,
        Self::EpochInTransaction,
        Self::TargetFencing,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::WaitTtl => "wait for the TTL",
            Self::CountFromSend => "validity from the send",
            Self::EpochInTransaction => "epoch in the transaction",
            Self::TargetFencing => "fencing at the target",
        }
    }
}

/// The specification.
#[derive(Debug)]
pub struct LeaseModel {
    removed: Option<LeaseGuard>,
}

/// Lease row, plan and target, and both controllers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseState {
    holder: Option<usize>,
    epoch: u8,
    beat: u8,
    plan_epoch: u8,
    target_epoch: u8,
    controllers: [Controller; CONTROLLERS],
    plan_went_back: bool,
    target_went_back: bool,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Controller {
    held: Option<HeldLease>,
    seen: (u8, u8),
    seen_for: u8,
    renewal: Option<Renewal>,
    decided_write: Option<u8>,
    decided_order: Option<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct HeldLease {
    epoch: u8,
    left: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Renewal {
    epoch: u8,
    beat: u8,
    ago: u8,
    effective: bool,
}

impl LeaseModel {
    fn has(&self, guard: LeaseGuard) -> bool {
        self.removed != Some(guard)
    }

    fn take(&self, state: &LeaseState, who: usize) -> Option<LeaseState> {
        let controller = &state.controllers[who];
        let current = controller.seen == (state.epoch, state.beat);
        let stood = controller.seen_for >= TTL || !self.has(LeaseGuard::WaitTtl);
        let free = state.holder.is_none() || stood;
        if !current || !free || state.epoch == LAST_EPOCH || state.holder == Some(who) {
            return None;
        }
        let mut next = state.clone();
        next.holder = Some(who);
        next.epoch += 1;
        next.beat = 0;
        next.controllers[who].held = Some(HeldLease {
            epoch: next.epoch,
            left: TTL,
        });
        next.controllers[who].renewal = None;
        Some(next)
    }

    fn renew(&self, state: &LeaseState, who: usize, out: &mut Vec<(String, LeaseState)>) {
        let controller = &state.controllers[who];
        let valid = controller.held.filter(|held| held.left > 0);
        if let (Some(held), None) = (valid, controller.renewal)
            && state.beat < LAST_BEAT
        {
            let mut next = state.clone();
            let renewal = Renewal {
                epoch: held.epoch,
                beat: state.beat,
                ago: 0,
                effective: false,
            };
            next.controllers[who].renewal = Some(renewal);
            out.push((format!("controller {who} sends a renewal"), next));
        }
        let Some(renewal) = controller.renewal else {
            return;
        };
        if !renewal.effective && (state.epoch, state.beat) == (renewal.epoch, renewal.beat) {
            let mut next = state.clone();
            next.beat += 1;
            next.controllers[who].renewal = Some(Renewal {
                effective: true,
                ..renewal
            });
            out.push((
                format!("the renewal of controller {who} takes effect"),
                next,
            ));
        }
        let mut lost = state.clone();
        lost.controllers[who].renewal = None;
        out.push((format!("controller {who} gives its renewal up"), lost));
        if renewal.effective {
            let counted = if self.has(LeaseGuard::CountFromSend) {
                renewal.ago
            } else {
                0
            };
            let mut next = state.clone();
            let left = TTL.saturating_sub(counted);
            next.controllers[who].held = Some(HeldLease {
                epoch: renewal.epoch,
                left,
            });
            next.controllers[who].renewal = None;
            out.push((
                format!("controller {who} gets the answer to its renewal"),
                next,
            ));
        }
    }

    fn act(&self, state: &LeaseState, who: usize, out: &mut Vec<(String, LeaseState)>) {
        let controller = &state.controllers[who];
        if let Some(held) = controller.held.filter(|held| held.left > 0) {
            if controller.decided_write.is_none() {
                let mut next = state.clone();
                next.controllers[who].decided_write = Some(held.epoch);
                out.push((format!("controller {who} decides a write"), next));
            }
            if controller.decided_order.is_none() {
                let mut next = state.clone();
                next.controllers[who].decided_order = Some(held.epoch);
                out.push((format!("controller {who} decides an order"), next));
            }
        }
        if let Some(epoch) = controller.decided_write {
            let mut next = state.clone();
            next.controllers[who].decided_write = None;
            if epoch == state.epoch || !self.has(LeaseGuard::EpochInTransaction) {
                next.plan_went_back |= epoch < state.plan_epoch;
                next.plan_epoch = epoch;
            }
            out.push((format!("the write of controller {who} arrives"), next));
        }
        if let Some(epoch) = controller.decided_order {
            let mut next = state.clone();
            next.controllers[who].decided_order = None;
            if epoch >= state.target_epoch || !self.has(LeaseGuard::TargetFencing) {
                next.target_went_back |= epoch < state.target_epoch;
                next.target_epoch = epoch;
            }
            out.push((format!("the order of controller {who} arrives"), next));
        }
    }
}

impl ProtocolModel for LeaseModel {
    const NAME: &'static str = "lease";

    type Guard = LeaseGuard;

    type State = LeaseState;

    fn without(removed: Option<LeaseGuard>) -> Self {
        Self { removed }
    }

    fn start(&self) -> LeaseState {
        LeaseState {
            holder: None,
            epoch: 0,
            beat: 0,
            plan_epoch: 0,
            target_epoch: 0,
            controllers: Default::default(),
            plan_went_back: false,
            target_went_back: false,
        }
    }

    fn steps(&self, state: &LeaseState) -> Vec<(String, LeaseState)> {
        let mut out = vec![("a tick passes".to_owned(), tick(state))];
        for who in 0..CONTROLLERS {
            let controller = &state.controllers[who];
            if controller.seen != (state.epoch, state.beat) {
                let mut next = state.clone();
                next.controllers[who].seen = (state.epoch, state.beat);
                next.controllers[who].seen_for = 0;
                out.push((format!("controller {who} reads the lease"), next));
            }
            if let Some(next) = self.take(state, who) {
                out.push((format!("controller {who} takes the lease"), next));
            }
            self.renew(state, who, &mut out);
            self.act(state, who, &mut out);
        }
        out
    }

    fn violation(&self, state: &LeaseState) -> Option<&'static str> {
        let valid = state
            .controllers
            .iter()
            .filter(|controller| controller.held.is_some_and(|held| held.left > 0))
            .count();
        if valid > 1 {
            return Some("two controllers hold the lease");
        }
        if state.plan_went_back {
            return Some("an old holder overwrote the plan");
        }
        if state.target_went_back {
            return Some("an old holder's order took the target back");
        }
        None
    }
}

fn tick(state: &LeaseState) -> LeaseState {
    let mut next = state.clone();
    for controller in &mut next.controllers {
        controller.seen_for = (controller.seen_for + 1).min(TTL);
        if let Some(held) = &mut controller.held {
            held.left = held.left.saturating_sub(1);
        }
        if let Some(renewal) = &mut controller.renewal {
            renewal.ago = (renewal.ago + 1).min(TTL);
        }
    }
    next
}
