//! Measurements of the request path, a gateway and the control plane: added latency, CPU time and
//! memory.
//!
//! Figures compare two paths within one run or are based on the CPU time of the measured process,
//! so that other load on the machine distorts them little.

pub mod chat;
pub mod control;
pub mod cost;
pub mod gateway;
pub mod path;
pub mod process;

use std::path::{Path, PathBuf};

use eyre::WrapErr;

use crate::interrupt::ShutdownSignals;
use crate::options::MeasureOptions;

/// Measures the latency and the cost of the request path and prints the results.
///
/// # Errors
///
/// Returns an error if the server binary is not built next to this program, or a call fails.
pub async fn run(options: MeasureOptions) -> eyre::Result<()> {
    let binary = server_binary()?;
    let mut signals = ShutdownSignals::catch()?;
    tokio::select! {
        measured = measure(&binary, options.rounds) => measured,
        () = signals.wait() => eyre::bail!("interrupted"),
    }
}

async fn measure(binary: &Path, rounds: usize) -> eyre::Result<()> {
    path::run(binary, rounds).await?;
    cost::run(binary, rounds).await
}

/// Measures the cost of a gateway and prints the results.
///
/// # Errors
///
/// Returns an error if the server binary is not built next to this program, or a call fails.
pub async fn run_gateway(options: MeasureOptions) -> eyre::Result<()> {
    let binary = server_binary()?;
    let mut signals = ShutdownSignals::catch()?;
    tokio::select! {
        measured = gateway::run(&binary, options.rounds) => measured,
        () = signals.wait() => eyre::bail!("interrupted"),
    }
}

/// Measures the cost of control and prints the results.
///
/// # Errors
///
/// Returns an error if the server binary is not built next to this program, or a reading fails.
pub async fn run_control() -> eyre::Result<()> {
    control::run(&server_binary()?).await
}

fn server_binary() -> eyre::Result<PathBuf> {
    let program = std::env::current_exe().wrap_err("can't determine the path of this program")?;
    let binary = program.with_file_name("bramleyspring");
    eyre::ensure!(
        binary.exists(),
        "{} is not built: run scripts/measure-path",
        binary.display()
    );
    Ok(binary)
}

/// Median and range of the results of several rounds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoundSpread {
    /// Median; the upper one of an even number of rounds.
    pub median: f64,
    /// Lowest result.
    pub lowest: f64,
    /// Highest result.
    pub highest: f64,
}

impl RoundSpread {
    /// Summarizes the rounds; all values are zero if there are none.
    #[must_use]
    pub fn of(rounds: &[f64]) -> Self {
        let mut sorted = rounds.to_vec();
        sorted.sort_by(f64::total_cmp);
        let at = |index: usize| sorted.get(index).copied().unwrap_or_default();
        Self {
            median: at(sorted.len() / 2),
            lowest: at(0),
            highest: at(sorted.len().saturating_sub(1)),
        }
    }
}

impl std::fmt::Display for RoundSpread {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let digits = out.precision().unwrap_or(3);
        write!(
            out,
            "{:.digits$} ({:.digits$} to {:.digits$})",
            self.median, self.lowest, self.highest
        )
    }
}
