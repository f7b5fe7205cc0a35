//! Collects what the nodes of a failure domain hear of heads, for all of them.
//!
//! Pattern: many small senders. A node hears from a given head once in many seconds; all nodes of
//! its failure domain together hear from it several times a second. A few of them collect the
//! reports and pass them on in batches, so that a node sends as many messages as it gets responses,
//! and receives a few per second, however many nodes there are.

use domain::FastMap;

/// What a node tells the others of a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadReport {
    /// A load that the head reported.
    Load {
        /// Requests running and queued at the head.
        requests: u32,
        /// Whether the report came with a successful response.
        served: bool,
    },
    /// Its requests make no progress, or it does not respond. The others need not find out by
    /// requests of their own.
    Silent,
}

/// Loads reported since the last batches, by head.
#[derive(Debug, Clone)]
pub struct LoadBoard<K> {
    /// Reported to nodes of this failure domain, not yet passed on to them or to others.
    own: FastMap<K, HeadReport>,
    /// Passed on by other failure domains.
    others: FastMap<K, HeadReport>,
}

impl<K> Default for LoadBoard<K> {
    fn default() -> Self {
        Self {
            own: FastMap::default(),
            others: FastMap::default(),
        }
    }
}

/// Loads to pass on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadBatches<K> {
    /// For the nodes of this failure domain.
    pub for_domain: Vec<(K, HeadReport)>,
    /// For the collecting nodes of the others. What came from them is not sent back, since old
    /// loads would go to and fro and pass for new.
    pub for_others: Vec<(K, HeadReport)>,
}

impl<K: Copy + Eq + std::hash::Hash + Ord> LoadBoard<K> {
    /// Records a report to a node of this failure domain.
    pub fn record_own(&mut self, head: K, load: HeadReport) {
        self.own.insert(head, load);
    }

    /// Records a load that another failure domain passed on.
    pub fn record_other(&mut self, head: K, load: HeadReport) {
        self.others.insert(head, load);
    }

    /// Takes the loads recorded since the last call, at most `limit` per batch.
    pub fn take(&mut self, limit: usize) -> LoadBatches<K> {
        let own = std::mem::take(&mut self.own);
        let mut all = std::mem::take(&mut self.others);
        let mut for_others: Vec<_> = own.iter().map(|(head, load)| (*head, *load)).collect();
        all.extend(own);
        let mut for_domain: Vec<_> = all.into_iter().collect();
        for batch in [&mut for_domain, &mut for_others] {
            batch.sort_by_key(|(head, _)| *head);
            batch.truncate(limit);
        }
        LoadBatches {
            for_domain,
            for_others,
        }
    }
}
