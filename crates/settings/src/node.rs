//! Typed settings of a node.

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

/// Settings of a node, as deserialized from the result of [`crate::read_settings`].
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the node. A running process appends its start time.
    pub node: NodeId,
    /// Region in which the node runs.
    pub region: RegionId,
    /// Failure domain in which the node runs.
    pub domain: DomainId,
    /// Address on which clients connect; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address of the admin listener; if none, the node has no admin listener.
    #[serde(default)]
    pub admin: Option<SocketAddr>,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Files and environment variables with the node's secrets.
    #[serde(default)]
    pub secrets: SecretSettings,
    /// TLS for connections from clients.
    pub tls: TlsSettings,
    /// Handling of clients' requests.
    pub entry: EntrySettings,
    /// Polling and confirming the configuration.
    pub config: ConfigSettings,
    /// Membership of the entry nodes.
    pub members: MemberSettings,
    /// Links to other entry nodes.
    pub peers: PeerSettings,
    /// Polling the host list and the replica plans.
    pub control: DiscoverySettings,
    /// Leases on fabric domains and on housekeeping.
    pub leases: LeaseSettings,
    /// Assembly of replicas by the holder of a fabric domain's lease.
    pub assembly: AssemblySettings,
    /// Health probes of replicas.
    pub watch: ProbeSettings,
    /// Claims of non-idempotent calls.
    pub ledger: LedgerSettings,
    /// Cleanup by the holder of the housekeeping lease.
    pub housekeeping: HousekeepingSettings,
    /// Rate limits and the circuit breaker for the table.
    pub budget: BudgetSettings,
    /// Logs and the timeline of events.
    pub log: LogSettings,
}

/// Intervals at which the host list and the replica plans are polled.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoverySettings {
    /// Interval between two reads of the host list, in milliseconds.
    pub hosts_ms: u64,
    /// Interval between two reads of the replica plans in the table, in milliseconds.
    pub plans_ms: u64,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the host list service.
    pub hostlist: SocketAddr,
    /// Timeout of a call to a service, in milliseconds.
    pub timeout_ms: u64,
}

impl PlatformSettings {
    /// [`Self::timeout_ms`] as a duration.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// TLS for connections from clients.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// File with the certificate and its chain, as PEM. Without it clients connect without TLS.
    #[serde(default)]
    pub certificate_file: Option<PathBuf>,
    /// File with the private key of the certificate, as PEM.
    #[serde(default)]
    pub key_file: Option<PathBuf>,
    /// Interval between two checks of the files for changes, in milliseconds.
    pub reload_ms: u64,
}

impl TlsSettings {
    /// Returns the certificate and key files; none unless both are set.
    #[must_use]
    pub fn files(&self) -> Option<TlsFiles> {
        let certificate = self.certificate_file.clone()?;
        let key = self.key_file.clone()?;
        Some(TlsFiles { certificate, key })
    }

    /// [`Self::reload_ms`] as a duration.
    #[must_use]
    pub fn reload_interval(&self) -> Duration {
        Duration::from_millis(self.reload_ms)
    }
}

/// Files and environment variables with the node's secrets. A file takes precedence.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SecretSettings {
    /// File with the operators' key. Without a key the node accepts no amendments.
    pub operator_key_file: Option<PathBuf>,
    /// Environment variable with the operators' key.
    pub operator_key_env: Option<String>,
    /// File with the key that signs resume tokens, the same on every entry node. Without a key a
    /// token is valid only in the process that issued it.
    pub resume_key_file: Option<PathBuf>,
    /// Environment variable with the key that signs resume tokens.
    pub resume_key_env: Option<String>,
}

impl SecretSettings {
    /// Loads the operators' key; none if neither file nor variable is set.
    ///
    /// # Errors
    ///
    /// [`SecretError`] when the file or variable can't be read, or the key is shorter than
    /// [`crate::secret::MIN_SECRET_BYTES`].
    pub fn operator_key(&self) -> Result<Option<SecretText>, SecretError> {
        load_secret(
            self.operator_key_file.as_deref(),
            self.operator_key_env.as_deref(),
        )
    }

    /// Loads the key that signs resume tokens; none if neither file nor variable is set.
    ///
    /// # Errors
    ///
    /// [`SecretError`] when the file or variable can't be read, or the key is shorter than
    /// [`crate::secret::MIN_SECRET_BYTES`].
    pub fn resume_key(&self) -> Result<Option<SecretText>, SecretError> {
        load_secret(
            self.resume_key_file.as_deref(),
            self.resume_key_env.as_deref(),
        )
    }
}

/// Loads the key that all nodes share for their links; none if neither file nor variable is set.
///
/// # Errors
///
/// [`SecretError`] when the file or variable can't be read, or the key is shorter than
/// [`crate::secret::MIN_SECRET_BYTES`].
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

/// Logs and the timeline of events.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Minimum level of logged events.
    pub level: EventLevel,
    /// Number of events kept in memory for the timeline; the oldest are dropped first.
    pub events: usize,
}

impl NodeSettings {
    /// Returns the sections of the control plane as one struct.
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
