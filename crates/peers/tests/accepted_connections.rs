//! Tests of the places of accepted connections.

use std::future::pending;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use peers::AcceptedConnections;
use tokio::runtime::Builder;
use tokio::task::{JoinHandle, yield_now};

/// Time after which an admission counts as hung.
const HANG_TIME: Duration = Duration::from_secs(5);

/// Connections without a proof that a node keeps.
const KEPT_UNPROVEN: usize = 32;

/// Starts a connection that never proves the key.
fn admit_idle(connections: &AcceptedConnections) -> JoinHandle<()> {
    let mut started = None;
    connections.admit(|place| {
        let serving = tokio::spawn(async move {
            let _place = place;
            pending::<()>().await;
        });
        let handle = serving.abort_handle();
        started = Some(serving);
        handle
    });
    started.expect("the connection was started")
}

/// Fails if an action has not ended within the hang time.
fn assert_ends(action: impl FnOnce() + Send + 'static) {
    let (done, ended) = channel();
    thread::spawn(move || {
        action();
        done.send(()).unwrap();
    });
    let outcome = ended.recv_timeout(HANG_TIME);
    assert!(outcome.is_ok(), "the admission hangs: {outcome:?}");
}

/// A runtime that shuts down drops a new task at once. If the admission held the lock for which the dropped place
/// waits, the process would hang at its exit.
#[test]
fn shut_down_runtime_admits() {
    let runtime = Builder::new_multi_thread().build().unwrap();
    let handle = runtime.handle().clone();
    runtime.shutdown_background();
    assert_ends(move || {
        let connections = AcceptedConnections::default();
        connections.admit(|place| handle.spawn(async move { drop(place) }).abort_handle());
    });
}

/// Connections that end before their admission is complete must not count as open ones: they would close those that
/// still prove their key.
#[test]
fn ended_connections_leave_room() {
    assert_ends(|| {
        let runtime = Builder::new_current_thread().build().unwrap();
        runtime.block_on(async {
            let connections = AcceptedConnections::default();
            let first = admit_idle(&connections);
            for _ in 0..2 * KEPT_UNPROVEN {
                connections.admit(|place| {
                    drop(place);
                    tokio::spawn(async {}).abort_handle()
                });
            }
            yield_now().await;
            assert!(!first.is_finished(), "the open connection was closed");
        });
    });
}

/// Idle connections beyond the limit close the oldest ones, or they would keep out the links of other nodes.
#[tokio::test]
async fn oldest_closed_for_new_one() {
    let connections = AcceptedConnections::default();
    let mut open = Vec::new();
    for _ in 0..=KEPT_UNPROVEN {
        open.push(admit_idle(&connections));
    }
    let outcome = open.remove(0).await;
    assert!(outcome.is_err_and(|error| error.is_cancelled()));
    assert!(open.iter().all(|task| !task.is_finished()));
}
