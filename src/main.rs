//! Serving for large models whose replicas span several hosts.

mod apply;
mod node;
mod options;
mod settings;

use std::process::ExitCode;

use options::{CommandLine, CommandPlan};

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bramleyspring: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> eyre::Result<()> {
    let plan = CommandLine::parse()?;
    match plan {
        CommandPlan::Serve { settings } => node::serve(settings).await,
        CommandPlan::Apply { settings, files } => apply::apply_files(&settings, &files).await,
    }
}
