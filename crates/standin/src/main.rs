//! Development binary that runs one stand-in, the quickstart, the load tool or a measurement.

use std::process::ExitCode;

use gumdrop::Options;
use standin::options::{StandinCommand, StandinOptions};
use standin::{
    engine, hostlist, load, measure, objects, quickstart, relay, service, table, weights,
};

#[tokio::main]
async fn main() -> ExitCode {
    let options = StandinOptions::parse_args_default_or_exit();
    match run(options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: StandinOptions) -> eyre::Result<()> {
    match options.command {
        Some(StandinCommand::Table(options)) => table::run(options).await,
        Some(StandinCommand::Objects(options)) => objects::run(options).await,
        Some(StandinCommand::Hostlist(options)) => hostlist::run(options).await,
        Some(StandinCommand::Weights(options)) => weights::run(options).await,
        Some(StandinCommand::Engine(options)) => engine::run(options).await,
        Some(StandinCommand::Service(options)) => service::run(options).await,
        Some(StandinCommand::Quickstart(options)) => quickstart::run(options).await,
        Some(StandinCommand::Load(options)) => load::run(options).await,
        Some(StandinCommand::MeasurePath(options)) => measure::run(options).await,
        Some(StandinCommand::MeasureGateway(options)) => measure::run_gateway(options).await,
        Some(StandinCommand::Relay(options)) => relay::run(options).await,
        Some(StandinCommand::MeasureControl(_)) => measure::run_control().await,
        None => eyre::bail!("missing command; see --help"),
    }
}
