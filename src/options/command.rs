//! Validated commands.

use std::net::SocketAddr;
use std::path::PathBuf;

use domain::ConfigRevision;
use domain::record::RecordKind;
use events::TimelineFilter;
use settings::SecretText;

/// Format of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Tables and plain text.
    Text,
    /// JSON, for use in scripts.
    Json,
    /// An HTML page; only for the timeline.
    Html,
}

/// Access to the admin API, and how its output is printed.
#[derive(Debug, Clone)]
pub struct AdminAccess {
    /// Admin addresses of nodes, tried in this order.
    pub nodes: Vec<SocketAddr>,
    /// The operators' key, sent as a bearer token.
    pub key: SecretText,
    /// Format of the output.
    pub format: OutputFormat,
    /// Whether the output is a terminal, so that it may be styled.
    pub terminal: bool,
}

/// Arguments of `apply` and `diff`.
#[derive(Debug, Clone)]
pub struct ApplyCommand {
    /// Access to the admin API.
    pub access: AdminAccess,
    /// Paths of files with records.
    pub files: Vec<PathBuf>,
    /// Whether to wait until the change is in force on every node.
    pub wait: bool,
    /// Revision that must have last written the record, 0 if it must not exist; none accepts any.
    pub expect: Option<ConfigRevision>,
    /// Name of the operator in the history.
    pub operator: String,
}

/// Arguments of `get`, `delete` and `history`.
#[derive(Debug, Clone)]
pub struct RecordCommand {
    /// Access to the admin API.
    pub access: AdminAccess,
    /// Kind of the records; none selects all kinds.
    pub kind: Option<RecordKind>,
    /// Name of one record; none selects all names.
    pub name: Option<String>,
    /// Revision that must have last written the record, 0 if it must not exist; none accepts any.
    pub expect: Option<ConfigRevision>,
    /// Name of the operator in the history.
    pub operator: String,
}

/// Arguments of `drain`.
#[derive(Debug, Clone)]
pub struct DrainCommand {
    /// Access to the admin API.
    pub access: AdminAccess,
    /// Name of the drain record.
    pub name: String,
    /// Hosts to drain.
    pub hosts: Vec<String>,
    /// Failure domains to drain.
    pub domains: Vec<String>,
    /// Whether to wait until the record is in force on every node.
    pub wait: bool,
    /// Name of the operator in the history.
    pub operator: String,
}

/// A validated command.
#[derive(Debug)]
pub enum Command {
    /// Run an entry node until a signal stops it.
    Serve {
        /// Path of the settings file.
        settings: PathBuf,
    },
    /// Run a gateway until a signal stops it.
    Gateway {
        /// Path of the settings file.
        settings: PathBuf,
    },
    /// Validate files.
    Check {
        /// Path of a settings file; none if only records are checked.
        settings: Option<PathBuf>,
        /// Paths of files with records.
        files: Vec<PathBuf>,
    },
    /// Write records from files.
    Apply(ApplyCommand),
    /// Print one record, or list records.
    Get(RecordCommand),
    /// Delete a record.
    Delete(RecordCommand),
    /// Print changes of records, newest first.
    History(RecordCommand),
    /// Compare records in files with the stored ones.
    Diff(ApplyCommand),
    /// Print the status of nodes, replicas and hosts.
    Status(AdminAccess),
    /// Print the events of all nodes, merged by time.
    Timeline(AdminAccess, TimelineFilter),
    /// Write a drain record.
    Drain(DrainCommand),
    /// Print the hash of a bearer key read from standard input.
    HashKey,
    /// Print a text, such as the help or the version.
    Print(String),
}
