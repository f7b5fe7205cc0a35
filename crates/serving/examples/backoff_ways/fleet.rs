//! A fleet of nodes and targets in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use domain::{BootNumber, FastMap, HostId};
use serving::hashing::unit_draw;
use serving::{StatementLedger, TargetProcess};

/// Targets and requests a second per node; half of the places are taken in the mean.
const TARGETS_PER_NODE: usize = 2;
const REQUESTS_PER_S: f64 = 15.0;

/// Places of a target: running and queued requests.
const PLACES: u32 = 16;

/// Time that a request runs.
const RUN_MS: u64 = 500;

/// Time from the choice of a target to the first byte, and the part of the sends that wait longer.
const SEND_MS: u64 = 3;
const SLOW_SEND_MS: u64 = 900;
const SLOW_PART: f64 = 0.2;

/// Backoff that a target asks for, and the time in which half of them reject all.
const BACKOFF: Duration = Duration::from_secs(3);
const TROUBLE_MS: std::ops::Range<u64> = 5_000..14_500;
const END_MS: u64 = 25_000;

/// Time after the answer that the bound leaves out, and the requests allowed after it.
const GRACE: Duration = Duration::from_millis(500);
const ALLOWED: u32 = 2;

/// Time within which a response is worth all, attempts of a client, and its pause after a rejection.
const AIM_MS: u64 = 1_500;
const CLIENT_ATTEMPTS: u32 = 3;
const CLIENT_PAUSE_MS: u64 = 250;

/// Longest time that a client waits before it comes back.
const MAX_PAUSE_MS: u64 = 2_600;

/// Time for which nodes that were told of a rejection prefer other targets.
const TOLD_MS: u64 = 1_500;

/// Targets that a node sends an attempt of a client to.
const SENDS: u32 = 2;

#[derive(Debug, Clone, Copy)]
pub struct FleetSpec {
    pub nodes: usize,
    pub seed: u64,
}

/// How a node follows a backoff.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackoffWay {
    /// Not at all; only the rejected request keeps off the target.
    Ignored,
    /// When a target is chosen.
    AtChoice,
    /// When a target is chosen, and again right before a request is sent.
    AtSend,
    /// The same, and the node comes back in steps, apart from the others.
    InSteps,
    /// The same, and other nodes, which are told, prefer other targets for a while.
    Told,
}

impl BackoffWay {
    pub const ALL: [Self; 5] = [
        Self::Ignored,
        Self::AtChoice,
        Self::AtSend,
        Self::InSteps,
        Self::Told,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Ignored => "ignored",
            Self::AtChoice => "at choice",
            Self::AtSend => "at send",
            Self::InSteps => "in steps",
            Self::Told => "told",
        }
    }
}

#[derive(Debug, Default)]
pub struct FleetFigures {
    pub most_in_backoff: u32,
    /// Pairs of a node and a target with more than the bound allows.
    pub over_bound: usize,
    /// Backoffs that targets asked for after their trouble had ended.
    pub asked_again: usize,
    /// Most requests that reached a target within 0.1 s after its trouble.
    pub most_at_return: usize,
    /// Part of the requests that were answered in time.
    pub in_time: f64,
}

#[derive(Debug, Clone, Copy)]
struct FleetRequest {
    node: usize,
    born_ms: u64,
    client_attempt: u32,
    sends: u32,
    last_target: Option<usize>,
}

#[derive(Debug, Clone, Copy)]
enum FleetEvent {
    Arrive(FleetRequest),
    Send(FleetRequest, usize),
    End(usize),
}

#[derive(Debug, Default)]
struct NodeView {
    ledger: StatementLedger,
    until: FastMap<usize, Duration>,
}

/// What a target has asked a node for, as the bound counts it.
#[derive(Debug, Default)]
struct AskedBackoff {
    from: Duration,
    until: Duration,
    arrived: u32,
}

struct Fleet {
    spec: FleetSpec,
    way: BackoffWay,
    /// Number of draws so far.
    draws: u64,
    views: Vec<NodeView>,
    running: Vec<u32>,
    /// Until when nodes that were told prefer other targets.
    told_until: Vec<u64>,
    asked: FastMap<(usize, usize), AskedBackoff>,
    returned: FastMap<(usize, u64), usize>,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    pending: Vec<FleetEvent>,
    figures: FleetFigures,
    in_time: usize,
}

fn process(target: usize) -> TargetProcess {
    let host: HostId = format!("t{target}").parse().expect("an id");
    TargetProcess {
        host,
        boot: BootNumber(1),
    }
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn play(spec: FleetSpec, way: BackoffWay) -> FleetFigures {
    let targets = spec.nodes * TARGETS_PER_NODE;
    let mut fleet = Fleet {
        spec,
        way,
        draws: 0,
        views: (0..spec.nodes).map(|_| NodeView::default()).collect(),
        running: vec![0; targets],
        told_until: vec![0; targets],
        asked: FastMap::default(),
        returned: FastMap::default(),
        events: BinaryHeap::new(),
        pending: Vec::new(),
        figures: FleetFigures::default(),
        in_time: 0,
    };
    let requests = fleet.schedule_requests();
    while let Some(Reverse((now, _, index))) = fleet.events.pop() {
        let event = fleet.pending[index];
        fleet.handle(now, event);
    }
    fleet.finish(requests)
}

impl Fleet {
    fn push(&mut self, at_ms: u64, event: FleetEvent) {
        let index = self.pending.len();
        self.pending.push(event);
        let order = u64::try_from(index).unwrap_or(u64::MAX);
        self.events.push(Reverse((at_ms, order, index)));
    }

    /// Number from 0 to 1.
    fn draw(&mut self) -> f64 {
        self.draws += 1;
        unit_draw(&(self.spec.seed, self.draws))
    }

    /// Index below `count`.
    fn draw_index(&mut self, count: usize) -> usize {
        let share = self.draw() * f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        // Not negative, and at most the count.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let index = share as usize;
        index.min(count - 1)
    }

    fn schedule_requests(&mut self) -> usize {
        let mut count = 0;
        for node in 0..self.spec.nodes {
            let mut born = 0.0;
            loop {
                born -= self.draw().max(f64::EPSILON).ln() * 1000.0 / REQUESTS_PER_S;
                // Positive and below the end.
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                let born_ms = born as u64;
                if born_ms >= END_MS {
                    break;
                }
                count += 1;
                let request = FleetRequest {
                    node,
                    born_ms,
                    client_attempt: 1,
                    sends: 0,
                    last_target: None,
                };
                self.push(born_ms, FleetEvent::Arrive(request));
            }
        }
        count
    }

    fn handle(&mut self, now: u64, event: FleetEvent) {
        match event {
            FleetEvent::Arrive(request) => self.choose(now, request),
            FleetEvent::Send(request, target) => self.send(now, request, target),
            FleetEvent::End(target) => self.running[target] -= 1,
        }
    }

    fn is_free(&self, node: usize, target: usize, now: u64) -> bool {
        let view = &self.views[node];
        match self.way {
            BackoffWay::Ignored => true,
            BackoffWay::AtChoice | BackoffWay::AtSend => view
                .until
                .get(&target)
                .is_none_or(|until| at(now) >= *until),
            BackoffWay::InSteps | BackoffWay::Told => {
                view.ledger.check(&process(target), at(now)).is_ok()
            }
        }
    }

    /// Chooses the less loaded of two targets, as reports of loads let nodes do.
    fn choose(&mut self, now: u64, request: FleetRequest) {
        let mut best: Option<usize> = None;
        for _ in 0..8 {
            let target = self.draw_index(self.running.len());
            let rank = |target: usize| {
                let is_told = self.way == BackoffWay::Told && now < self.told_until[target];
                (is_told, self.running[target])
            };
            let is_better = best.is_none_or(|best| rank(target) < rank(best));
            let is_new = request.last_target != Some(target);
            if is_better && is_new && self.is_free(request.node, target, now) {
                best = Some(target);
            }
        }
        let Some(target) = best else {
            return self.turn_away(now, request);
        };
        let is_slow = self.draw() < SLOW_PART;
        let delay = if is_slow { SLOW_SEND_MS } else { SEND_MS };
        self.push(now + delay, FleetEvent::Send(request, target));
    }

    fn turn_away(&mut self, now: u64, request: FleetRequest) {
        if request.client_attempt >= CLIENT_ATTEMPTS {
            return;
        }
        let node = self.draw_index(self.spec.nodes);
        let again = FleetRequest {
            node,
            client_attempt: request.client_attempt + 1,
            sends: 0,
            last_target: None,
            ..request
        };
        let pause = CLIENT_PAUSE_MS.min(MAX_PAUSE_MS);
        self.push(now + pause, FleetEvent::Arrive(again));
    }

    fn send(&mut self, now: u64, mut request: FleetRequest, target: usize) {
        let may_send = match self.way {
            BackoffWay::Ignored | BackoffWay::AtChoice => true,
            BackoffWay::AtSend => self.is_free(request.node, target, now),
            BackoffWay::InSteps | BackoffWay::Told => {
                let ledger = &mut self.views[request.node].ledger;
                ledger.take_send(&process(target), at(now)).is_ok()
            }
        };
        request.last_target = Some(target);
        if !may_send {
            return self.choose(now, request);
        }
        request.sends += 1;
        self.arrive(now, request, target);
    }

    fn arrive(&mut self, now: u64, request: FleetRequest, target: usize) {
        if let Some(asked) = self.asked.get_mut(&(request.node, target))
            && at(now) >= asked.from + GRACE
            && at(now) < asked.until
        {
            asked.arrived += 1;
            self.figures.most_in_backoff = self.figures.most_in_backoff.max(asked.arrived);
            if asked.arrived == ALLOWED + 1 {
                self.figures.over_bound += 1;
            }
        }
        let is_troubled = target.is_multiple_of(2);
        if is_troubled && now >= TROUBLE_MS.end {
            *self.returned.entry((target, now / 100)).or_default() += 1;
        }
        let rejects = is_troubled && TROUBLE_MS.contains(&now);
        if rejects || self.running[target] >= PLACES {
            self.figures.asked_again += usize::from(now >= TROUBLE_MS.end);
            return self.reject(now, request, target);
        }
        self.running[target] += 1;
        self.push(now + RUN_MS, FleetEvent::End(target));
        self.in_time += usize::from(now + RUN_MS - request.born_ms <= AIM_MS);
    }

    fn reject(&mut self, now: u64, request: FleetRequest, target: usize) {
        let asked = self.asked.entry((request.node, target)).or_default();
        if at(now) >= asked.until {
            *asked = AskedBackoff {
                from: at(now),
                ..AskedBackoff::default()
            };
        }
        asked.until = at(now) + BACKOFF;
        self.told_until[target] = now + TOLD_MS;
        let view = &mut self.views[request.node];
        view.until.insert(target, at(now) + BACKOFF);
        let draw = unit_draw(&(request.node, target));
        view.ledger
            .record_backoff(&process(target), BACKOFF, draw, at(now));
        if request.sends < SENDS {
            self.choose(now, request);
        } else {
            self.turn_away(now, request);
        }
    }

    fn finish(mut self, requests: usize) -> FleetFigures {
        let most = self.returned.values().copied().max();
        self.figures.most_at_return = most.unwrap_or(0);
        let count = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        self.figures.in_time = count(self.in_time) / count(requests.max(1));
        self.figures
    }
}
