//! Nodes with their detectors, and engines that crash.

use std::time::Duration;

use domain::{BootNumber, FastMap, HostId};
use serving::poison::SOUND_ANSWER_AGE;
use serving::{CrashedFeature, PoisonDetector, PoisonVerdict, RequestFeature, TargetProcess};

use crate::traffic::{CULPRIT, Draws, UNUSED, draw_parts};

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Time from the beginning of an answer with the culprit to the crash of its engine.
const CRASH_DELAY: Duration = Duration::from_millis(50);

/// Time until a crash is confirmed by the nodes that had requests there.
const CONFIRM_TIME: Duration = Duration::from_millis(50);

/// Time for which a crashed engine is away.
const RESTART_TIME: Duration = Duration::from_secs(5);

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(1800);

/// Sound requests per second and node.
const SOUND_RATE: f64 = 8.0;

/// Requests with the culprit per second of the whole fleet, for each ten nodes, and at least.
const BAD_RATE_PER_TEN_NODES: f64 = 0.3;
const MIN_BAD_RATE: f64 = 1.2;

/// When the first request with the culprit comes.
const BAD_FROM: Duration = Duration::from_secs(5);

/// Crashes from which on the bound for all nodes runs, and the bound.
const KNOWN_CRASHES: usize = 5;
const KNOWLEDGE_BOUND: Duration = Duration::from_secs(3);

/// Interval at which nodes review their verdicts.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// What verdicts are made of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VerdictWay {
    /// Crashes alone.
    Guilt,
    /// Crashes, and answers that engines survived.
    GuiltAndInnocence,
}

impl VerdictWay {
    pub const ALL: [Self; 2] = [Self::Guilt, Self::GuiltAndInnocence];
}

/// How evidence reaches the other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NewsWay {
    /// Written to the store; datagrams make the others read it.
    Announced,
    /// Written to the store; the others read it by themselves.
    Polled,
    /// Passed on from node to node along a tree.
    Tree,
}

impl NewsWay {
    pub const ALL: [Self; 3] = [Self::Announced, Self::Polled, Self::Tree];

    /// Time until a node with this position in the order has the evidence.
    fn delay(self, position: usize, draws: &mut Draws) -> Duration {
        match self {
            // A write and a read, and the pause between two reads.
            Self::Announced => Duration::from_millis(30) + REVIEW_INTERVAL.mul_f64(draws.unit()),
            Self::Polled => {
                Duration::from_millis(30) + Duration::from_millis(1500).mul_f64(draws.unit())
            }
            // A write, a long poll of the root, and a hop for each level of eight.
            Self::Tree => {
                let levels = position.checked_ilog(8).unwrap_or(0) + 1;
                Duration::from_millis(20) + Duration::from_millis(25) * levels
            }
        }
    }
}

/// What a run came to.
#[derive(Debug, Default)]
pub struct FleetReport {
    pub engines_lost: usize,
    /// Requests with the culprit that reached engines after the bound.
    pub late_requests: usize,
    /// From the third crash until every node bars the culprit.
    pub all_known_after: Option<Duration>,
    pub sound_barred: usize,
    pub sound_requests: usize,
}

#[derive(Debug)]
struct RunningRequest {
    node: usize,
    engine: usize,
    begun_at: Duration,
    features: Vec<RequestFeature>,
    attempts: u32,
    is_recorded: bool,
}

#[derive(Debug, Clone)]
enum Evidence {
    Crash(
        TargetProcess,
        Duration,
        Vec<(CrashedFeature, Option<Duration>)>,
    ),
    Sound(RequestFeature, Duration),
}

/// A detector; one that judges by guilt alone does not wait for sound answers, as after a start.
fn new_detector(verdicts: VerdictWay) -> PoisonDetector {
    let mut detector = PoisonDetector::default();
    if verdicts == VerdictWay::Guilt {
        detector.record_sound(UNUSED, Duration::ZERO);
    }
    detector
}

/// A fleet of nodes and engines.
#[derive(Debug)]
pub struct Fleet {
    verdicts: VerdictWay,
    news: NewsWay,
    draws: Draws,
    detectors: Vec<PoisonDetector>,
    /// When each engine serves again, and its boot number.
    engines: Vec<(Duration, u64)>,
    running: Vec<RunningRequest>,
    /// Evidence on its way, with the receiver and the time of arrival.
    mail: Vec<(Duration, usize, Evidence)>,
    told: FastMap<(usize, RequestFeature), Duration>,
    crash_times: Vec<Duration>,
    report: FleetReport,
}

impl Fleet {
    pub fn new(nodes: usize, verdicts: VerdictWay, news: NewsWay, seed: u64) -> Self {
        Self {
            verdicts,
            news,
            draws: Draws::new(seed),
            detectors: (0..nodes).map(|_| new_detector(verdicts)).collect(),
            engines: vec![(Duration::ZERO, 1); nodes.max(8)],
            running: Vec::new(),
            mail: Vec::new(),
            told: FastMap::default(),
            crash_times: Vec::new(),
            report: FleetReport::default(),
        }
    }

    pub fn run(mut self, time: Duration) -> FleetReport {
        let mut now = Duration::ZERO;
        while now < time {
            self.deliver(now);
            self.arrive(now);
            self.crash(now);
            self.record_sound(now);
            if now.as_millis().is_multiple_of(REVIEW_INTERVAL.as_millis()) {
                self.review(now);
            }
            self.check_known(now);
            now += STEP;
        }
        self.report.engines_lost = self.crash_times.len();
        self.report
    }

    fn arrive(&mut self, now: Duration) {
        let nodes = self.detectors.len();
        let count = f64::from(u32::try_from(nodes).unwrap_or(u32::MAX));
        let step = STEP.as_secs_f64();
        let mut sound = SOUND_RATE * count * step;
        while sound > 0.0 {
            if self.draws.unit() < sound {
                self.send(now, false);
            }
            sound -= 1.0;
        }
        let bad = (BAD_RATE_PER_TEN_NODES * count / 10.0).max(MIN_BAD_RATE) * step;
        if now >= BAD_FROM && self.draws.unit() < bad {
            self.send(now, true);
        }
    }

    fn send(&mut self, now: Duration, is_bad: bool) {
        let node = self.draws.below(self.detectors.len());
        let features = draw_parts(&mut self.draws, is_bad);
        let verdict = self.detectors[node].verdict(&features);
        if !is_bad {
            self.report.sound_requests += 1;
            self.report.sound_barred += usize::from(verdict == PoisonVerdict::Barred);
        }
        if verdict != PoisonVerdict::Barred {
            self.start(now, node, features, 1);
        }
    }

    fn start(&mut self, now: Duration, node: usize, features: Vec<RequestFeature>, attempts: u32) {
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.engines[*engine].0 <= now)
            .collect();
        if up.is_empty() {
            return;
        }
        let bound = self.crash_times.get(KNOWN_CRASHES - 1);
        let is_late = bound.is_some_and(|fifth| now > *fifth + KNOWLEDGE_BOUND);
        self.report.late_requests += usize::from(is_late && features.contains(&CULPRIT));
        let engine = up[self.draws.below(up.len())];
        self.running.push(RunningRequest {
            node,
            engine,
            begun_at: now,
            features,
            attempts,
            is_recorded: false,
        });
    }

    fn crash(&mut self, now: Duration) {
        let crashing = self.running.iter().filter(|request| {
            request.features.contains(&CULPRIT) && request.begun_at + CRASH_DELAY <= now
        });
        let engines: Vec<usize> = crashing.map(|request| request.engine).collect();
        for engine in engines {
            if self.engines[engine].0 <= now {
                self.crash_engine(now, engine);
            }
        }
        self.running
            .retain(|request| request.begun_at + ANSWER_TIME > now);
    }

    fn crash_engine(&mut self, now: Duration, engine: usize) {
        let process = TargetProcess {
            host: format!("e{engine}").parse::<HostId>().expect("a host"),
            boot: BootNumber(self.engines[engine].1),
        };
        self.engines[engine] = (now + RESTART_TIME, self.engines[engine].1 + 1);
        self.crash_times.push(now);
        let mut there = Vec::new();
        for index in (0..self.running.len()).rev() {
            if self.running[index].engine == engine {
                there.push(self.running.swap_remove(index));
            }
        }
        self.report_crash(now, &process, &there);
        for request in there {
            let verdict = self.detectors[request.node].verdict(&request.features);
            if request.attempts < 2 && verdict == PoisonVerdict::Clear {
                self.start(now, request.node, request.features, 2);
            }
        }
    }

    fn report_crash(&mut self, now: Duration, process: &TargetProcess, there: &[RunningRequest]) {
        let at = now + CONFIRM_TIME;
        for node in 0..self.detectors.len() {
            let own = there.iter().filter(|request| request.node == node);
            let features = own.flat_map(|request| {
                let age = now.saturating_sub(request.begun_at);
                let crashed = move |feature: &RequestFeature| CrashedFeature {
                    feature: *feature,
                    response_age: Some(age),
                    is_outlived: age >= SOUND_ANSWER_AGE,
                    is_trial: false,
                };
                request.features.iter().map(crashed)
            });
            let features: Vec<(CrashedFeature, Option<Duration>)> = features
                .map(|crashed| (crashed, self.detectors[node].newest_sound(crashed.feature)))
                .collect();
            if !features.is_empty() {
                let evidence = Evidence::Crash(process.clone(), at, features);
                self.tell(at, node, &evidence);
            }
        }
    }

    /// Sends evidence of a node to all others, and to itself at once.
    fn tell(&mut self, at: Duration, from: usize, evidence: &Evidence) {
        for node in 0..self.detectors.len() {
            let delay = if node == from {
                Duration::ZERO
            } else {
                self.news.delay(node, &mut self.draws)
            };
            self.mail.push((at + delay, node, evidence.clone()));
        }
    }

    fn deliver(&mut self, now: Duration) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.mail = later;
        let mut changed = Vec::new();
        for (_, node, evidence) in due {
            self.apply(node, evidence);
            changed.push(node);
        }
        changed.sort_unstable();
        changed.dedup();
        for node in changed {
            self.detectors[node].evaluate(now);
        }
    }

    fn apply(&mut self, node: usize, evidence: Evidence) {
        let counts_innocence = self.verdicts == VerdictWay::GuiltAndInnocence;
        let detector = &mut self.detectors[node];
        match evidence {
            Evidence::Crash(process, at, features) => {
                for (crashed, sound) in &features {
                    if let Some(sound) = sound.filter(|_| counts_innocence) {
                        detector.record_reported_sound(crashed.feature, sound);
                    }
                }
                let crashed = features.iter().map(|(crashed, _)| CrashedFeature {
                    is_outlived: crashed.is_outlived && counts_innocence,
                    ..*crashed
                });
                detector.record(process, at, &crashed.collect::<Vec<_>>());
            }
            Evidence::Sound(feature, begun_at) => detector.record_reported_sound(feature, begun_at),
        }
    }

    fn record_sound(&mut self, now: Duration) {
        if self.verdicts == VerdictWay::Guilt {
            return;
        }
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
        for node in 0..self.detectors.len() {
            if !self.detectors[node].is_contested() {
                continue;
            }
            self.detectors[node].evaluate(now);
            for (feature, begun_at) in self.detectors[node].unreported_sound() {
                let told = self.told.insert((node, feature), begun_at);
                if told != Some(begun_at) {
                    self.tell(now, node, &Evidence::Sound(feature, begun_at));
                }
            }
        }
    }

    fn check_known(&mut self, now: Duration) {
        let third = self.crash_times.get(2).copied();
        let (None, Some(third)) = (self.report.all_known_after, third) else {
            return;
        };
        let mut detectors = self.detectors.iter();
        let is_barred = |detector: &PoisonDetector| {
            let sets = detector.barred().iter();
            sets.into_iter().any(|set| set.features == [CULPRIT])
        };
        if detectors.all(is_barred) {
            self.report.all_known_after = Some(now.saturating_sub(third));
        }
    }
}
