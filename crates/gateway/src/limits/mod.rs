//! Limits that targets state on the requests of all nodes together.
//!
//! A node that hears of a limit, from the target or from another node, sends nothing more to the target
//! unless it holds the target's turn, and tells the other nodes. Lost or forged hints degrade the choice of
//! targets; the limit itself rests on the turn, which is a lease of the store.

mod turn;

use std::rc::Rc;
use std::time::Duration;

use adapter::{ResponseHeaders, StatedValue};
use domain::HostId;
use events::{EventCode, LogLine};
use serving::lease::{LeaseLedger, LeaseTerms};
use serving::target_limit::TargetLimit;
use serving::{SendBarrier, TargetEntry};

use crate::hint_channel::{HostHash, LoadHint};
use crate::limited_target::LimitedTarget;
use crate::node::GatewayNode;

use turn::hold_turn;

/// Interval at which nodes tell each other of a limit that holds on, in a deployment of up to
/// `NEWS_NODES` nodes. Above it, the interval grows in proportion, so that the node that tells sends no more.
const NEWS_INTERVAL: Duration = Duration::from_secs(2);
const NEWS_NODES: usize = 64;

/// Intervals without news after which a node asks for the turn: its holder may be gone, or have no request
/// to send.
const SILENT_INTERVALS: u32 = 3;

/// Time after the target has stated its limit to this node within which what others say of its end may be
/// older.
const OWN_WORD_TIME: Duration = Duration::from_millis(500);

/// Thousandths in one.
const MILLI: f64 = 1000.0;

/// Interval between two news of the same limit.
fn news_interval(nodes: usize) -> Duration {
    let factor = u32::try_from(nodes.div_ceil(NEWS_NODES)).unwrap_or(u32::MAX);
    NEWS_INTERVAL * factor.max(1)
}

/// Records what a response says of its target's limit.
///
/// The limit ends with a response that states none, unless that may be older than the limit, as one to a
/// request sent before the limit was known, or is no word of the target on itself: a rejection may come
/// from its queue, and says nothing of its need.
pub fn record_stated_limit(
    node: &Rc<GatewayNode>,
    target: &TargetEntry,
    headers: &ResponseHeaders,
    sent_at: Duration,
) {
    match headers.statements.limit {
        StatedValue::Value(rate) => {
            learn_limit(node, target, rate, LimitSource::Target);
            node.tell_limit(&target.id, rate);
        }
        StatedValue::Absent if headers.not_executed || !headers.signed => {}
        StatedValue::Absent => {
            let learned_at = node.limit_of(&target.id).map(|limit| limit.learned_at);
            if learned_at.is_some_and(|learned_at| sent_at >= learned_at) {
                node.forget_limit(&target.id);
                node.tell_limit_ended(&target.id);
            }
        }
        StatedValue::Unreadable => {
            let line = LogLine::new(EventCode::LimitUnreadable).text("host", target.id.as_str());
            node.log(&line);
        }
    }
}

/// Takes in what another node tells of a target's limit.
pub fn apply_limit_hint(node: &Rc<GatewayNode>, target: HostHash, milli_rate: Option<u32>) {
    let Some(id) = node.host_by_hash(target) else {
        return;
    };
    let Some(milli_rate) = milli_rate else {
        node.forget_limit_on_hint(&id);
        return;
    };
    let Some(entry) = node.registry(|registry| registry.get(&id).cloned()) else {
        return;
    };
    let rate = f64::from(milli_rate) / MILLI;
    learn_limit(node, &entry, rate, LimitSource::Node);
}

/// Who told of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LimitSource {
    Target,
    Node,
}

impl LimitSource {
    fn label(self) -> &'static str {
        match self {
            Self::Target => "target",
            Self::Node => "node",
        }
    }
}

fn learn_limit(node: &Rc<GatewayNode>, target: &TargetEntry, rate: f64, source: LimitSource) {
    let now = node.now();
    let known = node.limit_of(&target.id);
    let is_known = known.is_some_and(|limit| limit.boot == target.boot);
    // Rates are copied, not computed, so that equal ones are the same.
    #[allow(clippy::float_cmp)]
    let is_same = is_known && known.is_some_and(|limit| limit.rate == rate);
    let mut limits = node.limits.borrow_mut();
    if !is_known {
        limits.remove(&target.id);
    }
    let limited = limits
        .entry(target.id.clone())
        .or_insert_with(|| LimitedTarget {
            limit: TargetLimit::new(rate, target.boot, now),
            turn: new_turn(node),
            told_at: now,
            sent: 0,
        });
    limited.limit.update(rate, now);
    match source {
        LimitSource::Target => limited.limit.stated_at = Some(now),
        LimitSource::Node => limited.told_at = now,
    }
    drop(limits);
    if !is_same {
        let line = LogLine::new(EventCode::LimitStated)
            .text("host", target.id.as_str())
            .text("rate", &rate.to_string())
            .text("source", source.label());
        node.log(&line);
    }
    if !is_known {
        let claims_at_once = source == LimitSource::Target;
        if claims_at_once {
            node.share_limit(&target.id, Some(rate));
        }
        tokio::task::spawn_local(hold_turn(
            Rc::clone(node),
            target.id.clone(),
            claims_at_once,
        ));
    }
}

fn new_turn(node: &GatewayNode) -> LeaseLedger {
    let terms = LeaseTerms {
        duration: turn::TURN_TIME,
        renew_after: turn::RENEWAL_AGE,
        // The rate leaves room for what the previous holder has just sent.
        settle: Duration::ZERO,
    };
    let holder = node.lease_holder.borrow().clone();
    LeaseLedger::new(holder, 1, terms, Duration::ZERO)
}

impl GatewayNode {
    /// The limit of a target, if it states one.
    fn limit_of(&self, id: &HostId) -> Option<TargetLimit> {
        self.limits.borrow().get(id).map(|limited| limited.limit)
    }

    /// Whether a request may be sent to a target: it states no limit, or this node holds its turn and is
    /// within the rate.
    ///
    /// # Errors
    ///
    /// [`SendBarrier::Limit`] if not.
    pub fn check_limit(&self, target: &TargetEntry) -> Result<(), SendBarrier> {
        let limits = self.limits.borrow();
        let Some(limited) = limits.get(&target.id) else {
            return Ok(());
        };
        if limited.limit.boot != target.boot {
            return Ok(());
        }
        let is_within =
            limited.turn.usable(self.boot_now()) > 0 && limited.limit.admits(self.now());
        is_within.then_some(()).ok_or(SendBarrier::Limit)
    }

    /// Counts a request that is about to be sent to a target, if it states a limit.
    pub fn record_sent_to_limited(&self, id: &HostId) {
        let now = self.now();
        if let Some(limited) = self.limits.borrow_mut().get_mut(id) {
            limited.limit.record_sent(now);
            limited.sent += 1;
        }
    }

    /// Number of targets that state a limit, and of those whose turn this node holds.
    #[must_use]
    pub fn limit_counts(&self) -> (usize, usize) {
        let now = self.boot_now();
        let limits = self.limits.borrow();
        let held = limits
            .values()
            .filter(|limited| limited.turn.usable(now) > 0);
        (limits.len(), held.count())
    }

    /// Tells the other nodes of a limit that holds on, unless they were told lately.
    fn tell_limit(&self, id: &HostId, rate: f64) {
        let now = self.now();
        let interval = news_interval(self.node_count());
        let is_due = self.limits.borrow_mut().get_mut(id).is_some_and(|limited| {
            let is_due = now.saturating_sub(limited.told_at) >= interval;
            if is_due {
                limited.told_at = now;
            }
            is_due
        });
        if is_due {
            self.share_limit(id, Some(rate));
        }
    }

    fn tell_limit_ended(&self, id: &HostId) {
        self.share_limit(id, None);
    }

    fn share_limit(&self, id: &HostId, rate: Option<f64>) {
        let milli_rate = rate.map(|rate| {
            let milli = (rate * MILLI).clamp(0.0, f64::from(u32::MAX));
            // In range: clamped.
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let milli = milli as u32;
            milli
        });
        let target = id.into();
        self.hints.broadcast(LoadHint::Limit { target, milli_rate });
    }

    /// Forgets a limit that another node saw end, unless the target has just stated it to this node.
    fn forget_limit_on_hint(&self, id: &HostId) {
        let now = self.now();
        let stated_at = self.limit_of(id).and_then(|limit| limit.stated_at);
        let is_just_stated = stated_at.is_some_and(|at| now.saturating_sub(at) < OWN_WORD_TIME);
        if !is_just_stated {
            self.forget_limit(id);
        }
    }

    fn forget_limit(&self, id: &HostId) {
        if self.limits.borrow_mut().remove(id).is_some() {
            self.log(&LogLine::new(EventCode::LimitEnded).text("host", id.as_str()));
        }
    }

    /// Time for which nothing was heard of a limit.
    fn limit_silence(&self, id: &HostId) -> Duration {
        let heard_at = self
            .limit_of(id)
            .map_or(Duration::ZERO, |limit| limit.heard_at);
        self.now().saturating_sub(heard_at)
    }

    /// Silence after which this node asks for the turn.
    fn turn_patience(&self) -> Duration {
        news_interval(self.node_count()) * SILENT_INTERVALS
    }
}
