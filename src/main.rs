//! Serving for large models whose replicas span several hosts.

mod client;
mod commands;
mod node;
mod options;
mod output;

use std::process::ExitCode;

use commands::{CommandEnd, apply, check, records, status, timeline};
use options::{CommandPlan, parse_arguments};
use settings::NodeSettings;

/// Exit code of a command line that can't be used.
const BAD_COMMAND_LINE: u8 = 2;

/// Exit code when it is not known whether a command took effect.
const OUTCOME_UNKNOWN: u8 = 3;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let plan = match parse_arguments(&arguments) {
        Ok(plan) => plan,
        Err(error) => {
            eprintln!("bramleyspring: {error:#} (see --help)");
            return ExitCode::from(BAD_COMMAND_LINE);
        }
    };
    match run(plan) {
        Ok(CommandEnd::Done) => ExitCode::SUCCESS,
        Ok(CommandEnd::Failed) => ExitCode::FAILURE,
        Ok(CommandEnd::Unknown) => ExitCode::from(OUTCOME_UNKNOWN),
        Err(error) => {
            eprintln!("bramleyspring: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(plan: CommandPlan) -> eyre::Result<CommandEnd> {
    // A gateway runs on one thread: it has a part of one core, and passes a stream's events on
    // without a hop between threads.
    if let CommandPlan::Gateway { settings } = &plan {
        gateway::run_gateway(settings)?;
        return Ok(CommandEnd::Done);
    }
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(run_plan(plan))
}

async fn run_plan(plan: CommandPlan) -> eyre::Result<CommandEnd> {
    match plan {
        CommandPlan::Gateway { .. } => Ok(CommandEnd::Failed),
        CommandPlan::Serve { settings } => {
            node::serve(NodeSettings::load(&settings)?).await?;
            Ok(CommandEnd::Done)
        }
        CommandPlan::Check { settings, files } => {
            Ok(check::check_files(settings.as_deref(), &files))
        }
        CommandPlan::Apply(plan) => apply::apply_files(&plan).await,
        CommandPlan::Delete(plan) => apply::delete_record(&plan).await,
        CommandPlan::Drain(plan) => apply::write_drain(&plan).await,
        CommandPlan::Get(plan) => records::get_records(&plan).await,
        CommandPlan::History(plan) => records::print_history(&plan).await,
        CommandPlan::Diff(plan) => records::print_diff(&plan).await,
        CommandPlan::Status(access) => status::print_status(&access).await,
        CommandPlan::Timeline(access, filter) => timeline::print_timeline(&access, &filter).await,
        CommandPlan::HashKey => {
            let mut line = String::new();
            std::io::stdin().read_line(&mut line)?;
            println!("{}", entry::auth::sha256_hex(line.trim().as_bytes()));
            Ok(CommandEnd::Done)
        }
        CommandPlan::Print(text) => {
            println!("{text}");
            Ok(CommandEnd::Done)
        }
    }
}
