//! The store in the specification of replica formation, which may go back to a copy once.

use crate::formation::{
    FormationModel, FormationState, HOSTS, HostState, NODES, NodeState, Order, OrderKind, REPLICAS,
};
use crate::formation_guard::FormationGuard;

/// Bits of an epoch that hold the version.
const VERSION_BITS: u32 = 5;

/// Fault of a step that rests on an entry from before the restore.
const OPENED_BY_ENTRY: &str = "an outdated entry led to a head being opened without a member";

/// A version of the store and the era in which it was given out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct StoreVersion {
    pub era: u8,
    pub number: u8,
}

impl StoreVersion {
    /// Epoch that a node takes from a version.
    pub fn epoch(self, includes_era: bool) -> u8 {
        let number = self.number + 1;
        if includes_era {
            (self.era << VERSION_BITS) | number
        } else {
            number
        }
    }
}

/// What a copy of the store holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct StoreCopy {
    number: u8,
    /// Entries of the hosts; none in a run in which no node reads them.
    entries: Option<[HostState; HOSTS]>,
}

/// The store, as far as formation rests on it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct StoreState {
    /// Newest version that was given out.
    pub newest: StoreVersion,
    copy: Option<StoreCopy>,
    /// Entries that the restored store shows; none before the restore, and in a run in which no node reads them.
    pub restored_entries: Option<[HostState; HOSTS]>,
    /// Highest epoch that a host had at the restore; 0 before it.
    pub epoch_floor: u8,
}

impl StoreState {
    /// State in which no epoch and no entry depends on the store any more.
    fn settled() -> Self {
        Self {
            newest: StoreVersion { era: 1, number: 0 },
            ..Self::default()
        }
    }

    /// Counts a write. Only joins are counted, since they are what epochs have to follow.
    pub fn record_write(&mut self) {
        self.newest.number += 1;
    }

    /// The store after it was copied, with the entries of the hosts if they are read after a restore.
    pub fn copied(mut self, entries: Option<[HostState; HOSTS]>) -> Option<Self> {
        if self.newest.era > 0 || self.copy.is_some() {
            return None;
        }
        self.copy = Some(StoreCopy {
            number: self.newest.number,
            entries,
        });
        Some(self)
    }

    /// The store after it went back to its copy, while the hosts had epochs up to `epoch_floor`.
    pub fn restored(self, epoch_floor: u8) -> Option<Self> {
        let copy = self.copy?;
        Some(Self {
            newest: StoreVersion {
                era: self.newest.era + 1,
                number: copy.number,
            },
            copy: None,
            restored_entries: copy.entries,
            epoch_floor,
        })
    }
}

impl FormationModel {
    /// Reads of the hosts, or of their entries in a restored store.
    pub(super) fn read_steps(
        state: &FormationState,
        node: usize,
        transitions: &mut Vec<(String, FormationState)>,
    ) {
        let sources = [
            (Some(state.hosts), false, "hosts"),
            (state.store.restored_entries, true, "restored entries"),
        ];
        for (hosts, rests_on_entries, source) in sources {
            let Some(hosts) = hosts else {
                continue;
            };
            let mut next = state.clone();
            next.nodes[node] = NodeState {
                snapshot: Some(hosts),
                rests_on_entries,
                known: state.store.newest,
                ..state.nodes[node]
            };
            if next != *state {
                transitions.push((
                    format!("node {node} takes a snapshot of the {source}"),
                    next,
                ));
            }
        }
    }

    /// Sends an order. One that rests on an entry is sent only if the host reports the same membership, with the
    /// number of orders that it reports.
    pub(super) fn send(
        &self,
        state: &FormationState,
        node: usize,
        mut order: Order,
    ) -> Option<(String, FormationState)> {
        let mut next = state.clone();
        let known = state.nodes[node];
        if known.rests_on_entries {
            let entry = known.snapshot?[order.host];
            let host = state.hosts[order.host];
            if entry.replica != host.replica {
                return None;
            }
            order.expected = host.accepted_orders;
            let is_missing = |member: &usize| state.hosts[*member].replica != Some(order.replica);
            let opens = order.kind == OrderKind::Open;
            if opens && REPLICAS[order.replica].iter().any(is_missing) {
                next.restore_fault = Some(OPENED_BY_ENTRY);
            }
        }
        if order.kind == OrderKind::Join && state.epochs[node] == 0 {
            let epoch = known
                .known
                .epoch(self.enforces(FormationGuard::EraInEpochs));
            next.epochs[node] = epoch;
            let is_after = known.known.era > 0;
            if is_after && epoch <= state.store.epoch_floor {
                next.restore_fault = Some("an epoch went back");
            }
        }
        next.nodes[node].sent = Some(order);
        next.nodes[node].join_sent[order.host] |= order.kind == OrderKind::Join;
        Some((format!("node {node} sends {order:?}"), next))
    }

    /// The store is copied, or goes back to its copy.
    pub(super) fn store_steps(
        &self,
        state: &FormationState,
        transitions: &mut Vec<(String, FormationState)>,
    ) {
        let reads_entries = !self.enforces(FormationGuard::ReportsAfterRestore);
        let entries = Some(state.hosts).filter(|_| reads_entries);
        let taken = state.hosts.iter().filter_map(|host| host.replica);
        let epochs = taken.filter_map(|replica| state.epochs.get(replica.checked_sub(1)?));
        let floor = epochs.max().copied().unwrap_or_default();
        let steps = [
            (state.store.copied(entries), "the store is copied"),
            (
                state.store.restored(floor),
                "the store goes back to the copy",
            ),
        ];
        for (store, step) in steps {
            let next = store.map(|store| FormationState {
                store,
                ..state.clone()
            });
            transitions.extend(next.map(|next| (step.to_owned(), next)));
        }
    }

    /// Forgets what no later step depends on, which bounds the state space.
    pub(super) fn forget_settled(&self, state: &mut FormationState) {
        for node in 0..NODES {
            let known = &mut state.nodes[node];
            if state.epochs[node] != 0 || known.snapshot.is_none() {
                known.known = StoreVersion::default();
            }
        }
        let is_restored = state.store.newest.era > 0;
        let all_taken = state.epochs.iter().all(|epoch| *epoch != 0);
        if is_restored || all_taken {
            state.epochs = state.epochs.map(|epoch| epoch.min(1));
        }
        if all_taken && self.enforces(FormationGuard::ReportsAfterRestore) {
            state.store = StoreState::settled();
        }
    }
}
