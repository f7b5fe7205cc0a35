//! The ledger of non-idempotent calls: one idempotency key, two entries, a table, a service.
//!
//! The caller sends its request through the first entry and again through the second. A claim's
//! write takes effect late, its answer may be lost, an entry may pause between any two steps, the
//! connection to the service may be refused before any byte, and the service's answer may be lost
//! after it ran the call. The housekeeper removes settled claims.

use crate::search::{ProtocolModel, SpecGuard};

const ENTRIES: usize = 2;

/// A mechanism that the specification can go without.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LedgerGuard {
    /// The claim is inserted only when there is none.
    ConditionalInsert,
    /// After a lost answer the claim is settled by the token before anything is said.
    SettleLostClaim,
    /// Only a call of which no byte was sent is withdrawn.
    WithdrawUnsentOnly,
    /// A call whose answer was lost is never sent again.
    NeverResend,
    /// Only settled claims are removed.
    RemoveSettledOnly,
}

impl SpecGuard for LedgerGuard {
    const ALL: &'static [Self] = &[
        Self::ConditionalInsert,
        Self::SettleLostClaim,
        Self::WithdrawUnsentOnly,
        Self::NeverResend,
        Self::RemoveSettledOnly,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::ConditionalInsert => "conditional insert",
            Self::SettleLostClaim => "settling a lost claim",
            Self::WithdrawUnsentOnly => "withdrawing unsent calls only",
            Self::NeverResend => "never sending again",
            Self::RemoveSettledOnly => "removing settled claims only",
        }
    }
}

/// The specification.
#[derive(Debug)]
pub struct LedgerModel {
    removed: Option<LedgerGuard>,
}

/// The claim's row, each entry's request and what the service ran.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LedgerState {
    row: ClaimRow,
    requests: [Request; ENTRIES],
    runs: [u8; ENTRIES],
    removals_left: u8,
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
    /// Not asked yet.
    Waiting,
    /// The claim's write is on its way.
    Claiming,
    /// The claim's answer is lost; its write took effect or is still on its way.
    InDoubt { effective: bool },
    /// The claim is ours; nothing is sent.
    Granted,
    /// The call is on its way.
    Sent,
    /// The service ran the call; the answer is on its way.
    Ran,
    /// The connection was refused before any byte.
    Refused,
    /// The caller was told.
    Told(Told),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Told {
    Answer,
    NotRun,
    Unknown,
}

impl LedgerModel {
    fn has(&self, guard: LedgerGuard) -> bool {
        self.removed != Some(guard)
    }

    fn claim(&self, state: &LedgerState, who: usize, out: &mut Vec<(String, LedgerState)>) {
        let free = matches!(state.row, ClaimRow::Absent | ClaimRow::Withdrawn(_));
        if free || !self.has(LedgerGuard::ConditionalInsert) {
            let mut next = state.clone();
            next.row = ClaimRow::Claimed(who);
            next.requests[who] = Request::Granted;
            out.push((format!("entry {who} claims"), next.clone()));
            next.requests[who] = Request::InDoubt { effective: true };
            out.push((format!("entry {who} claims and the answer is lost"), next));
            let mut late = state.clone();
            late.requests[who] = Request::InDoubt { effective: false };
            out.push((format!("the claim of entry {who} is late"), late));
            let told = tell(state, who, Told::NotRun);
            out.push((format!("entry {who} finds the store down"), told));
            return;
        }
        let told = match state.row {
            ClaimRow::Answered(_) => Told::Answer,
            ClaimRow::Absent | ClaimRow::Claimed(_) | ClaimRow::Withdrawn(_) => Told::Unknown,
        };
        out.push((format!("entry {who} finds a claim"), tell(state, who, told)));
    }

    fn settle_doubt(
        &self,
        state: &LedgerState,
        who: usize,
        effective: bool,
        out: &mut Vec<(String, LedgerState)>,
    ) {
        let free = matches!(state.row, ClaimRow::Absent | ClaimRow::Withdrawn(_));
        if !effective && free {
            let mut landed = state.clone();
            landed.row = ClaimRow::Claimed(who);
            landed.requests[who] = Request::InDoubt { effective: true };
            out.push((
                format!("the late claim of entry {who} takes effect"),
                landed,
            ));
        }
        if !self.has(LedgerGuard::SettleLostClaim) {
            let mut granted = state.clone();
            granted.requests[who] = Request::Granted;
            out.push((format!("entry {who} takes the claim for granted"), granted));
            return;
        }
        let mut next = state.clone();
        let own = state.row == ClaimRow::Claimed(who);
        if own || (!effective && free) {
            next.row = ClaimRow::Claimed(who);
            next.requests[who] = Request::Granted;
        } else {
            next.requests[who] = Request::Told(Told::Unknown);
        }
        out.push((
            format!("entry {who} sends the claim again under its token"),
            next,
        ));
        out.push((
            format!("entry {who} can't settle the claim"),
            tell(state, who, Told::Unknown),
        ));
    }

    fn serve(&self, state: &LedgerState, who: usize, out: &mut Vec<(String, LedgerState)>) {
        match state.requests[who] {
            Request::Granted => {
                let mut sent = state.clone();
                sent.requests[who] = Request::Sent;
                out.push((format!("entry {who} sends the call"), sent));
                let mut refused = state.clone();
                refused.requests[who] = Request::Refused;
                out.push((
                    format!("the service refuses entry {who}'s connection"),
                    refused,
                ));
            }
            Request::Refused => {
                let mut next = tell(state, who, Told::NotRun);
                if state.row == ClaimRow::Claimed(who) {
                    next.row = ClaimRow::Withdrawn(who);
                }
                out.push((format!("entry {who} withdraws its claim"), next));
                let unknown = tell(state, who, Told::Unknown);
                out.push((format!("entry {who} can't withdraw its claim"), unknown));
            }
            Request::Sent => {
                let mut next = state.clone();
                next.runs[who] += 1;
                next.requests[who] = Request::Ran;
                out.push((format!("the service runs the call of entry {who}"), next));
                self.lose(state, who, out);
            }
            Request::Ran => {
                let mut next = tell(state, who, Told::Answer);
                if state.row == ClaimRow::Claimed(who) {
                    next.row = ClaimRow::Answered(who);
                }
                out.push((format!("entry {who} records the answer"), next));
                self.lose(state, who, out);
            }
            Request::Waiting | Request::Claiming | Request::InDoubt { .. } | Request::Told(_) => {}
        }
    }

    fn lose(&self, state: &LedgerState, who: usize, out: &mut Vec<(String, LedgerState)>) {
        let unknown = tell(state, who, Told::Unknown);
        out.push((format!("entry {who} loses the answer"), unknown));
        if !self.has(LedgerGuard::NeverResend) {
            let mut next = state.clone();
            next.requests[who] = Request::Granted;
            out.push((
                format!("entry {who} loses the answer and sends again"),
                next,
            ));
        }
        if !self.has(LedgerGuard::WithdrawUnsentOnly) {
            let mut next = tell(state, who, Told::NotRun);
            next.row = ClaimRow::Withdrawn(who);
            out.push((format!("entry {who} loses the answer and withdraws"), next));
        }
    }

    fn remove(&self, state: &LedgerState) -> Option<LedgerState> {
        let removable = match state.row {
            ClaimRow::Absent => false,
            ClaimRow::Claimed(_) => !self.has(LedgerGuard::RemoveSettledOnly),
            // A settled claim is removed long after the last retry of its caller.
            ClaimRow::Answered(_) | ClaimRow::Withdrawn(_) => state
                .requests
                .iter()
                .all(|request| matches!(request, Request::Told(_))),
        };
        if !removable || state.removals_left == 0 {
            return None;
        }
        let mut next = state.clone();
        next.row = ClaimRow::Absent;
        next.removals_left -= 1;
        Some(next)
    }
}

fn tell(state: &LedgerState, who: usize, told: Told) -> LedgerState {
    let mut next = state.clone();
    next.requests[who] = Request::Told(told);
    next
}

impl ProtocolModel for LedgerModel {
    const NAME: &'static str = "ledger";

    type Guard = LedgerGuard;

    type State = LedgerState;

    fn without(removed: Option<LedgerGuard>) -> Self {
        Self { removed }
    }

    fn start(&self) -> LedgerState {
        LedgerState {
            row: ClaimRow::Absent,
            requests: [Request::Waiting; ENTRIES],
            runs: [0; ENTRIES],
            removals_left: 1,
        }
    }

    fn steps(&self, state: &LedgerState) -> Vec<(String, LedgerState)> {
        let mut out = Vec::new();
        for who in 0..ENTRIES {
            match state.requests[who] {
                Request::Waiting => {
                    let mut next = state.clone();
                    next.requests[who] = Request::Claiming;
                    out.push((format!("the caller asks entry {who}"), next));
                }
                Request::Claiming => self.claim(state, who, &mut out),
                Request::InDoubt { effective } => {
                    self.settle_doubt(state, who, effective, &mut out);
                }
                Request::Granted | Request::Sent | Request::Ran | Request::Refused => {
                    self.serve(state, who, &mut out);
                }
                Request::Told(_) => {}
            }
        }
        if let Some(next) = self.remove(state) {
            out.push(("the housekeeper removes the claim".to_owned(), next));
        }
        out.retain(|(_, next)| next.runs.iter().all(|runs| *runs <= 2));
        out
    }

    fn violation(&self, state: &LedgerState) -> Option<&'static str> {
        if state.runs.iter().sum::<u8>() > 1 {
            return Some("a call ran twice");
        }
        for (request, runs) in state.requests.iter().zip(state.runs) {
            if *request == Request::Told(Told::NotRun) && runs > 0 {
                return Some("a call ran that the caller was told had not");
            }
        }
        None
    }
}
