//! Trials: single requests that show whether what is kept from all targets really crashes them.
//!
//! Crashes speak against whatever was at them, and in a joint loss of hosts that is whatever is popular. So
//! requests are kept from the targets by the records alone, but a final response needs proof: a node sends
//! one of them on, and its target crashes while no other does. The node claims the trial with a conditional
//! write, so that one trial at a time costs one target at most, however many nodes get such requests.

use std::time::Duration;

use adapter::{ConditionalWrite, StoreClient, StoreError};
use domain::EraVersion;
use events::{EventCode, LogLine};
use serving::hashing::{rendezvous_rank, stable_hash};
use serving::{BarredSet, PoisonVerdict, RequestFeature};

use super::records::{EVIDENCE_TABLE, log_skipped, read_evidence, spread_delay};
use super::rows::{EvidenceRow, TrialRow};
use super::verdict::describe_features;
use crate::admitted::AdmittedRequest;
use crate::node::GatewayNode;

/// Time for which a claimed trial keeps others from being claimed: its request may wait for a slot, its
/// target must live on for a second, and all nodes must learn how it ended.
const TRIAL_TIME: Duration = Duration::from_secs(3);

/// Minimum interval between two claims of one node for the same features. It bounds the writes while many
/// such requests come.
const CLAIM_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout for a call to the store, which the request waits for.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which it is one node's turn to try requests that are proved to crash targets, or any while the
/// store is away.
const TRIAL_TURN: Duration = Duration::from_secs(10);

/// Bounds of `Retry-After` while a trial is awaited. Clients with a deadline of some seconds don't wait for
/// longer.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Part by which clients are told to come back later, so that they don't all come at once.
const RETRY_SPREAD: f64 = 0.25;

/// Prefix of the keys of rows with trials.
const TRIAL_KEY: &str = "trial";

/// What becomes of a request that arrives.
#[derive(Debug)]
pub enum ArrivalVerdict {
    /// It is sent as any other.
    Clear,
    /// It may crash targets, and is sent to a single one.
    Suspect,
    /// It is sent to a single target to show whether requests with these features crash it.
    Trial(Vec<RequestFeature>),
    /// It is sent to no target.
    Barred(BarredSet),
}

/// How a claim ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TrialClaim {
    Granted,
    /// It is too early, or another node tries.
    Denied,
    /// The store did not respond.
    Unknown,
}

impl GatewayNode {
    /// The verdict on a request that arrives. Of those that are kept from the targets one at a time is let
    /// through: nothing else would show that the records are wrong, or the cause mended.
    pub async fn judge_arrival(&self, request: &AdmittedRequest) -> ArrivalVerdict {
        match self.crashes.verdict(request) {
            PoisonVerdict::Clear => return ArrivalVerdict::Clear,
            PoisonVerdict::Suspect => return ArrivalVerdict::Suspect,
            PoisonVerdict::Barred => {}
        }
        let Some(set) = self.crashes.barred_set(request) else {
            return ArrivalVerdict::Suspect;
        };
        let is_tried = if set.is_proved {
            self.takes_turn(&set)
        } else {
            match self.claim_trial(&set).await {
                TrialClaim::Granted => true,
                TrialClaim::Denied => false,
                TrialClaim::Unknown => self.takes_turn(&set),
            }
        };
        if !is_tried {
            return ArrivalVerdict::Barred(set);
        }
        let line = LogLine::new(EventCode::RequestBarred)
            .text("mark", &describe_features(&set.features))
            .text("outcome", "tried")
            .text(
                "request",
                request.id.as_ref().map_or("", domain::RequestId::as_str),
            );
        self.log(&line);
        ArrivalVerdict::Trial(set.features)
    }

    /// When a client may come back whose request waits for a trial.
    pub fn trial_retry_after(&self, set: &BarredSet, request: &AdmittedRequest) -> Duration {
        let until_trial = set.first_trial_at.saturating_sub(self.evidence_time());
        let until_trial = until_trial.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        until_trial.mul_f64(1.0 + RETRY_SPREAD * request.client_draw())
    }

    async fn claim_trial(&self, set: &BarredSet) -> TrialClaim {
        let now = self.evidence_time();
        let key = trial_key(&set.features);
        let known = self.crashes.table.known_row(&key);
        let claimed_at = known.and_then(|(claimed_at, _)| claimed_at);
        let is_running = claimed_at.is_some_and(|at| now < at + TRIAL_TIME);
        if now < set.first_trial_at + spread_delay(self) || is_running {
            return TrialClaim::Denied;
        }
        if !self.may_claim(&set.features, now) {
            return TrialClaim::Denied;
        }
        let era = self.eras.current();
        // A claim that a restored store has lost is remembered with a version that no row has any more.
        let expected = known
            .map(|(_, version)| version)
            .filter(|version| version.era() == era)
            .unwrap_or(EraVersion::absent(era));
        let mut client = self.store_client();
        let claimed = write_claim(self, &mut client, key, set, expected).await;
        match claimed {
            Ok(()) => TrialClaim::Granted,
            Err(StoreError::Conflict | StoreError::EraBegan) => {
                if let Err(error) = read_evidence(self, &mut client).await {
                    log_skipped(self, "read evidence on crashes", &error);
                }
                TrialClaim::Denied
            }
            Err(error) => {
                log_skipped(self, "claim a trial", &error);
                TrialClaim::Unknown
            }
        }
    }

    /// Whether this node has not claimed a trial of these features just before.
    fn may_claim(&self, features: &[RequestFeature], now: Duration) -> bool {
        let mut claims = self.crashes.trial_claims.borrow_mut();
        claims.retain(|_, at| now.saturating_sub(*at) < CLAIM_INTERVAL);
        if claims.contains_key(features) {
            return false;
        }
        claims.insert(features.to_vec(), now);
        true
    }

    /// Whether this node lets one request of a set through now without a claim. One node at a time does, as
    /// far as the nodes know of each other.
    fn takes_turn(&self, set: &BarredSet) -> bool {
        let now = self.evidence_time();
        if now < set.trial_at {
            return false;
        }
        let turn = now.as_millis() / TRIAL_TURN.as_millis();
        let marks = describe_features(&set.features);
        let subject = format!("{marks} {turn}");
        let own = self.settings.node.as_str();
        let rank = self.with_live_nodes(|nodes| {
            rendezvous_rank(own, nodes.iter().map(String::as_str), &subject)
        });
        let mut turns = self.crashes.trial_turns.borrow_mut();
        if rank > 0 || turns.get(&set.features) == Some(&turn) {
            return false;
        }
        turns.insert(set.features.clone(), turn);
        true
    }
}

async fn write_claim(
    node: &GatewayNode,
    client: &mut StoreClient,
    key: String,
    set: &BarredSet,
    expected: EraVersion,
) -> Result<(), StoreError> {
    let at = node.evidence_time();
    let row = EvidenceRow::Trial(TrialRow::new(
        &set.features,
        node.settings.node.as_str(),
        at,
    ));
    let value = serde_json::to_vec(&row);
    let write = ConditionalWrite {
        value: value.map_err(|error| StoreError::Malformed(error.to_string()))?,
        key,
        expected,
    };
    let version = client
        .put_rows_if(EVIDENCE_TABLE, std::slice::from_ref(&write), CLAIM_TIMEOUT)
        .await?;
    let table = &node.crashes.table;
    table.note_row(&write.key, version, Some(&row));
    Ok(())
}

fn trial_key(features: &[RequestFeature]) -> String {
    let marks = describe_features(features);
    format!("{TRIAL_KEY}.{:016x}", stable_hash(&marks))
}
