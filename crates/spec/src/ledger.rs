//! The ledger of non-idempotent calls: one idempotency key, two entry nodes, a table, a service.
//!
//! The client sends its request through both entry nodes. The write of a claim may take effect
//! late, its response may be lost, an entry node may pause between any two steps, the service may
//! refuse the connection before any byte is sent, and its response may be lost after it ran the
//! call. Housekeeping deletes settled claims.

use crate::search::{ProtocolModel, SpecGuard};

const ENTRIES: usize = 2;

/// A guard of the protocol that can be removed from the specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LedgerGuard {
    /// A claim is inserted only if none exists.
    ConditionalInsert,
    /// If the response to a claim is lost, the claim is sent again under the same token before the
    /// client gets a response.
    SettleLostClaim,
    /// A claim is withdrawn only if no byte of its call was sent.
    WithdrawUnsentOnly,
    /// A call whose response was lost is never sent again.
    NeverResend,
    /// Only settled claims are deleted.
    DeleteSettledOnly,
}

impl SpecGuard for LedgerGuard {
    const ALL: &'static [Self] = &[
        Self::ConditionalInsert,
        Self::SettleLostClaim,
        Self::WithdrawUnsentOnly,
        Self::NeverResend,
        Self::DeleteSettledOnly,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::ConditionalInsert => "conditional insert",
            Self::SettleLostClaim => "settling claims in doubt",
            Self::WithdrawUnsentOnly => "withdrawing unsent calls only",
            Self::NeverResend => "sending calls only once",
            Self::DeleteSettledOnly => "deleting settled claims only",
        }
    }
}

/// Specification of the ledger.
#[derive(Debug)]
pub struct LedgerModel {
    removed_guard: Option<LedgerGuard>,
}

/// The claim's row, the request at each entry node, and how often the service ran its call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LedgerState {
    row: ClaimRow,
    requests: [Request; ENTRIES],
    runs: [u8; ENTRIES],
    deletions_left: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum ClaimRow {
    Absent,
    Claimed(usize),
    Answered(usize),
    Withdrawn(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Request {
    /// The client has not sent it yet.
    NotSent,
    /// The write of the claim is in transit.
    Claiming,
    /// The response to the claim is lost; `applied` says whether the write took effect or is still
    /// in transit.
    InDoubt { applied: bool },
    /// The entry node holds the claim and has sent nothing.
    Granted,
    /// The call is in transit.
    Sent,
    /// The service ran the call; the response is in transit.
    Ran,
    /// The service refused the connection before any byte was sent.
    Refused,
    /// The client got this result.
    Finished(CallResult),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum CallResult {
    /// The response of the service.
    Response,
    /// The call was not run and may be sent again.
    NotRun,
    /// The call may have run.
    Unknown,
}

impl LedgerModel {
    fn enforces(&self, guard: LedgerGuard) -> bool {
        self.removed_guard != Some(guard)
    }

    fn claim(
        &self,
        state: &LedgerState,
        entry: usize,
        transitions: &mut Vec<(String, LedgerState)>,
    ) {
        let free = matches!(state.row, ClaimRow::Absent | ClaimRow::Withdrawn(_));
        if free || !self.enforces(LedgerGuard::ConditionalInsert) {
            let mut next = state.clone();
            next.row = ClaimRow::Claimed(entry);
            next.requests[entry] = Request::Granted;
            transitions.push((format!("entry {entry} claims"), next.clone()));
            next.requests[entry] = Request::InDoubt { applied: true };
            transitions.push((format!("entry {entry} claims and loses the response"), next));
            let mut delayed = state.clone();
            delayed.requests[entry] = Request::InDoubt { applied: false };
            transitions.push((format!("the claim of entry {entry} is delayed"), delayed));
            let not_run = finish(state, entry, CallResult::NotRun);
            transitions.push((
                format!("entry {entry} finds the store unavailable"),
                not_run,
            ));
            return;
        }
        let result = match state.row {
            ClaimRow::Answered(_) => CallResult::Response,
            ClaimRow::Absent | ClaimRow::Claimed(_) | ClaimRow::Withdrawn(_) => CallResult::Unknown,
        };
        transitions.push((
            format!("entry {entry} finds an existing claim"),
            finish(state, entry, result),
        ));
    }

    fn settle_claim(
        &self,
        state: &LedgerState,
        entry: usize,
        applied: bool,
        transitions: &mut Vec<(String, LedgerState)>,
    ) {
        let free = matches!(state.row, ClaimRow::Absent | ClaimRow::Withdrawn(_));
        if !applied && free {
            let mut arrived = state.clone();
            arrived.row = ClaimRow::Claimed(entry);
            arrived.requests[entry] = Request::InDoubt { applied: true };
            transitions.push((
                format!("the delayed claim of entry {entry} takes effect"),
                arrived,
            ));
        }
        if !self.enforces(LedgerGuard::SettleLostClaim) {
            let mut granted = state.clone();
            granted.requests[entry] = Request::Granted;
            transitions.push((
                format!("entry {entry} assumes that its claim is granted"),
                granted,
            ));
            return;
        }
        let mut next = state.clone();
        let is_own = state.row == ClaimRow::Claimed(entry);
        if is_own || (!applied && free) {
            next.row = ClaimRow::Claimed(entry);
            next.requests[entry] = Request::Granted;
        } else {
            next.requests[entry] = Request::Finished(CallResult::Unknown);
        }
        transitions.push((
            format!("entry {entry} resends the claim under its token"),
            next,
        ));
        transitions.push((
            format!("entry {entry} can't settle the claim"),
            finish(state, entry, CallResult::Unknown),
        ));
    }

    fn send_call(
        &self,
        state: &LedgerState,
        entry: usize,
        transitions: &mut Vec<(String, LedgerState)>,
    ) {
        match state.requests[entry] {
            Request::Granted => {
                let mut sent = state.clone();
                sent.requests[entry] = Request::Sent;
                transitions.push((format!("entry {entry} sends the call"), sent));
                let mut refused = state.clone();
                refused.requests[entry] = Request::Refused;
                transitions.push((
                    format!("the service refuses entry {entry}'s connection"),
                    refused,
                ));
            }
            Request::Refused => {
                let mut next = finish(state, entry, CallResult::NotRun);
                if state.row == ClaimRow::Claimed(entry) {
                    next.row = ClaimRow::Withdrawn(entry);
                }
                transitions.push((format!("entry {entry} withdraws its claim"), next));
                let unknown = finish(state, entry, CallResult::Unknown);
                transitions.push((format!("entry {entry} can't withdraw its claim"), unknown));
            }
            Request::Sent => {
                let mut next = state.clone();
                next.runs[entry] += 1;
                next.requests[entry] = Request::Ran;
                transitions.push((format!("the service runs the call of entry {entry}"), next));
                self.lose_response(state, entry, transitions);
            }
            Request::Ran => {
                let mut next = finish(state, entry, CallResult::Response);
                if state.row == ClaimRow::Claimed(entry) {
                    next.row = ClaimRow::Answered(entry);
                }
                transitions.push((format!("entry {entry} records the response"), next));
                self.lose_response(state, entry, transitions);
            }
            Request::NotSent
            | Request::Claiming
            | Request::InDoubt { .. }
            | Request::Finished(_) => {}
        }
    }

    fn lose_response(
        &self,
        state: &LedgerState,
        entry: usize,
        transitions: &mut Vec<(String, LedgerState)>,
    ) {
        let unknown = finish(state, entry, CallResult::Unknown);
        transitions.push((format!("entry {entry} loses the response"), unknown));
        if !self.enforces(LedgerGuard::NeverResend) {
            let mut next = state.clone();
            next.requests[entry] = Request::Granted;
            transitions.push((
                format!("entry {entry} loses the response and resends"),
                next,
            ));
        }
        if !self.enforces(LedgerGuard::WithdrawUnsentOnly) {
            let mut next = finish(state, entry, CallResult::NotRun);
            next.row = ClaimRow::Withdrawn(entry);
            transitions.push((
                format!("entry {entry} loses the response and withdraws"),
                next,
            ));
        }
    }

    fn delete_claim(&self, state: &LedgerState) -> Option<LedgerState> {
        let deletable = match state.row {
            ClaimRow::Absent => false,
            ClaimRow::Claimed(_) => !self.enforces(LedgerGuard::DeleteSettledOnly),
            // A settled claim is deleted long after its client's last retry.
            ClaimRow::Answered(_) | ClaimRow::Withdrawn(_) => state
                .requests
                .iter()
                .all(|request| matches!(request, Request::Finished(_))),
        };
        if !deletable || state.deletions_left == 0 {
            return None;
        }
        let mut next = state.clone();
        next.row = ClaimRow::Absent;
        next.deletions_left -= 1;
        Some(next)
    }
}

fn finish(state: &LedgerState, entry: usize, result: CallResult) -> LedgerState {
    let mut next = state.clone();
    next.requests[entry] = Request::Finished(result);
    next
}

impl ProtocolModel for LedgerModel {
    const NAME: &'static str = "ledger";

    type Guard = LedgerGuard;

    type State = LedgerState;

    fn new(removed_guard: Option<LedgerGuard>) -> Self {
        Self { removed_guard }
    }

    fn initial_state(&self) -> LedgerState {
        LedgerState {
            row: ClaimRow::Absent,
            requests: [Request::NotSent; ENTRIES],
            runs: [0; ENTRIES],
            deletions_left: 1,
        }
    }

    fn transitions(&self, state: &LedgerState) -> Vec<(String, LedgerState)> {
        let mut transitions = Vec::new();
        for entry in 0..ENTRIES {
            match state.requests[entry] {
                Request::NotSent => {
                    let mut next = state.clone();
                    next.requests[entry] = Request::Claiming;
                    transitions.push((
                        format!("the client sends the request to entry {entry}"),
                        next,
                    ));
                }
                Request::Claiming => self.claim(state, entry, &mut transitions),
                Request::InDoubt { applied } => {
                    self.settle_claim(state, entry, applied, &mut transitions);
                }
                Request::Granted | Request::Sent | Request::Ran | Request::Refused => {
                    self.send_call(state, entry, &mut transitions);
                }
                Request::Finished(_) => {}
            }
        }
        if let Some(next) = self.delete_claim(state) {
            transitions.push(("housekeeping deletes the claim".to_owned(), next));
        }
        transitions.retain(|(_, next)| next.runs.iter().all(|runs| *runs <= 2));
        transitions
    }

    fn violated_invariant(&self, state: &LedgerState) -> Option<&'static str> {
        if state.runs.iter().sum::<u8>() > 1 {
            return Some("a call ran twice");
        }
        for (request, runs) in state.requests.iter().zip(state.runs) {
            if *request == Request::Finished(CallResult::NotRun) && runs > 0 {
                return Some("a call ran although the client was told that it did not");
            }
        }
        None
    }
}
