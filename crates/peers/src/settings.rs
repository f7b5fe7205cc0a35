//! Settings of the links between nodes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

/// Settings of the links between nodes. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// Address on which to accept links; if none, a free port on the address for clients.
    pub listen: Option<SocketAddr>,
    /// File with the key that all nodes share. Without a key, the node opens and accepts no links.
    pub key_file: Option<PathBuf>,
    /// Environment variable with the shared key, for hosts that are configured without files.
    pub key_env: Option<String>,
    /// Addresses of some nodes, contacted while no other node is known, for example when starting
    /// while the store is down.
    #[builder(default)]
    pub seeds: Vec<SocketAddr>,
    /// Number of links that the node opens, from 2 to 8; it accepts about as many.
    #[builder(default = 4)]
    pub degree: usize,
    /// Mean time between exchanges on a link, from 100 to 10,000. Configuration changes are sent
    /// immediately.
    #[builder(default = 1_000)]
    pub exchange_ms: u64,
    /// Timeout of an exchange, after which the link fails, from 200 to 5,000.
    #[builder(default = 2_000)]
    pub timeout_ms: u64,
    /// Mean time for which a peer is avoided after its link failed, from 500 to 60,000, jittered by
    /// half of it either way.
    #[builder(default = 10_000)]
    pub avoid_ms: u64,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl PeerSettings {
    /// [`Self::exchange_ms`] as a duration, before jitter.
    #[must_use]
    pub fn exchange_interval(&self) -> Duration {
        Duration::from_millis(self.exchange_ms)
    }

    /// [`Self::timeout_ms`] as a duration.
    #[must_use]
    pub fn exchange_timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// [`Self::avoid_ms`] as a duration, before jitter.
    #[must_use]
    pub fn avoid_duration(&self) -> Duration {
        Duration::from_millis(self.avoid_ms)
    }
}
