//! Measuring the request path: what it adds to an engine called directly, and what it costs.
//!
//! Every figure compares two ways within one run, or divides by processor time of the entry's
//! process, so that other work on the machine distorts it little.

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

/// Runs all measurements and prints them.
///
/// # Errors
///
/// When the binary is not built beside this program, or a call fails.
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

/// Runs the measurements of a gateway and prints them.
///
/// # Errors
///
/// When the binary is not built beside this program, or a call fails.
pub async fn run_gateway(options: MeasureOptions) -> eyre::Result<()> {
    let binary = server_binary()?;
    let mut signals = ShutdownSignals::catch()?;
    tokio::select! {
        measured = gateway::run(&binary, options.rounds) => measured,
        () = signals.wait() => eyre::bail!("interrupted"),
    }
}

/// Runs the measurements of control and prints them.
///
/// # Errors
///
/// When the binary is not built beside this program, or a reading fails.
pub async fn run_control() -> eyre::Result<()> {
    control::run(&server_binary()?).await
}

fn server_binary() -> eyre::Result<PathBuf> {
    let own = std::env::current_exe().wrap_err("this program's own path is unknown")?;
    let binary = own.with_file_name("bramleyspring");
    eyre::ensure!(
        binary.exists(),
        "{} is not built: run scripts/measure-path",
        binary.display()
    );
    Ok(binary)
}

/// Median with the lowest and highest of some rounds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoundSpread {
    /// The middle.
    pub median: f64,
    /// The lowest round.
    pub lowest: f64,
    /// The highest round.
    pub highest: f64,
}

impl RoundSpread {
    /// Spread of the rounds; of no round it is all zero.
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
