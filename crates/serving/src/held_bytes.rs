//! Bytes that one node holds for clients that take or send them slowly, and who is cut off at the bound.
//!
//! The load that this handles: clients that read nothing of hundreds of streams while targets send on, request
//! bodies that arrive byte by byte, and heads that do not end, on a node of 160 to 512 MB.

use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

/// Part of the memory of a node's process that may hold bytes for clients. The rest is for the process
/// itself, the buffers of connections and what the allocator leaves unused: 55 MB with 500 streams.
const HELD_PART: f64 = 0.25;

/// Bytes per MB.
const BYTES_PER_MB: f64 = 1e6;

/// Time without having taken everything after which a client may be cut off. A client that keeps up takes an
/// event within a round trip.
const BEHIND_TIME: Duration = Duration::from_secs(1);

/// Time without having taken anything after which a client counts as stopped.
const STOPPED_TIME: Duration = Duration::from_secs(1);

/// Bytes that a node with this memory, in MB, may hold; `None` if its memory is not stated.
#[must_use]
pub fn held_bound(memory_mb: Option<f64>) -> Option<usize> {
    let bytes = memory_mb? * HELD_PART * BYTES_PER_MB;
    // Saturates for memory sizes that no machine has.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let bytes = bytes as usize;
    Some(bytes)
}

new_key_type! {
    /// Names a holder in a [`HeldLedger`]. The key of a removed holder names none that comes later.
    pub struct HolderKey;
}

/// A holder that is to be cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderCut {
    /// The holder.
    pub key: HolderKey,
    /// Bytes that were held for it.
    pub bytes: usize,
    /// Time since its client last took any.
    pub untaken_for: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Holder {
    /// Bytes that the client has not taken or sent completely.
    bytes: usize,
    /// Bytes that are held whatever the client does, for as long as its request runs.
    fixed: usize,
    /// When bytes began to be held without interruption.
    behind_since: Duration,
    /// When the client last took bytes, or bytes began to be held.
    taken_at: Duration,
    is_cut: bool,
}

impl Holder {
    fn all_bytes(&self) -> usize {
        self.bytes + self.fixed
    }
}

/// What one node holds, by holder: a client connection with the request or response on it. Times are since
/// the start of the process.
#[derive(Debug, Default)]
pub struct HeldLedger {
    bound: Option<usize>,
    holders: SlotMap<HolderKey, Holder>,
    total: usize,
    /// Bytes of holders that have been cut off and not removed yet: their memory has not been given back.
    cut_total: usize,
    /// Time before which no holder can be cut off, so that they are not all looked at in vain.
    no_cut_before: Duration,
}

impl HeldLedger {
    /// Creates a ledger with a bound on the bytes of all holders; `None` if there is none.
    #[must_use]
    pub fn new(bound: Option<usize>) -> Self {
        Self {
            bound,
            ..Self::default()
        }
    }

    /// Whether there is a bound.
    #[must_use]
    pub fn is_bounded(&self) -> bool {
        self.bound.is_some()
    }

    /// Bytes held, without those of holders that have been cut off.
    #[must_use]
    pub fn total(&self) -> usize {
        self.total
    }

    /// The most bytes held for one holder.
    #[must_use]
    pub fn largest(&self) -> usize {
        let holders = self.holders.values();
        holders.map(|holder| holder.bytes).max().unwrap_or(0)
    }

    /// Adds a holder without bytes.
    pub fn add(&mut self, now: Duration) -> HolderKey {
        self.holders.insert(Holder {
            bytes: 0,
            fixed: 0,
            behind_since: now,
            taken_at: now,
            is_cut: false,
        })
    }

    /// Removes a holder with its bytes.
    pub fn remove(&mut self, key: HolderKey) {
        let Some(holder) = self.holders.remove(key) else {
            return;
        };
        if holder.is_cut {
            self.cut_total -= holder.all_bytes();
        } else {
            self.total -= holder.all_bytes();
        }
    }

    /// Bytes held for a holder; 0 for one that was removed or cut off.
    #[must_use]
    pub fn bytes(&self, key: HolderKey) -> usize {
        let holder = self.holders.get(key).filter(|holder| !holder.is_cut);
        holder.map_or(0, |holder| holder.bytes)
    }

    /// Records that bytes are held for a holder from now on.
    pub fn hold(&mut self, key: HolderKey, bytes: usize, now: Duration) {
        let Some(holder) = self.uncut(key) else {
            return;
        };
        if holder.bytes == 0 {
            holder.behind_since = now;
            holder.taken_at = now;
        }
        holder.bytes += bytes;
        self.total += bytes;
    }

    /// Records that bytes are no longer held, because the client took them.
    pub fn release(&mut self, key: HolderKey, bytes: usize, now: Duration) {
        let Some(holder) = self.uncut(key) else {
            return;
        };
        let released = bytes.min(holder.bytes);
        holder.bytes -= released;
        holder.taken_at = now;
        self.total -= released;
    }

    /// Records that bytes are held for a holder until they are released, whatever its client does. A holder is not cut
    /// off for them alone: its request runs, and its client has nothing to take.
    pub fn hold_fixed(&mut self, key: HolderKey, bytes: usize) {
        let Some(holder) = self.uncut(key) else {
            return;
        };
        holder.fixed += bytes;
        self.total += bytes;
    }

    /// Records that such bytes are no longer held.
    pub fn release_fixed(&mut self, key: HolderKey, bytes: usize) {
        let Some(holder) = self.uncut(key) else {
            return;
        };
        let released = bytes.min(holder.fixed);
        holder.fixed -= released;
        self.total -= released;
    }

    /// Whether a holder has been cut off.
    #[must_use]
    pub fn is_cut(&self, key: HolderKey) -> bool {
        self.holders.get(key).is_some_and(|holder| holder.is_cut)
    }

    /// Whether the bytes held are below the bound, with those of holders that have been cut off and not removed yet.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.bound
            .is_none_or(|bound| self.total + self.cut_total < bound)
    }

    /// Whether there will be room once all holders that have been cut off are removed.
    fn will_have_room(&self) -> bool {
        self.bound.is_none_or(|bound| self.total < bound)
    }

    /// Chooses who is cut off while the bytes held by others than those that have been cut off reach the bound;
    /// `None` if they don't, or if all clients keep up.
    ///
    /// Those whose clients have stopped come first; among them the one with the most bytes, and of equal ones
    /// the one whose client has taken nothing for longest.
    pub fn cut_next(&mut self, now: Duration) -> Option<HolderCut> {
        if self.will_have_room() || now < self.no_cut_before {
            return None;
        }
        let mut chosen: Option<((bool, usize, Duration), HolderKey)> = None;
        let mut first_behind = now + BEHIND_TIME;
        for (key, holder) in &self.holders {
            if holder.is_cut || holder.bytes == 0 {
                continue;
            }
            let behind_at = holder.behind_since + BEHIND_TIME;
            if now < behind_at {
                first_behind = first_behind.min(behind_at);
                continue;
            }
            let untaken_for = now.saturating_sub(holder.taken_at);
            let order = (untaken_for >= STOPPED_TIME, holder.all_bytes(), untaken_for);
            if chosen.is_none_or(|(best, _)| order > best) {
                chosen = Some((order, key));
            }
        }
        let Some(((_, bytes, untaken_for), key)) = chosen else {
            // One that begins to be held later is behind later.
            self.no_cut_before = first_behind;
            return None;
        };
        self.holders.get_mut(key)?.is_cut = true;
        self.total -= bytes;
        self.cut_total += bytes;
        Some(HolderCut {
            key,
            bytes,
            untaken_for,
        })
    }

    fn uncut(&mut self, key: HolderKey) -> Option<&mut Holder> {
        self.holders.get_mut(key).filter(|holder| !holder.is_cut)
    }
}
