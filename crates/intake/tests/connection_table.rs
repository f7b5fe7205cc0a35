//! Which connection is closed for a new one.

use std::time::Duration;

use intake::{ConnectionKey, ConnectionLimits, ConnectionState, ConnectionTable, TableFull};
use quickcheck::quickcheck;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn admit(table: &mut ConnectionTable, now: u64) -> ConnectionKey {
    table.admit(at(now)).expect("a place").0
}

fn displaced(table: &mut ConnectionTable, now: u64) -> Option<ConnectionKey> {
    let (_, displaced) = table.admit(at(now)).expect("a place");
    displaced.map(|(key, _)| key)
}

/// Guards against a crowd that never sends a head and takes the places of clients that have been served.
#[test]
fn unproven_goes_first() {
    let mut table = ConnectionTable::new(3);
    let idle = admit(&mut table, 0);
    table.set_state(idle, ConnectionState::Idle, at(1));
    let first = admit(&mut table, 2);
    let second = admit(&mut table, 3);
    assert_eq!(displaced(&mut table, 4), Some(first));
    assert_eq!(displaced(&mut table, 5), Some(second));
}

/// Guards against closing a connection that was just used while another one has been idle for long.
#[test]
fn longest_idle_goes_next() {
    let mut table = ConnectionTable::new(3);
    let keys: Vec<_> = (0..3).map(|now| admit(&mut table, now)).collect();
    for (key, since) in [(keys[0], 9), (keys[1], 7), (keys[2], 8)] {
        table.set_state(key, ConnectionState::Busy, at(4));
        table.set_state(key, ConnectionState::Idle, at(since));
    }
    assert_eq!(displaced(&mut table, 10), Some(keys[1]));
}

/// Guards against a response that is cut off in the middle while another connection is idle, or has only begun to send
/// a body.
#[test]
fn responding_goes_last() {
    let mut table = ConnectionTable::new(3);
    let keys: Vec<_> = (0..3).map(|now| admit(&mut table, now)).collect();
    table.set_state(keys[0], ConnectionState::Responding, at(3));
    table.set_state(keys[1], ConnectionState::Receiving, at(4));
    table.set_state(keys[2], ConnectionState::Idle, at(5));
    for expected in [keys[2], keys[1], keys[0]] {
        let (new, gone) = table.admit(at(6)).expect("a place");
        assert_eq!(gone.map(|(key, _)| key), Some(expected));
        table.set_state(new, ConnectionState::Busy, at(6));
    }
}

/// Guards against a request that is cut off, perhaps after it has run, for a connection that has asked for nothing yet.
#[test]
fn busy_is_kept() {
    let mut table = ConnectionTable::new(2);
    let receiving = admit(&mut table, 0);
    let busy = admit(&mut table, 0);
    table.set_state(receiving, ConnectionState::Receiving, at(1));
    table.set_state(busy, ConnectionState::Busy, at(1));
    let (new, gone) = table.admit(at(2)).expect("a place");
    assert_eq!(gone, Some((receiving, ConnectionState::Receiving)));
    table.set_state(new, ConnectionState::Busy, at(3));
    assert_eq!(table.admit(at(4)), Err(TableFull));
    table.remove(busy);
    assert!(table.admit(at(5)).is_ok());
}

quickcheck! {
    /// Guards against a count that drifts: whatever connections do, there are never more than the bound, and those
    /// that are not busy can always make room.
    fn never_more_than_bound(steps: Vec<(u8, u8)>) -> bool {
        const BOUND: usize = 4;
        let mut table = ConnectionTable::new(BOUND);
        let mut open: Vec<(ConnectionKey, ConnectionState)> = Vec::new();
        for (now, (action, index)) in steps.into_iter().enumerate() {
            let now = at(now as u64);
            let states = [
                ConnectionState::Idle, ConnectionState::Receiving, ConnectionState::Busy,
            ];
            match (action % 5, open.len()) {
                (0 | 1, _) => {
                    let Ok((key, gone)) = table.admit(now) else {
                        let mut states = open.iter().map(|(_, state)| *state);
                        let is_full = open.len() == BOUND;
                        if is_full && states.all(|state| state == ConnectionState::Busy) {
                            continue;
                        }
                        return false;
                    };
                    open.retain(|(known, _)| Some(*known) != gone.map(|(key, _)| key));
                    open.push((key, ConnectionState::Unproven));
                }
                (_, 0) => {}
                (2, count) => table.remove(open.remove(usize::from(index) % count).0),
                (_, count) => {
                    let chosen = &mut open[usize::from(index) % count];
                    chosen.1 = states[usize::from(index) % 3];
                    table.set_state(chosen.0, chosen.1, now);
                }
            }
            if table.len() != open.len() || table.len() > BOUND {
                return false;
            }
        }
        true
    }
}

/// Guards against a bound that leaves the process no descriptors of its own, whatever the settings state.
#[test]
fn descriptors_left_for_the_process() {
    let limits = ConnectionLimits {
        stated: Some(1000),
        stated_requests: Some(1000),
        descriptors: Some(400),
        memory_mb: None,
    };
    assert_eq!(limits.max_connections(), 200);
    assert_eq!(limits.max_requests(), 100);
    assert_eq!(limits.max_tunnels(), 25);
}

/// Guards against a process that closes ordinary clients for each other, since it is told of less memory than it takes
/// itself.
#[test]
fn some_connections_always_kept() {
    let limits = ConnectionLimits {
        memory_mb: Some(0.1),
        descriptors: Some(400),
        ..ConnectionLimits::default()
    };
    assert_eq!(limits.max_connections(), 64);
    assert_eq!(limits.max_requests(), 64);
}

/// Guards against connections that take more than their part of a small machine's memory.
#[test]
fn memory_bounds_connections() {
    let limits = ConnectionLimits {
        descriptors: Some(900),
        memory_mb: Some(24.576),
        ..ConnectionLimits::default()
    };
    assert_eq!(limits.max_connections(), 166);
    assert_eq!(limits.max_requests(), 150);
}
