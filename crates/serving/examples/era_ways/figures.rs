//! What a restore costs.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;

use crate::node::EraNode;
use crate::store::{StoreTable, VirtualStore};
use crate::writers::{LOST_REVISION, NEXT_REVISION, StoreWrite, heartbeat_key};

/// Time after the return in which calls and bytes are counted.
const COUNTED: Duration = Duration::from_secs(5);

/// Time in which the busiest calls are counted.
const BUSY_WINDOW: Duration = Duration::from_millis(100);

/// Figures of one run, counted from the store's return.
#[derive(Debug)]
pub struct FleetFigures {
    /// Until every node acts on the lost revision, or one as new; `None` if never.
    pub again: Option<Duration>,
    /// From the confirmation of the next revision until every node acts on it; `None` if never.
    pub next: Option<Duration>,
    /// Until every lost heartbeat is written again.
    pub heartbeats: Option<Duration>,
    /// Most heartbeats written within 0.1 s.
    pub most_heartbeats: usize,
    /// Most calls to the store within 0.1 s, and all calls, in the first seconds.
    pub most_calls: usize,
    pub calls: usize,
    /// Bytes of rows that the store sent in the first seconds.
    pub bytes: usize,
    /// Seconds, summed over nodes, with an older configuration than before, with none, or without targets.
    pub behind: f64,
    /// Positions of one era that were compared with versions of another.
    pub misordered: u64,
    /// Rows, summed over nodes, of the configuration and the registry that differ from the store's at the end.
    pub wrong_rows: usize,
}

/// Counts what happens after the return.
#[derive(Debug)]
pub struct FleetMeter {
    began_at: Option<Duration>,
    calls: Vec<Duration>,
    bytes: usize,
    lost_heartbeats: Vec<bool>,
    /// Value of the last heartbeat of each node.
    heartbeats: Vec<Option<Duration>>,
    heartbeat_writes: Vec<Duration>,
    heartbeats_at: Option<Duration>,
    revisions: Vec<Option<u64>>,
    again_at: Option<Duration>,
    next_written_at: Option<Duration>,
    next_at: Option<Duration>,
    behind_since: Vec<Option<Duration>>,
    behind: f64,
}

impl FleetMeter {
    pub fn new(nodes: usize) -> Self {
        Self {
            began_at: None,
            calls: Vec::new(),
            bytes: 0,
            lost_heartbeats: vec![false; nodes],
            heartbeats: vec![None; nodes],
            heartbeat_writes: Vec::new(),
            heartbeats_at: None,
            revisions: vec![None; nodes],
            again_at: None,
            next_written_at: None,
            next_at: None,
            behind_since: vec![None; nodes],
            behind: 0.0,
        }
    }

    /// Begins to count at the store's return.
    pub fn begin(&mut self, store: &VirtualStore, now: Duration) {
        self.began_at = Some(now);
        for (node, written_at) in self.heartbeats.iter().enumerate() {
            let held = store.value(StoreTable::Nodes, &heartbeat_key(node));
            let written = written_at.map(|at| Bytes::from(at.as_micros().to_be_bytes().repeat(15)));
            self.lost_heartbeats[node] = held != written.as_ref();
        }
        self.check_heartbeats(now);
    }

    fn is_counted(&self, now: Duration) -> bool {
        self.began_at
            .is_some_and(|began_at| now < began_at + COUNTED)
    }

    pub fn record_call(&mut self, now: Duration) {
        if self.is_counted(now) {
            self.calls.push(now);
        }
    }

    pub fn record_bytes(&mut self, now: Duration, bytes: usize) {
        if self.is_counted(now) {
            self.bytes += bytes;
        }
    }

    pub fn record_revision(&mut self, write: &StoreWrite, now: Duration) {
        if matches!(write, StoreWrite::Revision(NEXT_REVISION)) {
            self.next_written_at = Some(now);
        }
    }

    pub fn record_heartbeat(&mut self, node: usize, now: Duration) {
        self.heartbeats[node] = Some(now);
        if self.began_at.is_none() {
            return;
        }
        if self.is_counted(now) {
            self.heartbeat_writes.push(now);
        }
        self.lost_heartbeats[node] = false;
        self.check_heartbeats(now);
    }

    fn check_heartbeats(&mut self, now: Duration) {
        if self.lost_heartbeats.iter().all(|is_lost| !is_lost) {
            self.heartbeats_at.get_or_insert(now);
        }
    }

    /// Records what a node acts on after an answer.
    pub fn record_state(&mut self, node: usize, state: &EraNode, now: Duration) {
        self.revisions[node] = state.revision;
        let since = self.behind_since[node];
        match (state.is_behind() && self.began_at.is_some(), since) {
            (true, None) => self.behind_since[node] = Some(now),
            (false, Some(since)) => {
                self.behind += now.saturating_sub(since).as_secs_f64();
                self.behind_since[node] = None;
            }
            _ => {}
        }
        if self.began_at.is_none() {
            return;
        }
        let all_have = |revision: u8| {
            self.revisions
                .iter()
                .all(|has| *has >= Some(u64::from(revision)))
        };
        if all_have(LOST_REVISION) {
            // A node that goes back before all have gone on begins the time anew.
            self.again_at.get_or_insert(now);
        } else {
            self.again_at = None;
        }
        if all_have(NEXT_REVISION) {
            self.next_at.get_or_insert(now);
        }
    }

    /// The figures at the end of the run.
    pub fn finish(
        mut self,
        nodes: &[EraNode],
        store: &VirtualStore,
        now: Duration,
    ) -> FleetFigures {
        for since in self.behind_since.iter().flatten() {
            self.behind += now.saturating_sub(*since).as_secs_f64();
        }
        let began_at = self.began_at.unwrap_or_default();
        let since = |at: Option<Duration>| at.map(|at| at.saturating_sub(began_at));
        let next = self.next_at.zip(self.next_written_at);
        FleetFigures {
            again: since(self.again_at),
            next: next.map(|(at, written_at)| at.saturating_sub(written_at)),
            heartbeats: since(self.heartbeats_at),
            most_heartbeats: busiest(&self.heartbeat_writes),
            most_calls: busiest(&self.calls),
            calls: self.calls.len(),
            bytes: self.bytes,
            behind: self.behind,
            misordered: nodes.iter().map(|node| node.misordered).sum(),
            wrong_rows: nodes.iter().map(|node| wrong_rows(node, store)).sum(),
        }
    }
}

/// Most moments within [`BUSY_WINDOW`].
fn busiest(moments: &[Duration]) -> usize {
    let mut most = 0;
    let mut first = 0;
    for (index, at) in moments.iter().enumerate() {
        while at.saturating_sub(moments[first]) >= BUSY_WINDOW {
            first += 1;
        }
        most = most.max(index + 1 - first);
    }
    most
}

fn wrong_rows(node: &EraNode, store: &VirtualStore) -> usize {
    let mut wrong = 0;
    for table in [StoreTable::Config, StoreTable::Registry] {
        let held: BTreeMap<&str, &Bytes> = node.copies[table.index()].values().collect();
        let written = store.values(table);
        wrong += written
            .iter()
            .filter(|(key, value)| held.get(*key) != Some(*value))
            .count();
        wrong += held
            .keys()
            .filter(|key| !written.contains_key(*key))
            .count();
    }
    wrong
}
