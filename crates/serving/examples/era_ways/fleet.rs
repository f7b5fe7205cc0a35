//! A fleet of nodes that follow a store in virtual time, along the trees of three failure domains.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use serving::feed::{MIN_FOLLOWING_NODES, feed_sources};
use serving::hashing::unit_draw;

use crate::figures::{FleetFigures, FleetMeter};
use crate::node::{EraNode, EraWay, TakeOutcome};
use crate::reads::{ReadCall, ReadLoop, SourceFault, feed_timing};
use crate::store::{ReadAnswer, StoreTable, VirtualStore, delta_bytes};
use crate::writers::{AWAY_AT, BACK_AT, StoreWrite, heartbeat_interval, scheduled_writes};

/// Failure domains of a fleet.
pub const DOMAINS: usize = 3;

/// Time of a call to the store and to another node, and of a call that is refused.
const STORE_TIME: Duration = Duration::from_millis(5);
const LINK_TIME: Duration = Duration::from_millis(4);
const REFUSED_TIME: Duration = Duration::from_millis(3);

/// Bytes a second that a node's link carries.
const LINK_BYTES_PER_S: f64 = 2_500_000.0;

/// Part of their size that rows take between nodes.
const PACKED_PART: f64 = 0.1;

/// Delay after an answer with changes, of a root and of another node that reads the store.
const ROOT_BATCH_DELAY: Duration = Duration::from_millis(150);
const BATCH_DELAY: Duration = Duration::from_millis(80);

/// Interval at which heartbeats are read.
const HEARTBEAT_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Time after the beginning of an era for which a node that waits for its sources leaves the store to them.
const PATIENCE: Duration = Duration::from_millis(1500);

/// When the run ends.
const END_AT: Duration = Duration::from_secs(40);

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct FleetSpec {
    pub nodes: usize,
    /// Age of the copy when the store goes away.
    pub copy_age: Duration,
    pub seed: u64,
}

/// What happens at a time.
#[derive(Debug)]
pub enum FleetEvent {
    Copy,
    GoAway,
    ComeBack,
    Write(StoreWrite),
    Heartbeat { node: usize, is_due: bool },
    Call(ReadCall),
    Wake(ReadCall),
    Reply(ReadCall, Option<ReadAnswer>),
}

/// All nodes and the store.
pub struct VirtualFleet {
    pub spec: FleetSpec,
    pub way: EraWay,
    pub now: Duration,
    pub store: VirtualStore,
    pub nodes: Vec<EraNode>,
    loops: Vec<[ReadLoop; 3]>,
    /// When each node last saw an era begin.
    pub began_at: Vec<Option<Duration>>,
    /// Until when the link of each node is busy with answers to others.
    busy_until: Vec<Duration>,
    /// Calls that wait for changes.
    pub waiting: Vec<ReadCall>,
    events: BinaryHeap<Reverse<(Duration, usize)>>,
    scheduled: Vec<Option<FleetEvent>>,
    pub meter: FleetMeter,
}

/// Plays a restore.
pub fn play(spec: FleetSpec, way: EraWay) -> FleetFigures {
    let mut fleet = VirtualFleet {
        spec,
        way,
        now: Duration::ZERO,
        store: VirtualStore::new(way.is_typed()),
        nodes: (0..spec.nodes).map(|_| EraNode::new(way)).collect(),
        loops: vec![Default::default(); spec.nodes],
        began_at: vec![None; spec.nodes],
        busy_until: vec![Duration::ZERO; spec.nodes],
        waiting: Vec::new(),
        events: BinaryHeap::new(),
        scheduled: Vec::new(),
        meter: FleetMeter::new(spec.nodes),
    };
    fleet.start();
    while let Some(Reverse((at, index))) = fleet.events.pop() {
        if at > END_AT {
            break;
        }
        fleet.now = at;
        if let Some(event) = fleet.scheduled[index].take() {
            fleet.handle(event);
        }
    }
    let now = fleet.now;
    fleet.meter.finish(&fleet.nodes, &fleet.store, now)
}

impl VirtualFleet {
    fn start(&mut self) {
        for (at, write) in scheduled_writes(self.spec) {
            self.schedule(at, FleetEvent::Write(write));
        }
        let copied_at = AWAY_AT.saturating_sub(self.spec.copy_age);
        self.schedule(copied_at, FleetEvent::Copy);
        self.schedule(AWAY_AT, FleetEvent::GoAway);
        self.schedule(BACK_AT, FleetEvent::ComeBack);
        for node in 0..self.spec.nodes {
            let draw = unit_draw(&(self.spec.seed, node));
            let at = heartbeat_interval(self.spec.nodes).mul_f64(draw);
            self.schedule(at, FleetEvent::Heartbeat { node, is_due: true });
            for table in StoreTable::ALL {
                let started_at = Duration::from_millis(500).mul_f64(draw);
                self.call_at(started_at, node, table);
            }
        }
    }

    pub fn schedule(&mut self, at: Duration, event: FleetEvent) {
        self.events.push(Reverse((at, self.scheduled.len())));
        self.scheduled.push(Some(event));
    }

    /// Gives up what the node waits for and calls anew.
    pub fn call_at(&mut self, at: Duration, node: usize, table: StoreTable) {
        let read_loop = &mut self.loops[node][table.index()];
        read_loop.number += 1;
        let number = read_loop.number;
        let call = ReadCall {
            node,
            table,
            number,
            source: None,
            place: 0,
        };
        self.waiting
            .retain(|other| (other.node, other.table) != (node, table));
        self.schedule(at, FleetEvent::Call(call));
    }

    fn is_current(&self, call: &ReadCall) -> bool {
        self.loops[call.node][call.table.index()].number == call.number
    }

    fn handle(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Copy => self.store.copy(),
            FleetEvent::GoAway => {
                self.store.is_up = false;
                let (at_store, others) = self
                    .waiting
                    .drain(..)
                    .partition(|call| call.source.is_none());
                self.waiting = others;
                for call in at_store {
                    self.schedule(self.now + REFUSED_TIME, FleetEvent::Reply(call, None));
                }
            }
            FleetEvent::ComeBack => {
                self.store.restore();
                self.meter.begin(&self.store, self.now);
            }
            FleetEvent::Write(write) => self.write(write),
            FleetEvent::Heartbeat { node, is_due } => self.write_heartbeat(node, is_due),
            FleetEvent::Call(call) if self.is_current(&call) => self.begin_call(call),
            FleetEvent::Wake(call) => self.end_wait(call),
            FleetEvent::Reply(call, answer) if self.is_current(&call) => {
                self.take_reply(call, answer);
            }
            FleetEvent::Call(_) | FleetEvent::Reply(..) => {}
        }
    }

    fn write(&mut self, write: StoreWrite) {
        if !self.store.is_up {
            return;
        }
        let Some((table, key, value)) = write.resolve(&self.store) else {
            return;
        };
        self.store.write(table, &key, value);
        self.meter.record_revision(&write, self.now);
        self.wake_waiting(None, table);
    }

    /// Nodes that this one may ask; none if it reads the store.
    fn sources(&self, node: usize) -> Vec<usize> {
        // A node without a registry reads all tables itself.
        let copy = &self.nodes[node].copies[StoreTable::Registry.index()];
        if !copy.is_read() {
            return Vec::new();
        }
        let sources = feed_sources(node / DOMAINS, self.spec.nodes / DOMAINS);
        let domain = node % DOMAINS;
        sources.iter().map(|rank| rank * DOMAINS + domain).collect()
    }

    fn is_patient(&self, node: usize) -> bool {
        let began_at = self.began_at[node].filter(|_| self.way == EraWay::TypedPatient);
        began_at.is_some_and(|at| self.now.saturating_sub(at) < PATIENCE)
    }

    fn begin_call(&mut self, mut call: ReadCall) {
        let sources = self.sources(call.node);
        let is_patient = self.is_patient(call.node) && !sources.is_empty();
        let read_loop = &mut self.loops[call.node][call.table.index()];
        if is_patient {
            read_loop.wait_for_sources();
        }
        let place = read_loop.choose(sources.len(), self.now);
        if place.is_none() {
            let next = read_loop.next_attempt(sources.len(), is_patient, self.now);
            if let Some(at) = next {
                self.call_at(at, call.node, call.table);
                return;
            }
        }
        call.place = place.unwrap_or_default();
        call.source = place.map(|place| sources[place]);
        let wait = match call.source {
            Some(_) => feed_timing().follow_wait(),
            None if self.spec.nodes / DOMAINS < MIN_FOLLOWING_NODES => feed_timing().poll_wait(),
            None => feed_timing().root_poll_wait(),
        };
        if call.source.is_none() {
            self.meter.record_call(self.now);
            if !self.store.is_up {
                self.schedule(self.now + REFUSED_TIME, FleetEvent::Reply(call, None));
                return;
            }
        }
        if self.has_news(&call) {
            self.reply(call);
            return;
        }
        self.waiting.push(call);
        self.schedule(self.now + wait, FleetEvent::Wake(call));
    }

    fn has_news(&self, call: &ReadCall) -> bool {
        let node = &self.nodes[call.node];
        match call.source {
            Some(source) => {
                let copy = &self.nodes[source].copies[call.table.index()];
                let known = node.copies[call.table.index()].latest();
                let is_linked =
                    self.loops[call.node][call.table.index()].linked == Some(call.place);
                let is_cut_off = self.loops[source][call.table.index()].is_cut_off;
                is_cut_off || !is_linked || copy.has_news(known)
            }
            None if call.table == StoreTable::Nodes => true,
            None => self
                .store
                .answers_at_once(call.table, node.known(call.table)),
        }
    }

    /// Answers calls that wait at the store, or at a node, if there is news for them.
    fn wake_waiting(&mut self, source: Option<usize>, table: StoreTable) {
        let waiting = self.waiting.iter();
        let woken: Vec<ReadCall> = waiting
            .filter(|call| call.source == source && call.table == table && self.has_news(call))
            .copied()
            .collect();
        for call in woken {
            self.end_wait(call);
        }
    }

    fn end_wait(&mut self, call: ReadCall) {
        let position = self.waiting.iter().position(|other| *other == call);
        if let Some(position) = position {
            self.waiting.swap_remove(position);
            self.reply(call);
        }
    }

    fn reply(&mut self, call: ReadCall) {
        let node = &self.nodes[call.node];
        let answer = if let Some(source) = call.source {
            let is_cut_off = self.loops[source][call.table.index()].is_cut_off;
            let answer = self.nodes[source].answer(call.table, node);
            answer.filter(|_| !is_cut_off)
        } else {
            let known = node.known(call.table);
            Some(self.store.read(call.table, known))
        };
        let delta = answer.as_ref().and_then(|answer| answer.delta.as_ref());
        let bytes = delta.map_or(0, delta_bytes);
        if call.source.is_none() {
            self.meter.record_bytes(self.now, bytes);
        }
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        let Some(source) = call.source else {
            let transfer = Duration::from_secs_f64(bytes / LINK_BYTES_PER_S);
            self.schedule(
                self.now + STORE_TIME + transfer,
                FleetEvent::Reply(call, answer),
            );
            return;
        };
        let transfer = Duration::from_secs_f64(bytes * PACKED_PART / LINK_BYTES_PER_S);
        let begins_at = self.busy_until[source].max(self.now);
        let late_at = self.now + feed_timing().follow_slack();
        if begins_at > late_at {
            self.schedule(late_at, FleetEvent::Reply(call, None));
            return;
        }
        self.busy_until[source] = begins_at + transfer;
        let ends_at = begins_at + transfer + LINK_TIME;
        self.schedule(ends_at, FleetEvent::Reply(call, answer));
    }

    fn take_reply(&mut self, call: ReadCall, answer: Option<ReadAnswer>) {
        let Some(answer) = answer else {
            self.fail(&call);
            return;
        };
        let delta = answer.delta.as_ref();
        let has_rows = delta.is_some_and(|delta| !delta.rows.is_empty());
        self.observe(call.node, answer.true_era);
        let outcome = self.nodes[call.node].take(call.table, answer);
        self.meter
            .record_state(call.node, &self.nodes[call.node], self.now);
        if outcome == TakeOutcome::ReadWhole && call.source.is_some() {
            self.fail(&call);
            return;
        }
        self.loops[call.node][call.table.index()].succeed(&call, self.now);
        let tables = match outcome {
            TakeOutcome::Dropped => &StoreTable::ALL[..],
            TakeOutcome::Taken | TakeOutcome::ReadWhole => &[call.table],
        };
        let pause = match outcome {
            TakeOutcome::Taken => self.pause(&call, has_rows),
            TakeOutcome::Dropped | TakeOutcome::ReadWhole => Duration::ZERO,
        };
        for table in tables {
            self.call_at(self.now + pause, call.node, *table);
            self.wake_waiting(Some(call.node), *table);
        }
    }

    /// Calls again after a call that the store refused, or whose source can't be followed.
    fn fail(&mut self, call: &ReadCall) {
        let table = call.table.index();
        if let Some(source) = call.source {
            let era = self.nodes[call.node].copies[table].era();
            let copy = &self.nodes[source].copies[table];
            let fault = if self.loops[source][table].is_cut_off || copy.era() < era {
                SourceFault::CutOff
            } else if copy.version().is_none() {
                SourceFault::Unread
            } else {
                SourceFault::Silent
            };
            self.loops[call.node][table].avoid(call, fault, self.now);
        } else {
            let rank = call.node / DOMAINS;
            self.loops[call.node][table].refuse(rank, self.spec.seed, self.now);
            self.wake_waiting(Some(call.node), call.table);
        }
        self.call_at(self.now, call.node, call.table);
    }

    /// Delay before the call after one that was answered.
    fn pause(&self, call: &ReadCall, has_rows: bool) -> Duration {
        if call.source.is_some() {
            return Duration::ZERO;
        }
        if call.table == StoreTable::Nodes {
            return HEARTBEAT_READ_INTERVAL;
        }
        if !has_rows {
            return Duration::ZERO;
        }
        if self.spec.nodes / DOMAINS < MIN_FOLLOWING_NODES {
            BATCH_DELAY
        } else {
            ROOT_BATCH_DELAY
        }
    }
}
