//! Replicas, nodes, clients and mechanisms of a play.

use std::time::Duration;

use serving::ReplicaTiming;

/// Requests that a replica runs at once, and for how long on average.
pub const SLOTS: u32 = 20;
pub const MEAN_RUN: Duration = Duration::from_secs(1);

/// Target latency of the route.
pub const TARGET: Duration = Duration::from_millis(250);

/// Requests per second that a replica can run.
pub fn target_rate() -> f64 {
    f64::from(SLOTS) / MEAN_RUN.as_secs_f64()
}

/// Timing of a full replica.
pub fn timing() -> ReplicaTiming {
    ReplicaTiming {
        completion_interval: MEAN_RUN / SLOTS,
        decode_pass: Duration::from_millis(50),
        prefill: Duration::from_millis(22),
        prefill_rate: 50_700.0,
        token_time: Duration::from_micros(430),
    }
}

#[derive(Debug, Clone, Copy)]
pub struct FleetSpec {
    pub nodes: usize,
    pub targets: usize,
    pub seed: u64,
}

impl FleetSpec {
    pub const SIX: Self = Self::new(6, 12);
    pub const SEVENTY: Self = Self::new(70, 30);
    pub const THREE_HUNDRED: Self = Self::new(300, 120);

    const fn new(nodes: usize, targets: usize) -> Self {
        Self {
            nodes,
            targets,
            seed: 42,
        }
    }

    /// Requests per second that all replicas can run.
    pub fn capacity(&self) -> f64 {
        target_rate() * f64::from(u32::try_from(self.targets).expect("a small number"))
    }
}

/// How clients that were rejected are told to return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnWay {
    /// All after the same time.
    Constant,
    /// At a time drawn from the range that clients follow.
    Drawn,
    /// Each at the time of a reserved slot.
    Reserved,
}

/// How a node chooses among the replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceWay {
    /// By the product's rule for many senders.
    Sampled,
    /// In proportion to the room of each, so that all nodes together send no more than that.
    ByRoom,
}

/// Mechanisms in use.
#[derive(Debug, Clone, Copy)]
pub struct Mechanisms {
    pub lateness: bool,
    pub returns: ReturnWay,
    pub choice: ChoiceWay,
}

impl Mechanisms {
    /// As the product is without overload control.
    pub const NONE: Self = Self {
        lateness: false,
        returns: ReturnWay::Constant,
        choice: ChoiceWay::Sampled,
    };

    /// As the product is.
    pub const ALL: Self = Self {
        lateness: true,
        returns: ReturnWay::Reserved,
        choice: ChoiceWay::ByRoom,
    };
}

/// One request of a client.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// First attempt that the client made; it may have found no node.
    pub born: Duration,
    /// First attempt that reaches a node.
    pub at: Duration,
    /// Total time of the client.
    pub total: Duration,
    pub customer: usize,
    /// Timeout of the route when it arrives.
    pub timeout: Duration,
}

/// What became of a request.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    pub arrival: Arrival,
    /// When the first event came; `None` if the request was rejected twice.
    pub first_event: Option<Duration>,
    /// When the client returned after a rejection.
    pub returned_at: Option<Duration>,
}

impl Outcome {
    /// Whether the first event came within the target latency of the client's first attempt.
    pub fn is_in_time(&self) -> bool {
        self.first_event
            .is_some_and(|at| at <= self.arrival.born + TARGET)
    }
}
