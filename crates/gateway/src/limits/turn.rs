//! The turn to send to a target that states a limit.

use std::rc::Rc;
use std::time::Duration;

use adapter::{StoreClient, StoreError};
use domain::HostId;
use events::{EventCode, LogLine};
use serving::hashing::{stable_hash, unit_draw};

use crate::lease_rows::LeaseTable;
use crate::node::GatewayNode;

/// Table of the turns.
const TABLE: &str = "limit_leases";

/// Number of rows. Targets whose ids have the same hash share a row, and so one holder; a row per target
/// would stay behind when the target is gone.
const TURN_ROWS: u64 = 256;

/// Time from a claim of the turn to its end, after which another node may take it.
pub const TURN_TIME: Duration = Duration::from_secs(10);

/// Age from which a turn that is used is renewed; two renewals may fail.
pub const RENEWAL_AGE: Duration = Duration::from_secs(3);

/// Interval for looking whether the turn should be claimed or renewed.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Longest part of the silence by which nodes ask for a turn later than the first one, so that few find it
/// taken.
const SPREAD_FACTOR: f64 = 1.0;

/// Claims the turn of a target when nobody seems to have it, and renews it while it is used. Returns once the
/// target states no limit or is gone.
pub async fn hold_turn(node: Rc<GatewayNode>, id: HostId, claims_at_once: bool) {
    let mut client = node.store_client();
    let mut next_claim = if claims_at_once {
        node.now()
    } else {
        node.now() + pause(&node, &id)
    };
    let mut waits_for_silence = !claims_at_once;
    let learned_at = node.limit_of(&id).map(|limit| limit.learned_at);
    loop {
        // A limit that ended and was stated again has a task of its own.
        let known = node.limit_of(&id).map(|limit| limit.learned_at);
        if known.is_none() || known != learned_at {
            return;
        }
        if node.registry(|registry| registry.get(&id).is_none()) {
            node.forget_limit(&id);
            return;
        }
        let may_ask = !waits_for_silence || node.limit_silence(&id) >= node.turn_patience();
        if node.needs_claim(&id, may_ask && node.now() >= next_claim) {
            let outcome = claim(&node, &mut client, &id).await;
            node.log_turn(&id, outcome.as_ref().err());
            next_claim = node.now() + pause(&node, &id);
            waits_for_silence = true;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Pause before this node asks for a turn: the silence that it bears, and a part that differs between nodes.
fn pause(node: &GatewayNode, id: &HostId) -> Duration {
    let part = unit_draw(&(node.settings.node.as_str(), id.as_str()));
    node.turn_patience().mul_f64(1.0 + SPREAD_FACTOR * part)
}

async fn claim(
    node: &GatewayNode,
    client: &mut StoreClient,
    id: &HostId,
) -> Result<(), StoreError> {
    let row = format!("{:03}", stable_hash(&id.as_str()) % TURN_ROWS);
    let table = LeaseTable::new(TABLE, |_slot| row.clone());
    let slot_of = |key: &str| (key == row).then_some(0);
    let page = table.read(node, client, slot_of).await?;
    let now = node.boot_now();
    let writes = node.with_limited(id, |limited| {
        limited.turn.take_page(page);
        limited.turn.plan(now, 0, 1)
    });
    let Some(writes) = writes.filter(|writes| !writes.is_empty()) else {
        return Ok(());
    };
    let version = table.write(client, &writes).await?;
    let now = node.boot_now();
    node.with_limited(id, |limited| {
        limited.turn.record_written(&writes, version, now);
    });
    Ok(())
}

impl GatewayNode {
    fn with_limited<R>(
        &self,
        id: &HostId,
        access: impl FnOnce(&mut super::LimitedTarget) -> R,
    ) -> Option<R> {
        self.limits.borrow_mut().get_mut(id).map(access)
    }

    /// Whether this node should claim the turn now: it has and uses it, or has not and may ask for it.
    fn needs_claim(&self, id: &HostId, may_ask: bool) -> bool {
        let now = self.boot_now();
        let turn = self.with_limited(id, |limited| {
            let is_due = !limited.turn.plan(now, 0, 1).is_empty();
            (limited.turn.usable(now) > 0, is_due, limited.sent > 0)
        });
        let Some((is_held, is_due, is_used)) = turn else {
            return false;
        };
        if is_held {
            return is_due && is_used;
        }
        may_ask
    }

    fn log_turn(&self, id: &HostId, error: Option<&StoreError>) {
        let now = self.boot_now();
        let state = self.with_limited(id, |limited| {
            let is_held = limited.turn.usable(now) > 0;
            (is_held, std::mem::take(&mut limited.sent))
        });
        let Some((is_held, sent)) = state else { return };
        let outcome = match error {
            Some(error) => error.to_string(),
            None if is_held => "held".to_owned(),
            None => "held by another node".to_owned(),
        };
        let line = LogLine::new(EventCode::LimitTurn)
            .text("host", id.as_str())
            .text("outcome", &outcome)
            .number("sent", sent);
        self.log(&line);
    }
}
