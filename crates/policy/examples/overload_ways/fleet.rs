//! A fleet of nodes and replicas under overload, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use domain::CustomerId;
use policy::admission::{AdmissionClass, is_late};
use serving::ReturnRequest;
use serving::hashing::unit_draw;

use super::node::Node;
use super::spec::{
    Arrival, FleetSpec, MEAN_RUN, Mechanisms, Outcome, ReturnWay, SLOTS, TARGET, timing,
};

/// Shortest return time, and the only one without return times of the clients' own.
const LEAST_RETURN: Duration = Duration::from_millis(250);

/// Time between two snapshots of all loads. Each node gets one of ten snapshots, `REPORT_DELAY` later, so
/// that what it knows is 200 ms old on average.
const SNAPSHOT: Duration = Duration::from_millis(20);
const REPORT_DELAY: usize = 5;
const REPORT_PERIOD: usize = 10;

#[derive(Debug, Clone, Copy)]
struct Request {
    outcome: Outcome,
    node: usize,
    target: usize,
    arrived: Duration,
    elapsed: Duration,
    is_late: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Attempt(usize),
    Begin(usize),
    End(usize),
    Snapshot(usize),
}

#[derive(Debug, Default)]
struct Replica {
    running: u32,
    waiting: VecDeque<usize>,
}

impl Replica {
    fn load(&self) -> u32 {
        self.running + u32::try_from(self.waiting.len()).expect("a short queue")
    }
}

struct Fleet {
    spec: FleetSpec,
    mechanisms: Mechanisms,
    customers: Vec<CustomerId>,
    draws: u64,
    nodes: Vec<Node>,
    replicas: Vec<Replica>,
    snapshots: VecDeque<Vec<u32>>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
}

/// Plays arrivals to their ends and returns what became of each.
pub fn play(spec: FleetSpec, mechanisms: Mechanisms, arrivals: &[Arrival]) -> Vec<Outcome> {
    let customers = arrivals.iter().map(|arrival| arrival.customer).max();
    let customers = 0..=customers.unwrap_or(0);
    let mut fleet = Fleet {
        spec,
        mechanisms,
        customers: customers
            .map(|index| format!("c{index}").parse().expect("a name"))
            .collect(),
        draws: 0,
        nodes: (0..spec.nodes).map(|_| Node::new(spec.targets)).collect(),
        replicas: (0..spec.targets).map(|_| Replica::default()).collect(),
        snapshots: VecDeque::new(),
        requests: Vec::new(),
        events: BinaryHeap::new(),
    };
    for arrival in arrivals {
        let index = fleet.requests.len();
        fleet.requests.push(Request::new(*arrival));
        fleet.push(arrival.at, Event::Attempt(index));
    }
    let end = arrivals.iter().map(|arrival| arrival.at).max();
    let end = end.unwrap_or_default() + Duration::from_secs(1);
    let ticks = u32::try_from(end.as_millis() / SNAPSHOT.as_millis()).expect("a short play");
    for tick in 0..ticks {
        let index = usize::try_from(tick).expect("a small number");
        fleet.push(SNAPSHOT * tick, Event::Snapshot(index));
    }
    while let Some(Reverse((now, event))) = fleet.events.pop() {
        match event {
            Event::Attempt(index) => fleet.attempt(index, now),
            Event::Begin(index) => fleet.first_event(index, now),
            Event::End(index) => fleet.end(index, now),
            Event::Snapshot(tick) => fleet.snapshot(tick, now),
        }
    }
    let outcomes = fleet.requests.iter().map(|request| request.outcome);
    outcomes.collect()
}

impl Request {
    fn new(arrival: Arrival) -> Self {
        Self {
            outcome: Outcome {
                arrival,
                first_event: None,
                returned_at: None,
            },
            node: 0,
            target: 0,
            arrived: Duration::ZERO,
            elapsed: Duration::ZERO,
            is_late: false,
        }
    }
}

impl Fleet {
    fn push(&mut self, at: Duration, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    /// Number from 0 to 1.
    fn draw(&mut self) -> f64 {
        self.draws += 1;
        unit_draw(&(self.spec.seed, self.draws))
    }

    fn draw_node(&mut self) -> usize {
        let count = f64::from(u32::try_from(self.spec.nodes).expect("a small number"));
        // Not negative, and at most the number of nodes.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let index = (self.draw() * count) as usize;
        index.min(self.spec.nodes - 1)
    }

    fn attempt(&mut self, index: usize, now: Duration) {
        let mut request = self.requests[index];
        let arrival = request.outcome.arrival;
        let left = (arrival.born + arrival.total).min(now + arrival.timeout);
        let left = left.saturating_sub(now);
        request.node = self.draw_node();
        request.arrived = now;
        let customer = &self.customers[arrival.customer];
        let node = &mut self.nodes[request.node];
        node.shares.record_arrival(customer, now);
        node.record_arrival(now);
        request.elapsed = node.usual.record("chat", arrival.timeout, left, now);
        let least = timing().decode_pass + timing().prefill;
        request.is_late = self.mechanisms.lateness && is_late(request.elapsed, least, TARGET);
        let class = AdmissionClass {
            higher_ranks: 0,
            over_share: node.shares.is_over_share(customer, now),
            is_late: request.is_late,
        };
        self.requests[index] = request;
        let draw = self.draw();
        let node = &self.nodes[request.node];
        match node.choose(self.spec.nodes, self.mechanisms, class, (now, draw)) {
            Some(target) => self.send(index, target, now),
            None => self.reject(index, left, now),
        }
    }

    fn send(&mut self, index: usize, target: usize, now: Duration) {
        let request = &mut self.requests[index];
        request.target = target;
        let node = &mut self.nodes[request.node];
        node.loads[target].record_sent();
        let customer = &self.customers[request.outcome.arrival.customer];
        node.shares.record_sent(customer);
        if self.replicas[target].running < SLOTS {
            self.start(index, target, now);
        } else {
            self.replicas[target].waiting.push_back(index);
        }
    }

    fn start(&mut self, index: usize, target: usize, now: Duration) {
        self.replicas[target].running += 1;
        let timing = timing();
        let first = timing.prefill + timing.decode_pass.mul_f64(0.8 + 0.4 * self.draw());
        let run = MEAN_RUN.mul_f64(0.5 + self.draw());
        self.push(now + first, Event::Begin(index));
        self.push(now + run, Event::End(index));
    }

    fn reject(&mut self, index: usize, left: Duration, now: Duration) {
        let draw = self.draw();
        let request = &mut self.requests[index];
        if request.outcome.returned_at.is_some() {
            return;
        }
        let followed = left.mul_f64(1.0 / 3.0);
        let least = timing().decode_pass + timing().prefill;
        let after = match self.mechanisms.returns {
            ReturnWay::Constant => LEAST_RETURN,
            ReturnWay::Drawn => LEAST_RETURN + followed.saturating_sub(LEAST_RETURN).mul_f64(draw),
            ReturnWay::Reserved => {
                let reservation = ReturnRequest {
                    least: LEAST_RETURN,
                    time_left: left,
                    slack: TARGET.saturating_sub(request.elapsed + least),
                    draw,
                };
                let returns = &mut self.nodes[request.node].returns;
                returns.reserve(reservation, now)
            }
        };
        let at = now + after.min(followed);
        request.outcome.returned_at = Some(at);
        self.push(at, Event::Attempt(index));
    }

    fn first_event(&mut self, index: usize, now: Duration) {
        self.requests[index].outcome.first_event = Some(now);
    }

    fn end(&mut self, index: usize, now: Duration) {
        let request = self.requests[index];
        let node = &mut self.nodes[request.node];
        node.loads[request.target].record_end();
        node.returns.record_end(now);
        let customer = &self.customers[request.outcome.arrival.customer];
        node.shares.record_ended(customer);
        self.replicas[request.target].running -= 1;
        if let Some(next) = self.replicas[request.target].waiting.pop_front() {
            self.start(next, request.target, now);
        }
    }

    fn snapshot(&mut self, tick: usize, now: Duration) {
        self.snapshots
            .push_back(self.replicas.iter().map(Replica::load).collect());
        if self.snapshots.len() <= REPORT_DELAY {
            return;
        }
        let Some(reported) = self.snapshots.pop_front() else {
            return;
        };
        let nodes = self.nodes.iter_mut().enumerate();
        for (_, node) in nodes.filter(|(index, _)| index % REPORT_PERIOD == tick % REPORT_PERIOD) {
            for (load, requests) in node.loads.iter_mut().zip(&reported) {
                load.record_report(*requests, now);
            }
        }
    }
}
