//! Command-line options of the stand-ins and tools.

use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;

use crate::deployment::Deployment;

/// Options of `standin`.
#[derive(Debug, Options)]
pub struct StandinOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The subcommand to run; without one the program exits with an error.
    #[options(command)]
    pub command: Option<StandinCommand>,
}

/// Subcommands of `standin`.
#[derive(Debug, Options)]
pub enum StandinCommand {
    /// The transactional table, in memory.
    #[options(help = "the platform's transactional table")]
    Table(TableOptions),
    /// The object store, in memory.
    #[options(help = "the platform's object store")]
    Objects(TableOptions),
    /// The host list, served from a file with a delay.
    #[options(help = "the platform's lagging host list")]
    Hostlist(HostlistOptions),
    /// The weight store, whose downloads share one rate limit.
    #[options(help = "the platform's rate-limited weight store")]
    Weights(WeightsOptions),
    /// A model engine that generates fixed words with the timing of continuous batching.
    #[options(help = "a model engine on one host of a replica")]
    Engine(EngineOptions),
    /// A plain service that counts the executions of each call.
    #[options(help = "a plain service with repeatable and non-repeatable calls")]
    Service(ServiceOptions),
    /// A complete example system of separate processes.
    #[options(help = "start a complete example system, call it and stop it")]
    Quickstart(QuickstartOptions),
    /// The open-loop load generator.
    #[options(help = "send an open-loop load to entries and reconcile its payments")]
    Load(LoadOptions),
    /// Latency that the request path adds to an engine, and what an entry costs.
    #[options(help = "measure what the request path adds and costs")]
    MeasurePath(MeasureOptions),
    /// CPU time and memory of a gateway compared with a plain relay.
    #[options(help = "compare the cost of a gateway with a plain relay")]
    MeasureGateway(MeasureOptions),
    /// A reverse proxy to one server, the baseline of the gateway measurements.
    #[options(help = "relay each request to one server, as a baseline")]
    Relay(RelayOptions),
    /// Cost of the control plane per node, as nodes, records and hosts grow.
    #[options(help = "measure the cost of control per node, by nodes, records and hosts")]
    MeasureControl(ControlOptions),
}

/// Options of `standin relay`.
#[derive(Debug, Options)]
pub struct RelayOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Server that every request is forwarded to.
    #[options(help = "address of the server", required)]
    pub to: Option<SocketAddr>,
}

/// Options of `standin measure-control`.
#[derive(Debug, Options)]
pub struct ControlOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Options of `standin measure-path` and `standin measure-gateway`.
#[derive(Debug, Options)]
pub struct MeasureOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Rounds of each measurement; the median round is reported.
    #[options(help = "rounds of each measurement", default = "5")]
    pub rounds: usize,
}

/// Options of `standin load`.
#[derive(Debug, Options)]
pub struct LoadOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Entries to send to; read from `folder` when empty.
    #[options(help = "address of an entry; repeat for several (default: from the folder)")]
    pub entry: Vec<SocketAddr>,
    /// Instance of the plain service whose executions are compared with the responses at the end.
    /// Without it payments are not reconciled.
    #[options(help = "address of the plain service, to reconcile payments")]
    pub service: Option<SocketAddr>,
    /// Directory with the `processes.json` of a running `scripts/quickstart --keep`.
    #[options(
        help = "folder with the files of scripts/quickstart --keep",
        default = "target/quickstart"
    )]
    pub folder: PathBuf,
    /// Example that customers, prompts and calls come from.
    #[options(help = "example: ndiaye or agency", meta = "NAME", default = "ndiaye")]
    pub deployment: Deployment,
    /// Mean of the Poisson arrivals, in requests per second.
    #[options(help = "requests per second on average", default = "20")]
    pub rate: f64,
    /// Time over which requests are sent, in seconds.
    #[options(help = "seconds over which requests are sent", default = "10")]
    pub seconds: u64,
    /// Seed of arrivals, customers and prompts; the same seed sends the same requests.
    #[options(help = "seed of arrivals and choices", default = "1")]
    pub seed: u64,
    /// Share of non-repeatable calls, from 0 to 1.
    #[options(help = "share of non-repeatable calls, from 0 to 1", default = "0.2")]
    pub payments: f64,
    /// Time to the first token above which a chat counts as late, in milliseconds.
    #[options(
        help = "milliseconds after which a first token is late",
        default = "1700"
    )]
    pub late_ms: u64,
    /// Whether to print the report as JSON instead of text.
    #[options(help = "print JSON")]
    pub json: bool,
}

/// Options of `standin quickstart`.
#[derive(Debug, Options)]
pub struct QuickstartOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to keep running until interrupted.
    #[options(help = "keep running until interrupted")]
    pub keep: bool,
    /// Example that is started.
    #[options(
        help = "example to run: ndiaye or agency",
        meta = "NAME",
        default = "ndiaye"
    )]
    pub deployment: Deployment,
    /// Directory that `--keep` writes `processes.json` and `callers.json` to.
    #[options(
        help = "folder for processes.json and callers.json",
        default = "target/quickstart"
    )]
    pub folder: PathBuf,
}

/// Options of `standin table` and `standin objects`.
#[derive(Debug, Options)]
pub struct TableOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address to listen on; a free port of 127.0.0.1 by default.
    #[options(help = "address to listen on (default: a free port of 127.0.0.1)")]
    pub listen: Option<SocketAddr>,
}

/// Options of `standin service`.
#[derive(Debug, Options)]
pub struct ServiceOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address to listen on; a free port of 127.0.0.1 by default.
    #[options(help = "address to listen on (default: a free port of 127.0.0.1)")]
    pub listen: Option<SocketAddr>,
    /// Log of executions that all instances of one service share; in memory by default.
    #[options(help = "file of executions that all instances share (default: in memory)")]
    pub book: Option<PathBuf>,
}

/// Options of `standin hostlist`.
#[derive(Debug, Options)]
pub struct HostlistOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address to listen on; a free port of 127.0.0.1 by default.
    #[options(help = "address to listen on (default: a free port of 127.0.0.1)")]
    pub listen: Option<SocketAddr>,
    /// JSON file with the hosts; changes to it are picked up.
    #[options(help = "JSON file with the list of hosts", required)]
    pub hosts: PathBuf,
    /// Delay in milliseconds until a change of the file is served.
    #[options(help = "age of the served list in milliseconds", default = "0")]
    pub lag_ms: u64,
}

/// Options of `standin weights`.
#[derive(Debug, Options)]
pub struct WeightsOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address to listen on; a free port of 127.0.0.1 by default.
    #[options(help = "address to listen on (default: a free port of 127.0.0.1)")]
    pub listen: Option<SocketAddr>,
    /// Rate limit over all downloads, in bytes per second.
    #[options(help = "bytes per second over all downloads", default = "100000000")]
    pub rate: u32,
    /// Size of one host's weights in bytes.
    #[options(help = "bytes of one host's weights", default = "10000000")]
    pub bytes: usize,
}

/// Options of `standin engine`.
#[derive(Debug, Options)]
pub struct EngineOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address to listen on; a free port of 127.0.0.1 by default.
    #[options(help = "address to listen on (default: a free port of 127.0.0.1)")]
    pub listen: Option<SocketAddr>,
    /// Name of the host that the engine runs on.
    #[options(help = "name of the host", required)]
    pub host: String,
    /// Whether orders are refused whose lease epoch is below the highest one seen.
    #[options(help = "refuse orders with an old fencing number")]
    pub fencing: bool,
    /// Fixed duration of one batch step, in microseconds.
    #[options(help = "microseconds of one step of the batch", default = "10000")]
    pub step_us: u64,
    /// Time that each decoding stream adds to a step, in microseconds.
    #[options(help = "microseconds that each stream adds to a step", default = "50")]
    pub stream_us: u64,
    /// Time that each prompt token adds to a step, in microseconds.
    #[options(help = "microseconds that each prompt token adds", default = "20")]
    pub prompt_token_us: u64,
    /// Maximum number of streams in the batch.
    #[options(help = "streams in the batch at once", default = "16")]
    pub slots: usize,
    /// Maximum number of streams that wait for a batch slot; above it a stream is refused with 503.
    #[options(
        help = "streams that may wait for a place in the batch",
        default = "16"
    )]
    pub queue: usize,
    /// Time in milliseconds that a stream without a reader is kept for resumption.
    #[options(
        help = "milliseconds that a stream whose connection broke is kept",
        default = "10000"
    )]
    pub linger_ms: u64,
    /// Time in milliseconds from the loss of a peer until the streams fail.
    #[options(
        help = "milliseconds until streams fail after a peer is gone",
        default = "10000"
    )]
    pub peer_loss_ms: u64,
    /// Capacity of the prefix cache in blocks.
    #[options(help = "blocks of the prefix cache", default = "4096")]
    pub cache_blocks: usize,
    /// Delay in milliseconds until cache events are published.
    #[options(
        help = "milliseconds until cache events are published",
        default = "200"
    )]
    pub cache_lag_ms: u64,
    /// Age of the reported load in milliseconds.
    #[options(help = "age of the reported load in milliseconds", default = "200")]
    pub report_lag_ms: u64,
    /// Time in milliseconds to load weights when there is no weight store.
    #[options(help = "milliseconds of loading weights", default = "0")]
    pub load_ms: u64,
    /// Weight store to load from; without one, loading takes `load_ms`.
    #[options(help = "address of the weight store to load from")]
    pub weights: Option<SocketAddr>,
}
