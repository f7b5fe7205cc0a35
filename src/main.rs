//! Serves large models whose replicas span several hosts, and provides the operators' commands.

mod client;
mod commands;
mod node;
mod options;
mod output;

use std::process::ExitCode;

use commands::{CommandStatus, apply, check, records, status, timeline};
use options::{Command, parse_arguments};
use settings::NodeSettings;

/// Exit code of an invalid command line.
const BAD_COMMAND_LINE: u8 = 2;

/// Exit code when it is unknown whether a change was applied.
const OUTCOME_UNKNOWN: u8 = 3;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let command = match parse_arguments(&arguments) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("bramleyspring: {error:#} (see --help)");
            return ExitCode::from(BAD_COMMAND_LINE);
        }
    };
    match run(command) {
        Ok(CommandStatus::Success) => ExitCode::SUCCESS,
        Ok(CommandStatus::Failed) => ExitCode::FAILURE,
        Ok(CommandStatus::Unknown) => ExitCode::from(OUTCOME_UNKNOWN),
        Err(error) => {
            eprintln!("bramleyspring: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> eyre::Result<CommandStatus> {
    // A gateway runs on a single thread: it gets only a part of one core, and forwards a stream's
    // events without switching threads.
    if let Command::Gateway { settings } = &command {
        gateway::run_gateway(settings)?;
        return Ok(CommandStatus::Success);
    }
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(run_async(command))
}

async fn run_async(command: Command) -> eyre::Result<CommandStatus> {
    match command {
        Command::Gateway { .. } => Ok(CommandStatus::Failed),
        Command::Serve { settings } => {
            node::serve(NodeSettings::load(&settings)?).await?;
            Ok(CommandStatus::Success)
        }
        Command::Check { settings, files } => Ok(check::check_files(settings.as_deref(), &files)),
        Command::Apply(command) => apply::apply_files(&command).await,
        Command::Delete(command) => apply::delete_record(&command).await,
        Command::Drain(command) => apply::write_drain(&command).await,
        Command::Get(command) => records::get_records(&command).await,
        Command::History(command) => records::print_history(&command).await,
        Command::Diff(command) => records::print_diff(&command).await,
        Command::Status(access) => status::print_status(&access).await,
        Command::Timeline(access, filter) => timeline::print_timeline(&access, &filter).await,
        Command::HashKey => {
            let mut line = String::new();
            std::io::stdin().read_line(&mut line)?;
            println!("{}", entry::auth::sha256_hex(line.trim().as_bytes()));
            Ok(CommandStatus::Success)
        }
        Command::Print(text) => {
            println!("{text}");
            Ok(CommandStatus::Success)
        }
    }
}
