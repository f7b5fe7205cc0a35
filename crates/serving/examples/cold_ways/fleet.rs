//! A fleet of nodes and cold targets in virtual time.

use std::time::Duration;

use serving::hashing::unit_draw;
use serving::{
    ColdAllowance, ColdBound, ColdLedger, ColdTerms, SenderNode, SenderStanding, TargetProcess,
    cold_allowance,
};

/// Cold targets, all in the first of the failure domains.
const TARGETS: usize = 10;
const DOMAINS: usize = 3;

/// Nodes in a failure domain below which those of the others send to its targets as well.
const SMALL_DOMAIN: usize = 5;

/// Requests a second for each cold target that clients of all nodes want to be served.
const WANTED_PER_TARGET: f64 = 12.0;

/// Heartbeat interval up to this number of nodes; above, it grows in proportion.
const HEARTBEAT_S: f64 = 4.0;
const BASE_NODES: f64 = 64.0;

/// Intervals after which a node counts as gone, after which it can't tell, and after which all count it.
const EXPIRY: f64 = 2.75;
const BLIND: f64 = EXPIRY * 0.6;
const COUNTED: f64 = 2.0;

/// Time by which the first heartbeats after a restart of all are spread.
const START_SPREAD_S: f64 = 0.7;

/// Time for which a lease lasts, after which its holder may have gone, and the time in which it is claimed.
const LEASE_S: f64 = 3.0;
const CLAIM_S: f64 = 0.3;

/// Step in milliseconds, and how often nodes look at their lists.
const STEP_MS: usize = 10;
const STEP_S: f64 = 0.01;
const LOOK_MS: u64 = 500;

const TERMS: ColdTerms = ColdTerms {
    duration: Duration::from_secs(3),
    rate: 23.0,
};
const BOUND: ColdBound = ColdBound {
    overage: 1.5,
    slack: 5.0,
};

/// How nodes share the rate of a cold target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdWay {
    /// Each node that counts n nodes takes the nth part, and a burst of one.
    EqualShares,
    /// The holder of a lease in the store sends alone.
    Lease,
    /// A few nodes by rendezvous hashing.
    Senders,
    /// The same, and nodes that have just started have the part of uncertain ones.
    NewSenders,
}

impl ColdWay {
    pub const ALL: [Self; 4] = [
        Self::EqualShares,
        Self::Lease,
        Self::Senders,
        Self::NewSenders,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::EqualShares => "equal shares",
            Self::Lease => "lease in the store",
            Self::Senders => "senders by hash",
            Self::NewSenders => "new senders too",
        }
    }
}

/// What happens after a tenth of the play, which lasts ten heartbeat intervals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A third of the nodes can't reach the store from then on.
    ThirdWithoutStore,
    /// All nodes restart under other names.
    AllRestarted,
    /// Three quarters more nodes start.
    NodesAdded,
}

impl Fault {
    pub const ALL: [Self; 4] = [
        Self::None,
        Self::ThirdWithoutStore,
        Self::AllRestarted,
        Self::NodesAdded,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::ThirdWithoutStore => "third without store",
            Self::AllRestarted => "all restarted",
            Self::NodesAdded => "nodes added",
        }
    }
}

#[derive(Debug)]
pub struct FleetFigures {
    pub most_in_second: usize,
    pub part: f64,
}

struct FleetNode {
    name: String,
    domain: String,
    /// When its first heartbeat is written, in seconds; long ago for nodes that settled before.
    started_s: f64,
    /// When it loses the store.
    blind_from_s: f64,
    ledger: ColdLedger,
}

struct Fleet {
    nodes: Vec<FleetNode>,
    interval_s: f64,
    fault_s: f64,
}

impl Fleet {
    fn new(count: usize, fault: Fault) -> Self {
        let all = if fault == Fault::NodesAdded {
            count + count * 3 / 4
        } else {
            count
        };
        let interval_s = HEARTBEAT_S * (to_f64(all) / BASE_NODES).max(1.0);
        let fault_s = interval_s;
        let node = |index: usize| {
            let is_new = fault == Fault::AllRestarted || index >= count;
            let loses_store = fault == Fault::ThirdWithoutStore && index % 3 == index / 3 % 3;
            FleetNode {
                name: format!("node-{index}"),
                domain: format!("z{}", index % DOMAINS),
                started_s: if is_new {
                    fault_s + START_SPREAD_S * unit_draw(&(index, "start"))
                } else {
                    -1000.0
                },
                blind_from_s: if loses_store { fault_s } else { f64::MAX },
                ledger: ColdLedger::default(),
            }
        };
        Self {
            nodes: (0..all).map(node).collect(),
            interval_s,
            fault_s,
        }
    }

    /// Whether a node counts another one, of which it reads within an interval.
    fn counts(&self, own: usize, other: usize, now_s: f64) -> bool {
        let (node, seen) = (&self.nodes[own], &self.nodes[other]);
        if own == other {
            return now_s >= node.started_s;
        }
        let delay_s = self.interval_s * unit_draw(&(own, other));
        let since_s = seen.started_s.max(node.started_s) + delay_s;
        let is_gone = node.blind_from_s > now_s
            && now_s > seen.blind_from_s + EXPIRY * self.interval_s + delay_s;
        now_s >= since_s && since_s < node.blind_from_s && !is_gone
    }

    fn standing(&self, own: usize, now_s: f64) -> SenderStanding {
        let node = &self.nodes[own];
        if now_s < node.started_s + COUNTED * self.interval_s {
            SenderStanding::New
        } else if now_s > node.blind_from_s + BLIND * self.interval_s {
            SenderStanding::Uncertain
        } else {
            SenderStanding::Settled
        }
    }

    fn allowances(&self, way: ColdWay, own: usize, now_s: f64) -> [Option<ColdAllowance>; TARGETS] {
        let counted: Vec<usize> = (0..self.nodes.len())
            .filter(|other| self.counts(own, *other, now_s))
            .collect();
        let mut allowances = [None; TARGETS];
        for (number, allowance) in allowances.iter_mut().enumerate() {
            *allowance = match way {
                ColdWay::EqualShares => {
                    let count = to_f64(counted.len());
                    (count > 0.0).then(|| of_rate(TERMS.rate / count))
                }
                ColdWay::Lease => {
                    let is_holder = self.lease_holder(number, now_s) == Some(own);
                    is_holder.then(|| of_rate(TERMS.rate))
                }
                ColdWay::Senders | ColdWay::NewSenders => {
                    let nodes = counted.iter().map(|other| SenderNode {
                        name: &self.nodes[*other].name,
                        domain: &self.nodes[*other].domain,
                    });
                    let standing = match self.standing(own, now_s) {
                        SenderStanding::New if way == ColdWay::NewSenders => {
                            SenderStanding::Uncertain
                        }
                        standing => standing,
                    };
                    let own = (self.nodes[own].name.as_str(), standing);
                    let target = format!("host-{number}");
                    cold_allowance((TERMS, BOUND), nodes, own, (&target, "z0"))
                }
            };
        }
        allowances
    }

    /// The holder of a target's lease. It lets the lease lapse once it has lost the store, and others claim it
    /// after that; so do the nodes after a restart of all.
    fn lease_holder(&self, target: usize, now_s: f64) -> Option<usize> {
        let holder = |at_s: f64| {
            let able = self.nodes.iter().enumerate().filter(|(_, node)| {
                node.domain == "z0" && node.started_s + CLAIM_S <= at_s && at_s < node.blind_from_s
            });
            let rank = |index: usize| unit_draw(&(index, target));
            let first = able.max_by(|(left, _), (right, _)| rank(*left).total_cmp(&rank(*right)));
            first.map(|(index, _)| index)
        };
        let before = holder(self.fault_s - STEP_S);
        let is_kept = before.is_some_and(|index| now_s < self.nodes[index].blind_from_s);
        if is_kept {
            return before;
        }
        let is_lapsed = now_s >= self.fault_s + LEASE_S + CLAIM_S;
        is_lapsed.then(|| holder(now_s)).flatten()
    }
}

fn of_rate(rate: f64) -> ColdAllowance {
    ColdAllowance {
        rate,
        burst: 1.0,
        nodes_per_sender: 1.0,
    }
}

/// Plays a fault twice: with the usual load, and with nodes that send whenever they may.
pub fn play(count: usize, way: ColdWay, fault: Fault) -> FleetFigures {
    let usual = send_all(&mut Fleet::new(count, fault), way, Load::Usual);
    let sent = send_all(&mut Fleet::new(count, fault), way, Load::AsMuchAsAllowed);
    let most = sent.sent.iter().map(|sent| most_in_second(sent)).max();
    let taken: usize = usual.sent.iter().map(Vec::len).sum();
    FleetFigures {
        most_in_second: most.unwrap_or(0),
        part: to_f64(taken) / to_f64(usual.wanted),
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Load {
    Usual,
    AsMuchAsAllowed,
}

/// Times in milliseconds at which requests were sent, by target, and the number of requests that clients had.
struct SendLog {
    sent: Vec<Vec<u64>>,
    wanted: usize,
}

fn send_all(fleet: &mut Fleet, way: ColdWay, load: Load) -> SendLog {
    let end_ms = whole_ms(fleet.interval_s * 10.0);
    let targets: Vec<TargetProcess> = (0..TARGETS)
        .map(|number| TargetProcess {
            host: format!("host-{number}").parse().expect("valid name"),
            boot: domain::BootNumber(1),
        })
        .collect();
    for node in &mut fleet.nodes {
        for target in &targets {
            let lasting = Duration::from_millis(end_ms);
            node.ledger.record(target, lasting, Duration::ZERO);
        }
    }
    let near_count = fleet
        .nodes
        .iter()
        .filter(|node| node.domain == "z0")
        .count();
    // Small domains get help of the others.
    let prefers = |node: &FleetNode| node.domain == "z0" || near_count < SMALL_DOMAIN;
    let mut allowances = vec![[None; TARGETS]; fleet.nodes.len()];
    let mut log = SendLog {
        sent: vec![Vec::new(); TARGETS],
        wanted: 0,
    };
    for at_ms in (0..end_ms).step_by(STEP_MS) {
        let now = Duration::from_millis(at_ms);
        let now_s = now.as_secs_f64();
        if at_ms % LOOK_MS == 0 {
            for (index, allowances) in allowances.iter_mut().enumerate() {
                *allowances = fleet.allowances(way, index, now_s);
            }
        }
        let nodes = fleet.nodes.iter();
        let live = nodes.filter(|node| prefers(node) && now_s >= node.started_s);
        let chance = WANTED_PER_TARGET * to_f64(TARGETS) * STEP_S / to_f64(live.count().max(1));
        for (index, node) in fleet.nodes.iter_mut().enumerate() {
            if now_s < node.started_s || !prefers(node) {
                continue;
            }
            let has_request = unit_draw(&(index, at_ms)) < chance;
            if load == Load::Usual && !has_request {
                continue;
            }
            log.wanted += 1;
            let first = usize::try_from(at_ms).expect("short play") / STEP_MS + index;
            for offset in 0..TARGETS {
                let number = (first + offset) % TARGETS;
                let allowance = allowances[index][number];
                let taken = node.ledger.take_send(&targets[number], allowance, now);
                if taken.is_err() {
                    continue;
                }
                log.sent[number].push(at_ms);
                if load == Load::Usual {
                    break;
                }
            }
        }
    }
    log
}

fn most_in_second(sent: &[u64]) -> usize {
    let count = |start: &u64| {
        let end = start + 1000;
        sent.partition_point(|at| *at <= end) - sent.partition_point(|at| at < start)
    };
    sent.iter().map(count).max().unwrap_or(0)
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn whole_ms(seconds: f64) -> u64 {
    let millis = Duration::from_secs_f64(seconds).as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX) / LOOK_MS * LOOK_MS
}
