//! Health checks of the other hosts of a replica by rank 0.
//!
//! A step of a model that spans several hosts needs all of them. When one is lost, the step of a
//! real engine hangs: no tokens are produced until a long timeout in the engine fails the streams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use http::Method;
use web::client::JsonResponse;
use wire::engine::{EngineAssignment, EngineState};

use super::core::EngineCore;
use super::health::PeerHealth;

const CHECK_INTERVAL: Duration = Duration::from_millis(100);
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PeerState {
    Ready,
    Loading,
    Unreachable,
}

/// Checks the peers in an endless loop while the engine is rank 0.
pub async fn watch_peers(core: Arc<EngineCore>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let Some(assignment) = core.leader_assignment() else {
            continue;
        };
        let peers = assignment.hosts.iter().skip(1);
        let checks = peers.map(|peer| check(&core, &assignment, peer.address));
        let worst = join_all(checks).await.into_iter().max();
        core.update_peers(&assignment, |before| match (worst, before) {
            (None | Some(PeerState::Ready), _) => PeerHealth::AllReady,
            (Some(PeerState::Loading), _) => PeerHealth::Loading,
            (Some(PeerState::Unreachable), PeerHealth::Lost(since)) => PeerHealth::Lost(since),
            (Some(PeerState::Unreachable), _) => PeerHealth::Lost(Instant::now()),
        });
    }
}

async fn check(core: &EngineCore, assignment: &EngineAssignment, address: SocketAddr) -> PeerState {
    let reported: Result<JsonResponse<EngineState>, _> = core
        .client
        .json(Method::GET, address, "/state", None::<&()>, CHECK_TIMEOUT)
        .await;
    let Ok(JsonResponse { value, .. }) = reported else {
        return PeerState::Unreachable;
    };
    let matches = value.assignment.as_ref().is_some_and(|peer| {
        peer.replica == assignment.replica && peer.incarnation == assignment.incarnation
    });
    match (matches, value.ready) {
        (true, true) => PeerState::Ready,
        (true, false) => PeerState::Loading,
        (false, _) => PeerState::Unreachable,
    }
}
