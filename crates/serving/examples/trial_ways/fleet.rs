//! Nodes with their detectors, and engines that crash.

use std::time::Duration;

use domain::{BootNumber, FastMap, HostId, PromptPartId};
use serving::hashing::stable_hash;
use serving::poison::SOUND_ANSWER_AGE;
use serving::{
    BarredSet, CrashedFeature, PoisonDetector, PoisonVerdict, RequestFeature, TargetProcess,
};

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Time from the beginning of an answer with the culprit to the crash of its engine, and from there to the
/// evidence of it.
const CRASH_DELAY: Duration = Duration::from_millis(100);

/// Time for which a crashed engine is away.
const RESTART_TIME: Duration = Duration::from_secs(5);

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(1800);

/// Sound requests per second and node, and requests with the culprit per second of the whole fleet.
const SOUND_RATE: f64 = 8.0;
const BAD_RATE: f64 = 1.5;

/// When the first request with the culprit comes, or the engines are lost.
const FAULT_AT: Duration = Duration::from_secs(6);

/// Time within which a third of the engines is lost, and for which the others stand still.
const LOSS_TIME: Duration = Duration::from_millis(500);
const STALL_TIME: Duration = Duration::from_millis(2500);

/// Interval at which nodes review their verdicts, and of reads after an announcement.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// Time of a write to the store, or of a read.
const STORE_TIME: Duration = Duration::from_millis(15);

/// Time for which a claimed trial keeps others from being claimed, and between two claims of a node.
const TRIAL_TIME: Duration = Duration::from_secs(3);
const CLAIM_INTERVAL: Duration = Duration::from_secs(1);

/// Time over which nodes spread their claims, for each node, and its maximum.
const SPREAD_PER_NODE: Duration = Duration::from_millis(10);
const MAX_SPREAD: Duration = Duration::from_secs(1);

/// Time for which it is one node's turn.
const TURN_TIME: Duration = Duration::from_secs(2);

/// Parts of prompts: one that most have, and others of which each prompt has one.
const COMMON_SHARE: f64 = 0.9;
const OTHER_PARTS: f64 = 60.0;

const CULPRIT: RequestFeature = RequestFeature::Part(PromptPartId(1));
const COMMON: RequestFeature = RequestFeature::Part(PromptPartId(2));

/// What ends engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    CrashingPart,
    JointLoss,
}

impl Scenario {
    pub const ALL: [Self; 2] = [Self::CrashingPart, Self::JointLoss];
}

/// What makes a refusal final, and who tries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialWay {
    /// Three crashes; a trial comes after 20 s or more.
    Crashes,
    /// A trial by the node whose turn it is.
    Turns,
    /// A trial by the node that claims it in the store.
    Claims,
}

impl TrialWay {
    pub const ALL: [Self; 3] = [Self::Crashes, Self::Turns, Self::Claims];
}

/// What a run came to.
#[derive(Debug, Default)]
pub struct FleetReport {
    pub engines_lost: usize,
    pub trials: usize,
    /// Conditional writes to the store.
    pub claims: usize,
    /// From the third crash until every node knows the proof.
    pub proved_after: Option<Duration>,
    /// Sound requests that were told to come back, and those that were refused for good.
    pub sent_away: usize,
    pub refused: usize,
    /// From the fault until the last sound request that was kept from the engines.
    pub served_after: Option<Duration>,
}

#[derive(Debug)]
struct RunningRequest {
    node: usize,
    engine: usize,
    begun_at: Duration,
    features: Vec<RequestFeature>,
    is_trial: bool,
    is_recorded: bool,
}

#[derive(Debug, Clone)]
enum Evidence {
    Crash(TargetProcess, Duration, Vec<CrashedFeature>),
    Sound(RequestFeature, Duration),
}

/// A fleet of nodes and engines.
#[derive(Debug)]
pub struct Fleet {
    scenario: Scenario,
    way: TrialWay,
    seed: u64,
    draws: u64,
    detectors: Vec<PoisonDetector>,
    /// When each engine serves again, and its boot number.
    engines: Vec<(Duration, u64)>,
    running: Vec<RunningRequest>,
    /// Evidence on its way, with the receiver and the time of arrival.
    mail: Vec<(Duration, usize, Evidence)>,
    told: FastMap<(usize, RequestFeature), Duration>,
    crash_times: Vec<Duration>,
    /// When the trial of a set was last granted, and when each node last claimed one.
    claimed_at: FastMap<Vec<RequestFeature>, Duration>,
    node_claims: FastMap<usize, Duration>,
    /// The last turn in which a node tried.
    turns: FastMap<usize, u128>,
    report: FleetReport,
}

impl Fleet {
    pub fn new(nodes: usize, scenario: Scenario, way: TrialWay, seed: u64) -> Self {
        Self {
            scenario,
            way,
            seed,
            draws: 0,
            detectors: (0..nodes).map(|_| PoisonDetector::default()).collect(),
            engines: vec![(Duration::ZERO, 1); nodes.max(8)],
            running: Vec::new(),
            mail: Vec::new(),
            told: FastMap::default(),
            crash_times: Vec::new(),
            claimed_at: FastMap::default(),
            node_claims: FastMap::default(),
            turns: FastMap::default(),
            report: FleetReport::default(),
        }
    }

    pub fn run(mut self, time: Duration) -> FleetReport {
        let mut now = Duration::ZERO;
        while now < time {
            self.deliver(now);
            self.arrive(now);
            self.end_engines(now);
            self.record_sound(now);
            if now.as_millis().is_multiple_of(REVIEW_INTERVAL.as_millis()) {
                self.review(now);
            }
            self.check_proved(now);
            now += STEP;
        }
        self.report.engines_lost = self.crash_times.len();
        self.report
    }

    fn draw(&mut self) -> f64 {
        self.draws += 1;
        let hash = stable_hash(&(self.seed, self.draws));
        f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
    }

    fn draw_below(&mut self, count: usize) -> usize {
        let drawn = self.draw() * f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        whole(drawn).min(count.saturating_sub(1))
    }

    fn arrive(&mut self, now: Duration) {
        let nodes = f64::from(u32::try_from(self.detectors.len()).unwrap_or(u32::MAX));
        let mut sound = SOUND_RATE * nodes * STEP.as_secs_f64();
        while sound > 0.0 {
            if self.draw() < sound {
                self.send(now, false);
            }
            sound -= 1.0;
        }
        let is_bad_time = self.scenario == Scenario::CrashingPart && now >= FAULT_AT;
        if is_bad_time && self.draw() < BAD_RATE * STEP.as_secs_f64() {
            self.send(now, true);
        }
    }

    fn send(&mut self, now: Duration, is_bad: bool) {
        let node = self.draw_below(self.detectors.len());
        let other = whole(self.draw() * OTHER_PARTS);
        let id = 100 + u128::try_from(other).unwrap_or_default();
        let mut features = vec![RequestFeature::Part(PromptPartId(id))];
        if self.draw() < COMMON_SHARE {
            features.push(COMMON);
        }
        if is_bad {
            features.push(CULPRIT);
        }
        let is_barred = self.detectors[node].verdict(&features) == PoisonVerdict::Barred;
        let set = self.detectors[node].barred_set(&features).cloned();
        let Some(set) = set.filter(|_| is_barred) else {
            self.start(now, node, features, false);
            return;
        };
        if self.may_try(now, node, &set) {
            self.report.trials += 1;
            self.start(now, node, features, true);
            return;
        }
        if is_bad {
            return;
        }
        let is_final = self.way == TrialWay::Crashes || set.is_proved;
        self.report.refused += usize::from(is_final);
        self.report.sent_away += usize::from(!is_final);
        self.report.served_after = Some(now.saturating_sub(FAULT_AT));
    }

    /// Whether a node tries a request of a set now.
    fn may_try(&mut self, now: Duration, node: usize, set: &BarredSet) -> bool {
        if self.way == TrialWay::Crashes || set.is_proved {
            return now >= set.trial_at && self.takes_turn(now, node, set);
        }
        if self.way == TrialWay::Turns {
            return now >= set.first_trial_at && self.takes_turn(now, node, set);
        }
        let nodes = u32::try_from(self.detectors.len()).unwrap_or(u32::MAX);
        let spread = SPREAD_PER_NODE.saturating_mul(nodes).min(MAX_SPREAD);
        let place = u32::try_from(node).unwrap_or(u32::MAX);
        let own_spread = spread * place / nodes;
        let claimed_at = self.node_claims.get(&node);
        let has_claimed = claimed_at.is_some_and(|at| now < *at + CLAIM_INTERVAL);
        if now < set.first_trial_at + own_spread || has_claimed {
            return false;
        }
        self.node_claims.insert(node, now);
        self.report.claims += 1;
        let running = self.claimed_at.get(&set.features);
        if running.is_some_and(|at| now < *at + TRIAL_TIME) {
            return false;
        }
        self.claimed_at.insert(set.features.clone(), now);
        true
    }

    fn takes_turn(&mut self, now: Duration, node: usize, set: &BarredSet) -> bool {
        let turn = now.as_millis() / TURN_TIME.as_millis();
        let nodes = u64::try_from(self.detectors.len()).unwrap_or(u64::MAX);
        let place = stable_hash(&(&set.features, turn)) % nodes;
        let is_own = u64::try_from(node).is_ok_and(|node| node == place);
        is_own && self.turns.insert(node, turn) != Some(turn)
    }

    fn is_stalled(&self, now: Duration) -> bool {
        self.scenario == Scenario::JointLoss && now >= FAULT_AT && now < FAULT_AT + STALL_TIME
    }

    fn start(&mut self, now: Duration, node: usize, features: Vec<RequestFeature>, is_trial: bool) {
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.engines[*engine].0 <= now)
            .collect();
        if up.is_empty() {
            return;
        }
        let engine = up[self.draw_below(up.len())];
        let begun_at = if self.is_stalled(now) {
            FAULT_AT + STALL_TIME
        } else {
            now
        };
        self.running.push(RunningRequest {
            node,
            engine,
            begun_at,
            features,
            is_trial,
            is_recorded: false,
        });
    }

    fn end_engines(&mut self, now: Duration) {
        let crashing = self.running.iter().filter(|request| {
            request.features.contains(&CULPRIT) && request.begun_at + CRASH_DELAY <= now
        });
        let mut ending: Vec<usize> = crashing.map(|request| request.engine).collect();
        if self.scenario == Scenario::JointLoss && now >= FAULT_AT && now < FAULT_AT + LOSS_TIME {
            let lost = self.engines.len() / 3;
            let step = LOSS_TIME / u32::try_from(lost).unwrap_or(u32::MAX);
            let due = |engine: &usize| FAULT_AT + step * u32::try_from(*engine).unwrap_or(0) <= now;
            ending.extend((0..lost).filter(due));
        }
        for engine in ending {
            if self.engines[engine].0 <= now {
                self.end_engine(now, engine);
            }
        }
        self.running
            .retain(|request| request.begun_at + ANSWER_TIME > now);
    }

    fn end_engine(&mut self, now: Duration, engine: usize) {
        let process = TargetProcess {
            host: format!("e{engine}").parse::<HostId>().expect("a host"),
            boot: BootNumber(self.engines[engine].1),
        };
        self.engines[engine] = (now + RESTART_TIME, self.engines[engine].1 + 1);
        self.crash_times.push(now);
        let there = self
            .running
            .extract_if(.., |request| request.engine == engine);
        let there: Vec<RunningRequest> = there.collect();
        for node in 0..self.detectors.len() {
            let own = there.iter().filter(|request| request.node == node);
            let features = own.flat_map(|request| {
                let age = now.saturating_sub(request.begun_at);
                request.features.iter().map(move |feature| CrashedFeature {
                    feature: *feature,
                    response_age: Some(age),
                    is_outlived: age >= SOUND_ANSWER_AGE,
                    is_trial: request.is_trial,
                })
            });
            let features: Vec<CrashedFeature> = features.collect();
            if !features.is_empty() {
                self.tell(now, node, &Evidence::Crash(process.clone(), now, features));
            }
        }
    }

    /// Sends evidence of a node to all others, and to itself at once.
    fn tell(&mut self, at: Duration, from: usize, evidence: &Evidence) {
        for node in 0..self.detectors.len() {
            let delay = if node == from {
                Duration::ZERO
            } else {
                STORE_TIME * 2 + REVIEW_INTERVAL.mul_f64(self.draw())
            };
            self.mail.push((at + delay, node, evidence.clone()));
        }
    }

    fn deliver(&mut self, now: Duration) {
        let due: Vec<_> = self.mail.extract_if(.., |(at, ..)| *at <= now).collect();
        let mut changed = Vec::new();
        for (_, node, evidence) in due {
            let detector = &mut self.detectors[node];
            match evidence {
                Evidence::Crash(process, at, features) => detector.record(process, at, &features),
                Evidence::Sound(feature, begun_at) => {
                    detector.record_reported_sound(feature, begun_at);
                }
            }
            changed.push(node);
        }
        changed.sort_unstable();
        changed.dedup();
        for node in changed {
            self.detectors[node].evaluate(now);
        }
    }

    fn record_sound(&mut self, now: Duration) {
        for request in &mut self.running {
            if request.is_recorded || request.begun_at + SOUND_ANSWER_AGE > now {
                continue;
            }
            request.is_recorded = true;
            for feature in &request.features {
                self.detectors[request.node].record_sound(*feature, request.begun_at);
            }
        }
    }

    /// Reviews the verdicts of all nodes; those that know of sound answers that others need tell them.
    fn review(&mut self, now: Duration) {
        if self.crash_times.is_empty() {
            return;
        }
        for node in 0..self.detectors.len() {
            self.detectors[node].evaluate(now);
            for (feature, begun_at) in self.detectors[node].unreported_sound() {
                let told = self.told.insert((node, feature), begun_at);
                if told != Some(begun_at) {
                    self.tell(now, node, &Evidence::Sound(feature, begun_at));
                }
            }
        }
    }

    fn check_proved(&mut self, now: Duration) {
        let third = self.crash_times.get(2).copied();
        let (None, Some(third)) = (self.report.proved_after, third) else {
            return;
        };
        let way = self.way;
        let is_proved = |detector: &PoisonDetector| {
            let mut sets = detector.barred().iter();
            sets.any(|set| set.features == [CULPRIT] && (set.is_proved || way == TrialWay::Crashes))
        };
        if self.detectors.iter().all(is_proved) {
            self.report.proved_after = Some(now.saturating_sub(third));
        }
    }
}

// In range: the simulation's numbers are small and not negative.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(number: f64) -> usize {
    number as usize
}
