//! Settings of the links.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

/// Settings of the links between nodes. Times are milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// Where peers connect; none takes a free port on the callers' address.
    pub listen: Option<SocketAddr>,
    /// File with the key that all nodes share. Without one the node makes and takes no links.
    pub key_file: Option<PathBuf>,
    /// Environment variable with that key, for hosts whose settings come without files.
    pub key_env: Option<String>,
    /// Addresses of some nodes, asked while the node knows no other, such as when it starts while
    /// the store is down.
    #[builder(default)]
    pub seeds: Vec<SocketAddr>,
    /// Links that the node makes, from 2 to 8; about as many are made to it.
    #[builder(default = 4)]
    pub degree: usize,
    /// Mean time between two exchanges on a link, from 200 to 10,000. News of the configuration
    /// goes out at once.
    #[builder(default = 1_000)]
    pub exchange_ms: u64,
    /// An exchange that takes longer ends the link, from 500 to 5,000.
    #[builder(default = 2_000)]
    pub timeout_ms: u64,
    /// A peer whose link failed is avoided for this time, from 1,000 to 60,000.
    #[builder(default = 10_000)]
    pub avoid_ms: u64,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl PeerSettings {
    /// Mean time between two exchanges on a link.
    #[must_use]
    pub fn exchange_interval(&self) -> Duration {
        Duration::from_millis(self.exchange_ms)
    }

    /// Longest exchange.
    #[must_use]
    pub fn exchange_timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// How long a peer whose link failed is avoided.
    #[must_use]
    pub fn avoid_duration(&self) -> Duration {
        Duration::from_millis(self.avoid_ms)
    }
}
