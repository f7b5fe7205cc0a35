//! Settings of a node.

use std::net::SocketAddr;
use std::path::Path;

use control::config::ConfigSettings;
use control::members::MemberSettings;
use domain::{DomainId, NodeId, RegionId};
use eyre::WrapErr;
use peers::PeerSettings;
use serde::Deserialize;

/// Settings of a node, read from a JSON file.
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
    /// The platform's services.
    pub platform: PlatformSettings,
    /// The configuration.
    #[serde(default)]
    pub config: ConfigSettings,
    /// The membership.
    #[serde(default)]
    pub members: MemberSettings,
    /// The links to other nodes.
    #[serde(default)]
    pub peers: PeerSettings,
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
}

impl NodeSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// A report with the file and the JSON path of the error.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        let bytes =
            std::fs::read(path).wrap_err_with(|| format!("can't read {}", path.display()))?;
        web::parse_json(&bytes).wrap_err_with(|| format!("in {}", path.display()))
    }
}
