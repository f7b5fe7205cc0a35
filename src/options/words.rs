//! The command line as `gumdrop` reads it. It knows no shared groups of options, so those that all
//! operators' commands take stand in each.

use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;

/// The command line as it is written.
#[derive(Debug, Options)]
pub(super) struct CommandLine {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "print the version")]
    pub version: bool,
    #[options(command)]
    pub command: Option<CommandWord>,
}

#[derive(Debug, Options)]
pub(super) enum CommandWord {
    #[options(help = "serve callers on this host")]
    Serve(ServeOptions),
    #[options(help = "serve callers on a platform with a registry of its own")]
    Gateway(ServeOptions),
    #[options(help = "check settings and records without a server")]
    Check(CheckOptions),
    #[options(help = "write records from files")]
    Apply(ApplyOptions),
    #[options(help = "print records")]
    Get(NameOptions),
    #[options(help = "delete a record")]
    Delete(NameOptions),
    #[options(help = "print who changed what")]
    History(NameOptions),
    #[options(help = "compare records in files with those in force")]
    Diff(ApplyOptions),
    #[options(help = "print replicas, hosts, leases and members")]
    Status(NodeOptions),
    #[options(help = "print the events of all nodes in one order")]
    Timeline(TimelineOptions),
    #[options(help = "write a drain record: hosts or failure domains get no new work")]
    Drain(DrainOptions),
    #[options(help = "print the hash of a bearer key read from standard input")]
    HashKey(HelpOptions),
}

#[derive(Debug, Options)]
pub(super) struct HelpOptions {
    #[options(help = "print this help")]
    pub help: bool,
}

#[derive(Debug, Options)]
pub(super) struct ServeOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "JSON file with the settings", required, meta = "FILE")]
    pub settings: PathBuf,
}

#[derive(Debug, Options)]
pub(super) struct CheckOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "JSON file with settings", meta = "FILE")]
    pub settings: Option<PathBuf>,
    #[options(free, help = "JSON files with records")]
    pub files: Vec<PathBuf>,
}

#[derive(Debug, Options)]
pub(super) struct ApplyOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "admin address of a node; may be repeated", meta = "IP:PORT")]
    pub node: Vec<SocketAddr>,
    #[options(help = "file with the operators' key", meta = "FILE")]
    pub key_file: Option<PathBuf>,
    #[options(help = "text or json", meta = "FORMAT")]
    pub format: Option<String>,
    #[options(help = "wait until it is in force on every node")]
    pub wait: bool,
    #[options(
        help = "accept only if the record was last written by this revision",
        meta = "N"
    )]
    pub expect: Option<u64>,
    #[options(help = "name that the history keeps", meta = "NAME")]
    pub operator: Option<String>,
    #[options(free, help = "JSON files, each with a record or a list of records")]
    pub files: Vec<PathBuf>,
}

#[derive(Debug, Options)]
pub(super) struct NameOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "admin address of a node; may be repeated", meta = "IP:PORT")]
    pub node: Vec<SocketAddr>,
    #[options(help = "file with the operators' key", meta = "FILE")]
    pub key_file: Option<PathBuf>,
    #[options(help = "text or json", meta = "FORMAT")]
    pub format: Option<String>,
    #[options(
        help = "accept only if the record was last written by this revision",
        meta = "N"
    )]
    pub expect: Option<u64>,
    #[options(help = "name that the history keeps", meta = "NAME")]
    pub operator: Option<String>,
    #[options(
        free,
        help = "KIND or KIND NAME; kinds: customer, model, service, drain"
    )]
    pub names: Vec<String>,
}

#[derive(Debug, Options)]
pub(super) struct NodeOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "admin address of a node; may be repeated", meta = "IP:PORT")]
    pub node: Vec<SocketAddr>,
    #[options(help = "file with the operators' key", meta = "FILE")]
    pub key_file: Option<PathBuf>,
    #[options(help = "text or json", meta = "FORMAT")]
    pub format: Option<String>,
}

#[derive(Debug, Options)]
pub(super) struct TimelineOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "admin address of a node; may be repeated", meta = "IP:PORT")]
    pub node: Vec<SocketAddr>,
    #[options(help = "file with the operators' key", meta = "FILE")]
    pub key_file: Option<PathBuf>,
    #[options(help = "text, json or html", meta = "FORMAT")]
    pub format: Option<String>,
    #[options(help = "only events of this request", meta = "ID")]
    pub request: Option<String>,
    #[options(help = "only events of this replica", meta = "ID")]
    pub replica: Option<String>,
    #[options(help = "only events of this host", meta = "ID", no_short)]
    pub host: Option<String>,
    #[options(help = "only events of this customer", meta = "NAME")]
    pub customer: Option<String>,
    #[options(help = "only events of this lease", meta = "NAME")]
    pub lease: Option<String>,
}

#[derive(Debug, Options)]
pub(super) struct DrainOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "admin address of a node; may be repeated", meta = "IP:PORT")]
    pub node: Vec<SocketAddr>,
    #[options(help = "file with the operators' key", meta = "FILE")]
    pub key_file: Option<PathBuf>,
    #[options(help = "text or json", meta = "FORMAT")]
    pub format: Option<String>,
    #[options(help = "hosts, separated by commas", meta = "HOSTS", no_short)]
    pub hosts: Option<String>,
    #[options(help = "failure domains, separated by commas", meta = "DOMAINS")]
    pub domains: Option<String>,
    #[options(help = "wait until it is in force on every node")]
    pub wait: bool,
    #[options(help = "name that the history keeps", meta = "NAME")]
    pub operator: Option<String>,
    #[options(free, help = "name of the drain record")]
    pub names: Vec<String>,
}
