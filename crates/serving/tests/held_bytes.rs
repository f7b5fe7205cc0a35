//! What a node holds for slow clients, and who is cut off at the bound.

use std::time::Duration;

use quickcheck::quickcheck;
use serving::held_bytes::{HeldLedger, HolderKey, held_bound};
use serving::memory_tokens::{check_size, fits_beside};

const BOUND: usize = 1000;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against a bound without a stated memory, and one above a third of it.
#[test]
fn bound_follows_memory() {
    assert_eq!(held_bound(None), None);
    assert_eq!(held_bound(Some(160.0)), Some(40_000_000));
    assert!(!HeldLedger::new(None).is_bounded());
}

/// Load: a client reads nothing of 500 streams. Those with the most bytes are cut until there is room.
#[test]
fn stopped_clients_cut() {
    let mut ledger = HeldLedger::new(Some(BOUND));
    let keys: Vec<HolderKey> = (0..500).map(|_| ledger.add(millis(0))).collect();
    for (number, key) in keys.iter().enumerate() {
        ledger.hold(*key, 2 + number % 2, millis(0));
    }
    assert!(!ledger.has_room());
    let mut cuts = Vec::new();
    while let Some(cut) = ledger.cut_next(millis(2000)) {
        cuts.push(cut);
    }
    assert!(cuts.iter().all(|cut| cut.bytes == 3));
    assert_eq!(cuts.len(), 84, "250 bytes over the bound, in threes");
    assert!(ledger.total() < BOUND);
    assert!(cuts.iter().all(|cut| ledger.is_cut(cut.key)));
}

/// Guards against room that is given away twice: what a client that was cut off held is memory until its task gives it
/// back, and no more clients are cut off for it meanwhile.
#[test]
fn cut_bytes_count_until_removed() {
    let mut ledger = HeldLedger::new(Some(BOUND));
    let (first, second) = (ledger.add(millis(0)), ledger.add(millis(0)));
    ledger.hold(first, 600, millis(0));
    ledger.hold(second, 500, millis(0));
    let cut = ledger.cut_next(millis(2000)).expect("it has stopped");
    assert_eq!((cut.key, cut.bytes), (first, 600));
    assert!(!ledger.has_room());
    assert_eq!(ledger.cut_next(millis(2000)), None);
    ledger.remove(first);
    assert!(ledger.has_room());
}

/// Guards against a request that is cut off while it runs, since its head takes much: its client has nothing to take.
#[test]
fn fixed_bytes_alone_never_cut() {
    let mut ledger = HeldLedger::new(Some(BOUND));
    let (running, stopped) = (ledger.add(millis(0)), ledger.add(millis(0)));
    ledger.hold_fixed(running, BOUND);
    assert!(!ledger.has_room());
    assert_eq!(ledger.cut_next(millis(5000)), None);
    ledger.hold(stopped, 1, millis(5000));
    assert_eq!(ledger.cut_next(millis(5500)), None, "it is not behind yet");
    let cut = ledger.cut_next(millis(6000)).expect("it has stopped");
    assert_eq!(cut.key, stopped);
    ledger.release_fixed(running, BOUND);
    ledger.remove(stopped);
    assert!(ledger.has_room());
}

/// Load: a client that keeps up with a fast stream beside stopped ones. It is never cut, even if it holds the
/// most at the moment.
#[test]
fn keeping_up_never_cut() {
    let mut ledger = HeldLedger::new(Some(BOUND));
    let (quick, stopped) = (ledger.add(millis(0)), ledger.add(millis(0)));
    ledger.hold(stopped, 10, millis(0));
    for round in 0..40 {
        ledger.hold(quick, 990, millis(round * 100));
        let cut = ledger.cut_next(millis(round * 100));
        assert!(cut.is_none_or(|cut| cut.key == stopped));
        ledger.release(quick, 990, millis(round * 100 + 50));
    }
    assert!(ledger.is_cut(stopped));
    ledger.hold(quick, 5000, millis(9000));
    assert_eq!(ledger.cut_next(millis(9000)), None);
}

/// Failure: a client reads a byte at a time, so that it always has read lately. It is cut after those that
/// have stopped.
#[test]
fn dripping_client_cut_last() {
    let mut ledger = HeldLedger::new(Some(BOUND));
    let (dripping, stopped) = (ledger.add(millis(0)), ledger.add(millis(0)));
    ledger.hold(dripping, 1500, millis(0));
    ledger.hold(stopped, 10, millis(0));
    ledger.release(dripping, 1, millis(1900));
    let mut cut = || ledger.cut_next(millis(2000)).map(|cut| cut.key);
    assert_eq!([cut(), cut(), cut()], [Some(stopped), Some(dripping), None]);
}

/// Failure: two clients hold the same; the one that has taken nothing for longest is cut.
#[test]
fn longest_untaken_cut_first() {
    let mut ledger = HeldLedger::new(Some(BOUND));
    let (first, second) = (ledger.add(millis(0)), ledger.add(millis(0)));
    ledger.hold(second, 500, millis(0));
    ledger.hold(first, 501, millis(0));
    ledger.release(first, 1, millis(500));
    let cut = ledger.cut_next(millis(3000)).expect("both are behind");
    assert_eq!((cut.key, cut.untaken_for), (second, millis(3000)));
}

/// Failure: bytes of a stream are dropped after it was cut or removed, and its place has another holder.
#[test]
fn late_releases_ignored() {
    let mut ledger = HeldLedger::new(Some(BOUND));
    let old = ledger.add(millis(0));
    ledger.hold(old, 1200, millis(0));
    assert!(ledger.cut_next(millis(1500)).is_some());
    ledger.release(old, 600, millis(1600));
    ledger.remove(old);
    let new = ledger.add(millis(1700));
    ledger.hold(new, 100, millis(1700));
    ledger.release(old, 600, millis(1800));
    ledger.remove(old);
    assert_eq!((ledger.bytes(new), ledger.total()), (100, 100));
}

quickcheck! {
    /// Guards against a total that differs from what the holders hold, whatever the order of events.
    fn total_is_sum(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut ledger = HeldLedger::new(Some(BOUND));
        let mut keys: Vec<HolderKey> = (0..4).map(|_| ledger.add(millis(0))).collect();
        for (time, (kind, index, bytes)) in (0..).zip(steps) {
            let index = usize::from(index) % keys.len();
            let (key, now) = (keys[index], millis(time * 300));
            match kind % 4 {
                0 => ledger.hold(key, usize::from(bytes), now),
                1 => ledger.release(key, usize::from(bytes), now),
                2 => drop(ledger.cut_next(now)),
                _ => {
                    ledger.remove(key);
                    keys[index] = ledger.add(now);
                }
            }
            let sum: usize = keys.iter().map(|key| ledger.bytes(*key)).sum();
            if sum != ledger.total() {
                return false;
            }
        }
        true
    }
}

/// Load: requests that together, or by themselves, exceed what a replica holds in memory.
#[test]
fn tokens_beyond_memory() {
    let error = check_size(901, Some(900)).expect_err("too large");
    assert_eq!(
        error.to_string(),
        "request needs 901 tokens, a replica holds 900"
    );
    assert!(check_size(900, Some(900)).is_ok() && check_size(u64::MAX, None).is_ok());
    assert!(fits_beside(400, 500, Some(900)) && !fits_beside(401, 500, Some(900)));
    assert!(!fits_beside(1, u64::MAX, Some(900)) && fits_beside(1, u64::MAX, None));
}
