//! Command lines of the stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;

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
    /// A model engine on one host.
    #[options(help = "a model engine on one host of a replica")]
    Engine(EngineOptions),
    /// A plain service.
    #[options(help = "a plain service with repeatable and non-repeatable calls")]
    Service(ServiceOptions),
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
    pub hosts: String,
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
    /// Streams in the batch at once.
    #[options(help = "streams in the batch at once", default = "16")]
    pub slots: u32,
}
