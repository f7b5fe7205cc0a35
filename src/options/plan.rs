//! The checked plans of all commands.

use std::net::SocketAddr;
use std::path::PathBuf;

use domain::ConfigRevision;
use domain::record::RecordKind;
use events::TimelineFilter;
use settings::SecretText;

/// How output is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Tables for people.
    Text,
    /// JSON for programs.
    Json,
    /// One page, for the time line only.
    Html,
}

/// Whom an operator's command talks to.
#[derive(Debug, Clone)]
pub struct OperatorAccess {
    /// Admin addresses, tried in this order.
    pub nodes: Vec<SocketAddr>,
    /// The operators' key.
    pub key: SecretText,
    /// How output is written.
    pub format: OutputFormat,
    /// Whether output goes to a terminal.
    pub terminal: bool,
}

/// How records are written.
#[derive(Debug, Clone)]
pub struct ApplyPlan {
    /// Whom to talk to.
    pub access: OperatorAccess,
    /// Files with records.
    pub files: Vec<PathBuf>,
    /// Whether to wait until they are in force everywhere.
    pub wait: bool,
    /// Revision that must have written the record.
    pub expect: Option<ConfigRevision>,
    /// Name in the history.
    pub operator: String,
}

/// Which records are meant.
#[derive(Debug, Clone)]
pub struct NamePlan {
    /// Whom to talk to.
    pub access: OperatorAccess,
    /// Kind of record.
    pub kind: Option<RecordKind>,
    /// Name of one record.
    pub name: Option<String>,
    /// Revision that must have written the record.
    pub expect: Option<ConfigRevision>,
    /// Name in the history.
    pub operator: String,
}

/// A drain record to write.
#[derive(Debug, Clone)]
pub struct DrainPlan {
    /// Whom to talk to.
    pub access: OperatorAccess,
    /// The record's name.
    pub name: String,
    /// Hosts.
    pub hosts: Vec<String>,
    /// Failure domains.
    pub domains: Vec<String>,
    /// Whether to wait until it is in force everywhere.
    pub wait: bool,
    /// Name in the history.
    pub operator: String,
}

/// What the program shall do.
#[derive(Debug)]
pub enum CommandPlan {
    /// Serve until the process is told to stop.
    Serve {
        /// File with the settings.
        settings: PathBuf,
    },
    /// Serve as a gateway until the process is told to stop.
    Gateway {
        /// File with the settings.
        settings: PathBuf,
    },
    /// Check files.
    Check {
        /// File with settings.
        settings: Option<PathBuf>,
        /// Files with records.
        files: Vec<PathBuf>,
    },
    /// Write records.
    Apply(ApplyPlan),
    /// Print records.
    Get(NamePlan),
    /// Delete a record.
    Delete(NamePlan),
    /// Print changes.
    History(NamePlan),
    /// Compare files with what is in force.
    Diff(ApplyPlan),
    /// Print the status.
    Status(OperatorAccess),
    /// Print events.
    Timeline(OperatorAccess, TimelineFilter),
    /// Write a drain record.
    Drain(DrainPlan),
    /// Hash a bearer key.
    HashKey,
    /// Print a text.
    Print(String),
}
