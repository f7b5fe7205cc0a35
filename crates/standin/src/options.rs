//! Command lines of the stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;

use crate::deployment::Deployment;

/// Command line of `standin`.
#[derive(Debug, Options)]
pub struct StandinOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The stand-in to run.
    #[options(command)]
    pub command: Option<StandinCommand>,
}

/// The stand-ins.
#[derive(Debug, Options)]
pub enum StandinCommand {
    /// The table service.
    #[options(help = "the platform's transactional table")]
    Table(TableOptions),
    /// The object store.
    #[options(help = "the platform's object store")]
    Objects(TableOptions),
    /// The host list.
    #[options(help = "the platform's lagging host list")]
    Hostlist(HostlistOptions),
    /// The weight store.
    #[options(help = "the platform's rate-limited weight store")]
    Weights(WeightsOptions),
    /// A model engine on one host.
    #[options(help = "a model engine on one host of a replica")]
    Engine(EngineOptions),
    /// A plain service.
    #[options(help = "a plain service with repeatable and non-repeatable calls")]
    Service(ServiceOptions),
    /// A whole system.
    #[options(help = "start a whole example system, call it and stop it")]
    Quickstart(QuickstartOptions),
    /// The load tool.
    #[options(help = "send an open-loop load to entries and reckon its payments")]
    Load(LoadOptions),
    /// The measurements of the request path.
    #[options(help = "measure what the request path adds and costs")]
    MeasurePath(MeasureOptions),
    /// The measurements of a gateway.
    #[options(help = "measure what a gateway costs beside a plain relay")]
    MeasureGateway(MeasureOptions),
    /// The plain relay.
    #[options(help = "relay each request to one server, as a baseline")]
    Relay(RelayOptions),
    /// The measurements of control.
    #[options(help = "measure what control costs a node, by nodes, records and hosts")]
    MeasureControl(ControlOptions),
}

/// Command line of the plain relay.
#[derive(Debug, Options)]
pub struct RelayOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The server.
    #[options(help = "address of the server", required)]
    pub to: Option<SocketAddr>,
}

/// Command line of the measurements of control.
#[derive(Debug, Options)]
pub struct ControlOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Command line of the measurements.
#[derive(Debug, Options)]
pub struct MeasureOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Rounds.
    #[options(help = "rounds of each measurement", default = "5")]
    pub rounds: usize,
}

/// Command line of the load tool.
#[derive(Debug, Options)]
pub struct LoadOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The entries.
    #[options(help = "address of an entry; repeat for several (default: from the folder)")]
    pub entry: Vec<SocketAddr>,
    /// The service.
    #[options(help = "address of the plain service, to reckon payments")]
    pub service: Option<SocketAddr>,
    /// Folder of a kept quickstart.
    #[options(
        help = "folder with the sheets of scripts/quickstart --keep",
        default = "target/quickstart"
    )]
    pub folder: PathBuf,
    /// The example.
    #[options(help = "example: ndiaye or agency", meta = "NAME", default = "ndiaye")]
    pub deployment: Deployment,
    /// Requests a second.
    #[options(help = "requests a second on average", default = "20")]
    pub rate: f64,
    /// Seconds.
    #[options(help = "seconds over which requests are sent", default = "10")]
    pub seconds: u64,
    /// Seed.
    #[options(help = "seed of arrivals and choices", default = "1")]
    pub seed: u64,
    /// Share of payments.
    #[options(help = "share of non-repeatable calls, from 0 to 1", default = "0.2")]
    pub payments: f64,
    /// Limit of lateness.
    #[options(
        help = "milliseconds after which a first token is late",
        default = "1700"
    )]
    pub late_ms: u64,
    /// Whether to print JSON.
    #[options(help = "print JSON")]
    pub json: bool,
}

/// Command line of the quickstart.
#[derive(Debug, Options)]
pub struct QuickstartOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to stay up.
    #[options(help = "stay up until interrupted")]
    pub keep: bool,
    /// The example.
    #[options(
        help = "example to run: ndiaye or agency",
        meta = "NAME",
        default = "ndiaye"
    )]
    pub deployment: Deployment,
    /// Folder of the sheets that --keep writes.
    #[options(
        help = "folder for processes.json and callers.json",
        default = "target/quickstart"
    )]
    pub folder: PathBuf,
}

/// Command line of a stand-in that needs only an address.
#[derive(Debug, Options)]
pub struct TableOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Where to listen.
    #[options(help = "address to listen on (default: a free port of 127.0.0.1)")]
    pub listen: Option<SocketAddr>,
}

/// Command line of a plain service.
#[derive(Debug, Options)]
pub struct ServiceOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Where to listen.
    #[options(help = "address to listen on (default: a free port of 127.0.0.1)")]
    pub listen: Option<SocketAddr>,
    /// File that the instances of one service share.
    #[options(help = "file of executions that all instances share (default: in memory)")]
    pub book: Option<PathBuf>,
}

/// Command line of the host list.
#[derive(Debug, Options)]
pub struct HostlistOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Where to listen.
    #[options(help = "address to listen on (default: a free port of 127.0.0.1)")]
    pub listen: Option<SocketAddr>,
    /// File with the hosts.
    #[options(help = "JSON file with the list of hosts", required)]
    pub hosts: PathBuf,
    /// Age of what is served.
    #[options(help = "milliseconds that the served list is old", default = "0")]
    pub lag_ms: u64,
}

/// Command line of the weight store.
#[derive(Debug, Options)]
pub struct WeightsOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Where to listen.
    #[options(help = "address to listen on (default: a free port of 127.0.0.1)")]
    pub listen: Option<SocketAddr>,
    /// Rate over all downloads.
    #[options(help = "bytes a second over all downloads", default = "100000000")]
    pub rate: u32,
    /// Size of one host's weights.
    #[options(help = "bytes of one host's weights", default = "10000000")]
    pub bytes: usize,
}

/// Command line of an engine.
#[derive(Debug, Options)]
pub struct EngineOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Where to listen.
    #[options(help = "address to listen on (default: a free port of 127.0.0.1)")]
    pub listen: Option<SocketAddr>,
    /// The host.
    #[options(help = "name of the host", required)]
    pub host: String,
    /// Whether it refuses orders with an old fencing number.
    #[options(help = "refuse orders with an old fencing number")]
    pub fencing: bool,
    /// Time of one step of the batch.
    #[options(help = "microseconds of one step of the batch", default = "10000")]
    pub step_us: u64,
    /// Added time of a step for each stream in the batch.
    #[options(help = "microseconds that each stream adds to a step", default = "50")]
    pub stream_us: u64,
    /// Added time of a step for each prompt token.
    #[options(help = "microseconds that each prompt token adds", default = "20")]
    pub prompt_token_us: u64,
    /// Streams in the batch at once.
    #[options(help = "streams in the batch at once", default = "16")]
    pub slots: usize,
    /// Streams that may wait for a place in the batch.
    #[options(
        help = "streams that may wait for a place in the batch",
        default = "16"
    )]
    pub queue: usize,
    /// Time that a stream without a reader is kept.
    #[options(
        help = "milliseconds that a stream whose connection broke is kept",
        default = "10000"
    )]
    pub linger_ms: u64,
    /// Time until the engine notices that a peer is gone.
    #[options(
        help = "milliseconds until streams fail after a peer is gone",
        default = "10000"
    )]
    pub peer_loss_ms: u64,
    /// Blocks of the prefix cache.
    #[options(help = "blocks of the prefix cache", default = "4096")]
    pub cache_blocks: usize,
    /// Lag of cache events.
    #[options(
        help = "milliseconds until cache events are published",
        default = "200"
    )]
    pub cache_lag_ms: u64,
    /// Lag of load reports.
    #[options(help = "milliseconds that reported load is old", default = "200")]
    pub report_lag_ms: u64,
    /// Time of loading weights without a weight store.
    #[options(help = "milliseconds of loading weights", default = "0")]
    pub load_ms: u64,
    /// The weight store.
    #[options(help = "address of the weight store to load from")]
    pub weights: Option<SocketAddr>,
}
