//! Settings of a gateway, in JSON.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use domain::{DomainId, NodeId};
use eyre::WrapErr;
use serde::Deserialize;
use serving::budget::RepeatLimits;

/// What a gateway needs to know before it starts.
#[derive(Debug, Clone, Deserialize)]
pub struct GatewaySettings {
    /// Name of the entry host.
    pub node: NodeId,
    /// Failure domain of the entry host.
    pub failure_domain: DomainId,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Where the platform's store listens.
    pub store: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Bounds that the platform sets.
    pub bounds: BoundSettings,
}

/// Addresses to listen on.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct ListenSettings {
    /// Callers' requests.
    pub requests: SocketAddr,
    /// The balancer's questions.
    pub readiness: SocketAddr,
    /// Metrics as text.
    pub metrics: SocketAddr,
}

/// Bounds that the platform sets.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct BoundSettings {
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub stop_grace_s: f64,
    /// Repeats allowed for each request.
    pub repeat_ratio: f64,
    /// Window over which repeats are counted, in seconds.
    pub repeat_window_s: f64,
    /// Repeats allowed besides in a window, over all nodes.
    pub repeat_extra: f64,
    /// Window over which weight loads are counted, in seconds.
    pub load_window_s: f64,
    /// Whether engines check fencing tokens.
    pub fencing: bool,
}

impl BoundSettings {
    /// Limits of repeats.
    #[must_use]
    pub fn repeats(&self) -> RepeatLimits {
        RepeatLimits {
            window: seconds(self.repeat_window_s),
            ratio: self.repeat_ratio,
            extra: self.repeat_extra,
        }
    }

    /// Time between SIGTERM and SIGKILL.
    #[must_use]
    pub fn stop_grace(&self) -> Duration {
        seconds(self.stop_grace_s)
    }
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or_default()
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// A report with the file and the place in it.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("the settings file {} can't be read", path.display()))?;
        Self::parse(&text).wrap_err_with(|| format!("in the settings file {}", path.display()))
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// A report with the place.
    pub fn parse(text: &str) -> eyre::Result<Self> {
        let settings: Self = web::parse_json(text.as_bytes())?;
        Ok(settings)
    }
}
