//! Command line arguments, parsed with `gumdrop`. It has no shared groups of options, so those that
//! all operators' commands have are repeated in each.

use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;

/// Arguments as parsed, before validation.
#[derive(Debug, Options)]
pub(super) struct CommandLine {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "print the version")]
    pub version: bool,
    #[options(command)]
    pub command: Option<Subcommand>,
}

#[derive(Debug, Options)]
pub(super) enum Subcommand {
    #[options(help = "run an entry node")]
    Serve(ServeOptions),
    #[options(help = "run a gateway, on a platform that has its own registry")]
    Gateway(ServeOptions),
    #[options(help = "validate settings and records without a server")]
    Check(CheckOptions),
    #[options(help = "write records from files")]
    Apply(ApplyOptions),
    #[options(help = "print a record, or list records")]
    Get(RecordOptions),
    #[options(help = "delete a record")]
    Delete(RecordOptions),
    #[options(help = "print changes of records, newest first")]
    History(RecordOptions),
    #[options(help = "compare records in files with the stored ones")]
    Diff(ApplyOptions),
    #[options(help = "print the status of nodes, replicas and hosts")]
    Status(StatusOptions),
    #[options(help = "print the events of all nodes, merged by time")]
    Timeline(TimelineOptions),
    #[options(help = "write a drain record, so that hosts or failure domains get no new requests")]
    Drain(DrainOptions),
    #[options(help = "print the hash of a bearer key read from standard input")]
    HashKey(HashKeyOptions),
}

#[derive(Debug, Options)]
pub(super) struct HashKeyOptions {
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
    #[options(help = "wait until the change is in force on every node")]
    pub wait: bool,
    #[options(
        help = "accept only if this revision last wrote the record; 0: if it does not exist",
        meta = "N"
    )]
    pub expect: Option<u64>,
    #[options(
        help = "operator's name for the history; default: the current user",
        meta = "NAME"
    )]
    pub operator: Option<String>,
    #[options(free, help = "JSON files, each with a record or a list of records")]
    pub files: Vec<PathBuf>,
}

#[derive(Debug, Options)]
pub(super) struct RecordOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "admin address of a node; may be repeated", meta = "IP:PORT")]
    pub node: Vec<SocketAddr>,
    #[options(help = "file with the operators' key", meta = "FILE")]
    pub key_file: Option<PathBuf>,
    #[options(help = "text or json", meta = "FORMAT")]
    pub format: Option<String>,
    #[options(
        help = "accept only if this revision last wrote the record; 0: if it does not exist",
        meta = "N"
    )]
    pub expect: Option<u64>,
    #[options(
        help = "operator's name for the history; default: the current user",
        meta = "NAME"
    )]
    pub operator: Option<String>,
    #[options(
        free,
        help = "KIND or KIND NAME; kinds: customer, model, service, drain"
    )]
    pub names: Vec<String>,
}

#[derive(Debug, Options)]
pub(super) struct StatusOptions {
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
    #[options(help = "wait until the change is in force on every node")]
    pub wait: bool,
    #[options(
        help = "operator's name for the history; default: the current user",
        meta = "NAME"
    )]
    pub operator: Option<String>,
    #[options(free, help = "name of the drain record")]
    pub names: Vec<String>,
}
