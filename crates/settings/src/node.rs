//! The typed settings of a node.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use control::ControlSettings;
use control::assembly::AssemblySettings;
use control::config::ConfigSettings;
use control::housekeeping::HousekeepingSettings;
use control::lease::LeaseSettings;
use control::ledger::LedgerSettings;
use control::members::MemberSettings;
use control::prober::ProbeSettings;
use domain::{DomainId, NodeId, RegionId};
use entry::EntrySettings;
use events::EventLevel;
use peers::PeerSettings;
use platform::BudgetSettings;
use serde::Deserialize;
use web::TlsFiles;

use crate::secret::{SecretError, SecretText};

/// Settings of a node.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The node's name.
    pub node: NodeId,
    /// Region of the node.
    pub region: RegionId,
    /// Failure domain of the node.
    pub domain: DomainId,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators and monitoring connect.
    #[serde(default)]
    pub admin: Option<SocketAddr>,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Where secrets come from.
    #[serde(default)]
    pub secrets: SecretSettings,
    /// TLS towards callers.
    pub tls: TlsSettings,
    /// The request path.
    pub entry: EntrySettings,
    /// Following the configuration.
    pub config: ConfigSettings,
    /// Knowing the other entry hosts.
    pub members: MemberSettings,
    /// Links to other entry hosts.
    pub peers: PeerSettings,
    /// Following hosts and replicas.
    pub control: FollowSettings,
    /// Leases.
    pub leases: LeaseSettings,
    /// Assembly of replicas.
    pub assembly: AssemblySettings,
    /// Evidence that replicas are whole.
    pub watch: ProbeSettings,
    /// Claims of non-idempotent calls.
    pub ledger: LedgerSettings,
    /// Cleaning up.
    pub housekeeping: HousekeepingSettings,
    /// The node's part of the table's limits.
    pub budget: BudgetSettings,
    /// Logs and the time line.
    pub log: LogSettings,
}

/// Following hosts and replicas. Times are milliseconds.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FollowSettings {
    /// Time between two looks at the host list.
    pub hosts_ms: u64,
    /// Time between two looks at the replicas in the table.
    pub plans_ms: u64,
}

/// Where the platform's services are.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The host list.
    pub hostlist: SocketAddr,
    /// Longest wait for an answer, in milliseconds.
    pub timeout_ms: u64,
}

impl PlatformSettings {
    /// Longest wait for an answer.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// TLS towards callers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// Certificate with its chain, as PEM.
    #[serde(default)]
    pub certificate_file: Option<PathBuf>,
    /// Its private key, as PEM.
    #[serde(default)]
    pub key_file: Option<PathBuf>,
    /// Time between two looks at the files, in milliseconds.
    pub reload_ms: u64,
}

impl TlsSettings {
    /// The files, when both are named.
    #[must_use]
    pub fn files(&self) -> Option<TlsFiles> {
        let certificate = self.certificate_file.clone()?;
        let key = self.key_file.clone()?;
        Some(TlsFiles { certificate, key })
    }

    /// Time between two looks at the files.
    #[must_use]
    pub fn reload(&self) -> Duration {
        Duration::from_millis(self.reload_ms)
    }
}

/// Where secrets come from.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SecretSettings {
    /// File with the operators' key.
    pub operator_key_file: Option<PathBuf>,
    /// Variable with the operators' key.
    pub operator_key_env: Option<String>,
    /// File with the key that seals resume tokens.
    pub resume_key_file: Option<PathBuf>,
    /// Variable with the key that seals resume tokens.
    pub resume_key_env: Option<String>,
}

impl SecretSettings {
    /// The operators' key; none when no place is named.
    ///
    /// # Errors
    ///
    /// [`SecretError`].
    pub fn operator_key(&self) -> Result<Option<SecretText>, SecretError> {
        load_secret(
            self.operator_key_file.as_deref(),
            self.operator_key_env.as_deref(),
        )
    }

    /// The key that seals resume tokens; none when no place is named.
    ///
    /// # Errors
    ///
    /// [`SecretError`].
    pub fn resume_key(&self) -> Result<Option<SecretText>, SecretError> {
        load_secret(
            self.resume_key_file.as_deref(),
            self.resume_key_env.as_deref(),
        )
    }
}

/// The key that all nodes share, for their links; none when no place is named.
///
/// # Errors
///
/// [`SecretError`].
pub fn peer_key(peers: &PeerSettings) -> Result<Option<SecretText>, SecretError> {
    load_secret(peers.key_file.as_deref(), peers.key_env.as_deref())
}

fn load_secret(
    file: Option<&Path>,
    variable: Option<&str>,
) -> Result<Option<SecretText>, SecretError> {
    match (file, variable) {
        (Some(path), _) => SecretText::from_file(path).map(Some),
        (None, Some(name)) => SecretText::from_variable(name).map(Some),
        (None, None) => Ok(None),
    }
}

/// Logs and the time line.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Lowest level that is logged.
    pub level: EventLevel,
    /// Events kept in memory.
    pub events: usize,
}

impl NodeSettings {
    /// The settings of control as one.
    #[must_use]
    pub fn control_settings(&self) -> ControlSettings {
        ControlSettings {
            leases: self.leases,
            assembly: self.assembly,
            watch: self.watch,
            ledger: self.ledger,
            housekeeping: self.housekeeping,
            hosts_ms: self.control.hosts_ms,
            plans_ms: self.control.plans_ms,
        }
    }
}
