//! Which nodes send to a cold target, and how much each may send.
//!
//! Load: a target that accepts a few requests per second from hundreds of nodes. Nodes exchange nothing about
//! it; each derives the senders from its own list of live nodes. The lists may differ for a while, so a
//! second set of senders with a small part of the rate fits below the bound as well.

use crate::cold_targets::{ColdAllowance, ColdBound, ColdTerms};
use crate::hashing::rendezvous_rank;

/// Part of the rate that senders with an outdated list of nodes have together.
const OUTDATED_PART: f64 = 1.0 / 8.0;

/// Time in seconds by which links delay requests: those sent before may arrive in the same second.
const LINK_DELAY_S: f64 = 0.1;

/// Sets of senders that the bound has room for: the current one, and one from an outdated list of nodes.
const SENDER_SETS: f64 = 2.0;

/// Whether the other nodes count a node, as far as it can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SenderStanding {
    /// It has started recently; others may not count it yet.
    New,
    /// It was counted by all others; some may have stopped or may not have resumed counting it.
    Uncertain,
    /// All other nodes that reach the store count it.
    Settled,
}

/// A live node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SenderNode<'a> {
    /// Name of the node.
    pub name: &'a str,
    /// Failure domain of the node.
    pub domain: &'a str,
}

/// Number of senders of a cold target, and the rate of all of them together.
#[derive(Debug, Clone, Copy, PartialEq)]
struct SenderPlan {
    senders: usize,
    rate: f64,
}

impl SenderPlan {
    /// The most senders whose bursts and rates fit below the bound twice; `None` if not even one sender fits
    /// at any rate.
    fn new(terms: ColdTerms, bound: ColdBound) -> Option<Self> {
        let limit = terms.rate * bound.overage + bound.slack;
        let rate_factor = 1.0 + OUTDATED_PART + LINK_DELAY_S;
        let room = (limit - terms.rate * rate_factor) / SENDER_SETS;
        let rate = ((limit - SENDER_SETS) / rate_factor).min(terms.rate);
        (rate > 0.0).then(|| Self {
            senders: whole(room).max(1),
            rate,
        })
    }
}

/// What a node may send to a cold target; `None` if nothing. `nodes` are the live nodes that it counts, in
/// any order; one that does not count itself sends nothing.
///
/// The senders are the first nodes by rendezvous hashing, those of the target's failure domain before all
/// others.
#[must_use]
pub fn cold_allowance<'a>(
    (terms, bound): (ColdTerms, ColdBound),
    nodes: impl Iterator<Item = SenderNode<'a>> + Clone,
    (own_name, standing): (&str, SenderStanding),
    (target, target_domain): (&str, &str),
) -> Option<ColdAllowance> {
    if standing == SenderStanding::New {
        return None;
    }
    let plan = SenderPlan::new(terms, bound)?;
    let own = nodes.clone().find(|node| node.name == own_name)?;
    let is_near = |node: &SenderNode<'a>| node.domain == target_domain;
    let near_count = nodes.clone().filter(is_near).count();
    let names = |takes_near: bool| {
        let nodes = nodes.clone();
        let nodes = nodes.filter(move |node| (node.domain == target_domain) == takes_near);
        nodes.map(|node| node.name)
    };
    let rank = if is_near(&own) {
        rendezvous_rank(own_name, names(true), target)
    } else if near_count >= plan.senders {
        return None;
    } else {
        near_count + rendezvous_rank(own_name, names(false), target)
    };
    if rank >= plan.senders {
        return None;
    }
    let candidates = if near_count >= plan.senders {
        near_count
    } else {
        nodes.count()
    };
    let senders = to_f64(plan.senders.min(candidates));
    let part = match standing {
        SenderStanding::Settled => 1.0,
        SenderStanding::Uncertain | SenderStanding::New => OUTDATED_PART,
    };
    Some(ColdAllowance {
        rate: plan.rate * part / senders,
        burst: 1.0,
        nodes_per_sender: to_f64(candidates) / senders,
    })
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Largest whole number that is not above a value; 0 if the value is negative.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is limited to the range of u32"
)]
fn whole(value: f64) -> usize {
    value.clamp(0.0, f64::from(u32::MAX)) as usize
}
