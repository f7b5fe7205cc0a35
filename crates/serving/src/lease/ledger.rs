//! The slots of one total as a process knows them, and what it asks for.

use std::time::Duration;

use domain::{EraVersion, StoreEra};

use super::{LeaseTerms, SlotLease, SlotRow, SlotWrite, StoreClock};

/// Rows that one transaction of the store may have.
const MAX_WRITES: usize = 100;

/// All slots of a total at one moment.
#[derive(Debug, Clone)]
pub struct LeasePage {
    /// Era of the store.
    pub era: StoreEra,
    /// Number, version and content of each row; slots that are missing have no row.
    pub rows: Vec<(usize, EraVersion, SlotRow)>,
    /// The store's clock at that moment.
    pub clock: StoreClock,
}

#[derive(Debug, Clone)]
struct KnownSlot {
    version: EraVersion,
    row: SlotRow,
    /// Whether the store has lost the row in a restore, so that this process, which holds the lease, has to
    /// write it again.
    is_lost: bool,
    /// From when this process may use it, on the local clock; meaningful while it holds the lease.
    usable_from: Duration,
}

/// The slots of one total. Times are local unless they are said to be the store's.
#[derive(Debug)]
pub struct LeaseLedger {
    holder: String,
    terms: LeaseTerms,
    started_at: Duration,
    slots: Vec<KnownSlot>,
    clock: Option<StoreClock>,
    /// Era of the last page.
    era: StoreEra,
    /// Until when slots that look free may be held by leases that the store has lost.
    lost_until: Duration,
}

impl LeaseLedger {
    /// Creates a ledger of `slots` slots for a process that started at `started_at` and knows nothing of
    /// them.
    #[must_use]
    pub fn new(holder: String, slots: usize, terms: LeaseTerms, started_at: Duration) -> Self {
        let unknown = KnownSlot {
            version: EraVersion::default(),
            row: SlotRow::Unreadable,
            is_lost: false,
            usable_from: Duration::MAX,
        };
        Self {
            holder,
            terms,
            started_at,
            slots: vec![unknown; slots],
            clock: None,
            era: StoreEra::UNSTATED,
            lost_until: Duration::ZERO,
        }
    }

    /// Number of slots.
    #[must_use]
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// Takes over what the store holds.
    ///
    /// A lease of this holder that this process did not write is that of the process before it, or one
    /// whose response was lost.
    ///
    /// After a restore of the store, rows may be missing or older than the leases that were written. A lease
    /// that this process holds holds on unless the store has given it to another, and its row is written
    /// again. Any other process may hold one just so, so no slot is free until all of those have ended.
    pub fn take_page(&mut self, page: LeasePage) {
        let now = page.clock.received_at;
        let is_restored = self.clock.is_some() && page.era != self.era;
        if is_restored {
            self.lost_until = now + self.terms.duration + self.terms.settle;
        }
        self.era = page.era;
        let inherited_from = self.started_at + self.terms.settle;
        let mut known: Vec<KnownSlot> = (0..self.slots.len())
            .map(|_| KnownSlot {
                version: EraVersion::absent(page.era),
                row: SlotRow::Absent,
                is_lost: false,
                usable_from: inherited_from,
            })
            .collect();
        for (slot, version, row) in page.rows {
            let Some(entry) = known.get_mut(slot) else {
                continue;
            };
            let previous = &self.slots[slot];
            if previous.version == version {
                entry.usable_from = previous.usable_from.min(inherited_from);
            }
            entry.version = version;
            entry.row = row;
        }
        if is_restored {
            self.keep_held(&mut known, page.clock, now);
        }
        self.slots = known;
        self.clock = Some(page.clock);
    }

    /// Keeps the leases of this process whose rows a restored store has lost.
    fn keep_held(&self, known: &mut [KnownSlot], clock: StoreClock, now: Duration) {
        for (slot, entry) in known.iter_mut().enumerate() {
            if !self.is_held(slot, clock, now) {
                continue;
            }
            let is_taken = matches!(
                &entry.row,
                SlotRow::Leased(lease)
                    if lease.holder != self.holder && clock.earliest(now) <= lease.until
            );
            if is_taken || entry.row == self.slots[slot].row {
                continue;
            }
            entry.row = self.slots[slot].row.clone();
            entry.usable_from = self.slots[slot].usable_from;
            entry.is_lost = true;
        }
    }

    /// Records that the store carried out `writes` in one transaction, which gave the rows `version`.
    pub fn record_written(&mut self, writes: &[SlotWrite], version: EraVersion, now: Duration) {
        for write in writes {
            let was_held = self.is_own(write.slot);
            let entry = &mut self.slots[write.slot];
            // A renewed lease may have been inherited, and what the previous process sent still counts.
            entry.usable_from = if was_held { entry.usable_from } else { now };
            entry.version = version;
            entry.is_lost = false;
            entry.row = SlotRow::Leased(write.lease.clone());
        }
    }

    fn is_own(&self, slot: usize) -> bool {
        matches!(&self.slots[slot].row, SlotRow::Leased(lease) if lease.holder == self.holder)
    }

    /// Whether this process holds the lease of a slot, for certain.
    fn is_held(&self, slot: usize, clock: StoreClock, now: Duration) -> bool {
        let SlotRow::Leased(lease) = &self.slots[slot].row else {
            return false;
        };
        lease.holder == self.holder && clock.latest(now) < lease.until
    }

    /// Whether the slot has no holder, and nothing that was sent under its last lease still counts.
    fn is_free(&self, slot: usize, clock: StoreClock, now: Duration) -> bool {
        if now < self.lost_until {
            return false;
        }
        match &self.slots[slot].row {
            SlotRow::Absent => true,
            SlotRow::Unreadable => false,
            SlotRow::Leased(lease) if lease.holder == self.holder => {
                clock.latest(now) >= lease.until
            }
            SlotRow::Leased(lease) => clock.earliest(now) > lease.until + self.terms.settle,
        }
    }

    /// Number of slots that this process may use now.
    #[must_use]
    pub fn usable(&self, now: Duration) -> usize {
        let Some(clock) = self.clock else { return 0 };
        let slots = 0..self.slots.len();
        let usable = slots
            .filter(|slot| self.is_held(*slot, clock, now) && self.slots[*slot].usable_from <= now);
        usable.count()
    }

    /// Returns whether this process lacks slots that it wants, so that another look at the store may help.
    #[must_use]
    pub fn lacks_slots(&self, now: Duration, nodes: usize) -> bool {
        let Some(clock) = self.clock else { return true };
        let slots = 0..self.slots.len();
        let held = slots.filter(|slot| self.is_held(*slot, clock, now));
        held.count() < self.fair_part(nodes)
    }

    /// Slots that a node asks for if `nodes` nodes share them.
    fn fair_part(&self, nodes: usize) -> usize {
        (self.slots.len() / nodes.max(1))
            .max(1)
            .min(self.slots.len())
    }

    /// Plans the next transaction: leases that are due for renewal, free slots up to an equal part, and
    /// the end of surplus leases.
    ///
    /// `place` is the position of this node among `nodes`; nodes that agree on it ask for different
    /// slots.
    #[must_use]
    pub fn plan(&self, now: Duration, place: usize, nodes: usize) -> Vec<SlotWrite> {
        let Some(clock) = self.clock else {
            return Vec::new();
        };
        let count = self.slots.len();
        let first = place.min(nodes) * count / nodes.max(1);
        let order: Vec<usize> = (0..count).map(|index| (first + index) % count).collect();
        let mut left = self.fair_part(nodes);
        let mut writes = Vec::new();
        for slot in &order {
            if !self.is_held(*slot, clock, now) {
                continue;
            }
            if left == 0 {
                writes.push(self.write(*slot, clock.earliest(now)));
                continue;
            }
            left -= 1;
            if self.is_due(*slot, clock, now) {
                writes.push(self.write(*slot, clock.earliest(now) + self.terms.duration));
            }
        }
        for slot in &order {
            if left == 0 || !self.is_free(*slot, clock, now) {
                continue;
            }
            left -= 1;
            writes.push(self.write(*slot, clock.earliest(now) + self.terms.duration));
        }
        writes.truncate(MAX_WRITES);
        writes
    }

    fn is_due(&self, slot: usize, clock: StoreClock, now: Duration) -> bool {
        let SlotRow::Leased(lease) = &self.slots[slot].row else {
            return false;
        };
        if self.slots[slot].is_lost {
            return true;
        }
        let renewed_until = clock.earliest(now) + self.terms.duration;
        renewed_until.saturating_sub(lease.until) >= self.terms.renew_after
    }

    fn write(&self, slot: usize, until: Duration) -> SlotWrite {
        SlotWrite {
            slot,
            expected: self.slots[slot].version,
            lease: SlotLease {
                holder: self.holder.clone(),
                until,
            },
        }
    }
}
