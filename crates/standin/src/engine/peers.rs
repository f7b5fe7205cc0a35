//! The other hosts of a replica, as rank 0 sees them.
//!
//! A step of a model that spans hosts needs all of them. When one is gone, the step of a real
//! engine hangs: no token comes, and only a long timeout within the engine ends the streams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use http::Method;
use web::client::JsonResponse;
use wire::engine::{EngineAssignment, EngineState};

use super::core::EngineCore;
use super::health::PeerHealth;

const CHECK_PERIOD: Duration = Duration::from_millis(100);
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PeerState {
    Whole,
    Loading,
    Gone,
}

/// Watches the peers for ever.
pub async fn watch_peers(core: Arc<EngineCore>) {
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        let Some(assignment) = core.leading() else {
            continue;
        };
        let peers = assignment.hosts.iter().skip(1);
        let checks = peers.map(|peer| check(&core, &assignment, peer.address));
        let worst = join_all(checks).await.into_iter().max();
        core.note_peers(&assignment, |before| match (worst, before) {
            (None | Some(PeerState::Whole), _) => PeerHealth::Whole,
            (Some(PeerState::Loading), _) => PeerHealth::Loading,
            (Some(PeerState::Gone), PeerHealth::Gone(since)) => PeerHealth::Gone(since),
            (Some(PeerState::Gone), _) => PeerHealth::Gone(Instant::now()),
        });
    }
}

async fn check(core: &EngineCore, assignment: &EngineAssignment, address: SocketAddr) -> PeerState {
    let asked: Result<JsonResponse<EngineState>, _> = core
        .client
        .json(Method::GET, address, "/state", None::<&()>, CHECK_TIMEOUT)
        .await;
    let Ok(JsonResponse { value, .. }) = asked else {
        return PeerState::Gone;
    };
    let same = value.assignment.as_ref().is_some_and(|theirs| {
        theirs.replica == assignment.replica && theirs.incarnation == assignment.incarnation
    });
    match (same, value.ready) {
        (true, true) => PeerState::Whole,
        (true, false) => PeerState::Loading,
        (false, _) => PeerState::Gone,
    }
}
