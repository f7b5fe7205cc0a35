//! Lease and fencing: two controllers, a table, and a target that checks fencing tokens.
//!
//! Time advances in ticks for all processes alike: clocks run at the same rate, and their readings
//! are never compared. A pause is a controller that takes no step while ticks pass. A renewal may
//! take effect late, and its response may be late or lost. Orders and table writes are decided
//! under a valid lease and arrive at any later time, as they would after a pause.

use crate::search::{ProtocolModel, SpecGuard};

const CONTROLLERS: usize = 2;
/// Ticks for which a lease is valid after the start of its last renewal.
const TTL: u8 = 2;
/// Highest epoch, which bounds the state space.
const MAX_EPOCH: u8 = 3;
/// Maximum number of renewals in an epoch, which bounds the state space.
const MAX_RENEWALS: u8 = 1;

/// A guard of the protocol that can be removed from the specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseGuard {
    /// Another controller acquires a lease only after observing it unchanged for the whole TTL.
    WaitTtl,
    /// The holder measures the validity from the time at which it sent the renewal.
    ValidFromSend,
    /// A write under the lease checks the epoch in the same transaction.
    EpochInTransaction,
    /// The target refuses an order with an old fencing token.
    TargetFencing,
}

impl SpecGuard for LeaseGuard {
    const ALL: &'static [Self] = &[
        Self::WaitTtl,
        Self::ValidFromSend,
        Self::EpochInTransaction,
        Self::TargetFencing,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::WaitTtl => "waiting for the TTL",
            Self::ValidFromSend => "validity from the send time",
            Self::EpochInTransaction => "epoch in the transaction",
            Self::TargetFencing => "fencing at the target",
        }
    }
}

/// Specification of lease and fencing.
#[derive(Debug)]
pub struct LeaseModel {
    removed_guard: Option<LeaseGuard>,
}

/// The lease row, the epochs of the plan and the target, and both controllers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseState {
    holder: Option<usize>,
    epoch: u8,
    /// Renewals in this epoch.
    renewals: u8,
    /// Epoch of the last write to the plan in the table.
    plan_epoch: u8,
    /// Epoch of the last order that the target accepted.
    target_epoch: u8,
    controllers: [Controller; CONTROLLERS],
    plan_reverted: bool,
    target_reverted: bool,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Controller {
    held: Option<HeldLease>,
    /// Epoch and renewal count of the lease as last read.
    observed: (u8, u8),
    /// Ticks for which the lease has been observed unchanged.
    observed_for: u8,
    renewal: Option<Renewal>,
    /// Epoch of a table write that has not arrived yet.
    pending_write: Option<u8>,
    /// Epoch of an order that has not arrived yet.
    pending_order: Option<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct HeldLease {
    epoch: u8,
    /// Ticks until it expires, according to its holder.
    remaining: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Renewal {
    epoch: u8,
    /// Renewal count that it expects in the lease row.
    expected_renewals: u8,
    /// Ticks since it was sent.
    age: u8,
    /// Whether the table has applied it.
    applied: bool,
}

impl LeaseModel {
    fn enforces(&self, guard: LeaseGuard) -> bool {
        self.removed_guard != Some(guard)
    }

    fn acquire(&self, state: &LeaseState, index: usize) -> Option<LeaseState> {
        let controller = &state.controllers[index];
        let current = controller.observed == (state.epoch, state.renewals);
        let expired = controller.observed_for >= TTL || !self.enforces(LeaseGuard::WaitTtl);
        let free = state.holder.is_none() || expired;
        if !current || !free || state.epoch == MAX_EPOCH || state.holder == Some(index) {
            return None;
        }
        let mut next = state.clone();
        next.holder = Some(index);
        next.epoch += 1;
        next.renewals = 0;
        next.controllers[index].held = Some(HeldLease {
            epoch: next.epoch,
            remaining: TTL,
        });
        next.controllers[index].renewal = None;
        Some(next)
    }

    fn renew(&self, state: &LeaseState, index: usize, transitions: &mut Vec<(String, LeaseState)>) {
        let controller = &state.controllers[index];
        let valid = controller.held.filter(|held| held.remaining > 0);
        if let (Some(held), None) = (valid, controller.renewal)
            && state.renewals < MAX_RENEWALS
        {
            let mut next = state.clone();
            let renewal = Renewal {
                epoch: held.epoch,
                expected_renewals: state.renewals,
                age: 0,
                applied: false,
            };
            next.controllers[index].renewal = Some(renewal);
            transitions.push((format!("controller {index} sends a renewal"), next));
        }
        let Some(renewal) = controller.renewal else {
            return;
        };
        if !renewal.applied
            && (state.epoch, state.renewals) == (renewal.epoch, renewal.expected_renewals)
        {
            let mut next = state.clone();
            next.renewals += 1;
            next.controllers[index].renewal = Some(Renewal {
                applied: true,
                ..renewal
            });
            transitions.push((
                format!("the renewal of controller {index} takes effect"),
                next,
            ));
        }
        let mut abandoned = state.clone();
        abandoned.controllers[index].renewal = None;
        transitions.push((
            format!("controller {index} abandons its renewal"),
            abandoned,
        ));
        if renewal.applied {
            let elapsed = if self.enforces(LeaseGuard::ValidFromSend) {
                renewal.age
            } else {
                0
            };
            let mut next = state.clone();
            let remaining = TTL.saturating_sub(elapsed);
            next.controllers[index].held = Some(HeldLease {
                epoch: renewal.epoch,
                remaining,
            });
            next.controllers[index].renewal = None;
            transitions.push((
                format!("controller {index} gets the response to its renewal"),
                next,
            ));
        }
    }

    fn act(&self, state: &LeaseState, index: usize, transitions: &mut Vec<(String, LeaseState)>) {
        let controller = &state.controllers[index];
        if let Some(held) = controller.held.filter(|held| held.remaining > 0) {
            if controller.pending_write.is_none() {
                let mut next = state.clone();
                next.controllers[index].pending_write = Some(held.epoch);
                transitions.push((format!("controller {index} decides a write"), next));
            }
            if controller.pending_order.is_none() {
                let mut next = state.clone();
                next.controllers[index].pending_order = Some(held.epoch);
                transitions.push((format!("controller {index} decides an order"), next));
            }
        }
        if let Some(epoch) = controller.pending_write {
            let mut next = state.clone();
            next.controllers[index].pending_write = None;
            if epoch == state.epoch || !self.enforces(LeaseGuard::EpochInTransaction) {
                next.plan_reverted |= epoch < state.plan_epoch;
                next.plan_epoch = epoch;
            }
            transitions.push((format!("the write of controller {index} arrives"), next));
        }
        if let Some(epoch) = controller.pending_order {
            let mut next = state.clone();
            next.controllers[index].pending_order = None;
            if epoch >= state.target_epoch || !self.enforces(LeaseGuard::TargetFencing) {
                next.target_reverted |= epoch < state.target_epoch;
                next.target_epoch = epoch;
            }
            transitions.push((format!("the order of controller {index} arrives"), next));
        }
    }
}

impl ProtocolModel for LeaseModel {
    const NAME: &'static str = "lease";

    type Guard = LeaseGuard;

    type State = LeaseState;

    fn new(removed_guard: Option<LeaseGuard>) -> Self {
        Self { removed_guard }
    }

    fn initial_state(&self) -> LeaseState {
        LeaseState {
            holder: None,
            epoch: 0,
            renewals: 0,
            plan_epoch: 0,
            target_epoch: 0,
            controllers: Default::default(),
            plan_reverted: false,
            target_reverted: false,
        }
    }

    fn transitions(&self, state: &LeaseState) -> Vec<(String, LeaseState)> {
        let mut transitions = vec![("a tick passes".to_owned(), tick(state))];
        for index in 0..CONTROLLERS {
            let controller = &state.controllers[index];
            if controller.observed != (state.epoch, state.renewals) {
                let mut next = state.clone();
                next.controllers[index].observed = (state.epoch, state.renewals);
                next.controllers[index].observed_for = 0;
                transitions.push((format!("controller {index} reads the lease"), next));
            }
            if let Some(next) = self.acquire(state, index) {
                transitions.push((format!("controller {index} acquires the lease"), next));
            }
            self.renew(state, index, &mut transitions);
            self.act(state, index, &mut transitions);
        }
        transitions
    }

    fn violated_invariant(&self, state: &LeaseState) -> Option<&'static str> {
        let valid = state
            .controllers
            .iter()
            .filter(|controller| controller.held.is_some_and(|held| held.remaining > 0))
            .count();
        if valid > 1 {
            return Some("two controllers hold the lease");
        }
        if state.plan_reverted {
            return Some("an old holder overwrote the plan");
        }
        if state.target_reverted {
            return Some("an old holder's order reverted the target");
        }
        None
    }
}

fn tick(state: &LeaseState) -> LeaseState {
    let mut next = state.clone();
    for controller in &mut next.controllers {
        controller.observed_for = (controller.observed_for + 1).min(TTL);
        if let Some(held) = &mut controller.held {
            held.remaining = held.remaining.saturating_sub(1);
        }
        if let Some(renewal) = &mut controller.renewal {
            renewal.age = (renewal.age + 1).min(TTL);
        }
    }
    next
}
