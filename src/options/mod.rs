//! Parses and validates the command line.

mod args;
mod command;

use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::PathBuf;

use domain::ConfigRevision;
use domain::record::RecordKind;
use events::TimelineFilter;
use eyre::WrapErr;
use gumdrop::Options;
use settings::SecretText;

use args::{
    ApplyOptions, CheckOptions, CommandLine, DrainOptions, RecordOptions, Subcommand,
    TimelineOptions,
};
pub use command::{AdminAccess, ApplyCommand, Command, DrainCommand, OutputFormat, RecordCommand};

/// Environment variable with the admin addresses of nodes, separated by commas.
const NODES_VARIABLE: &str = "BRAMLEYSPRING_NODES";

/// Environment variable with the operators' key.
const KEY_VARIABLE: &str = "BRAMLEYSPRING_KEY";

/// Examples and further help, printed below the options.
const HELP_FOOTER: &str = "
Examples:
  bramleyspring check --settings node.json records.json
  bramleyspring serve --settings node.json
  bramleyspring apply --node 127.0.0.1:7200 --wait records.json
  bramleyspring status --node 127.0.0.1:7200
  bramleyspring timeline --node 127.0.0.1:7200 --request e0.17 --format html > timeline.html
  bramleyspring drain --node 127.0.0.1:7200 --hosts h03,h04 rack-7

Operators' commands read the nodes' admin addresses from --node or BRAMLEYSPRING_NODES (separated
by commas) and the operators' key from --key-file or BRAMLEYSPRING_KEY.

Exit codes: 0 success; 1 failed or refused; 2 invalid command line; 3 unknown whether the change was
accepted.
";

/// Parses the process's arguments.
///
/// # Errors
///
/// A report that names the invalid or missing argument.
pub fn parse_arguments(arguments: &[String]) -> eyre::Result<Command> {
    let line = CommandLine::parse_args_default(arguments)?;
    if line.version {
        return Ok(Command::Print(format!(
            "bramleyspring {}",
            env!("CARGO_PKG_VERSION")
        )));
    }
    if line.help_requested() {
        return Ok(Command::Print(help_text(&line)));
    }
    match line.command {
        Some(Subcommand::Serve(serve)) => Ok(Command::Serve {
            settings: serve.settings,
        }),
        Some(Subcommand::Gateway(gateway)) => Ok(Command::Gateway {
            settings: gateway.settings,
        }),
        Some(Subcommand::Check(check)) => check_command(check),
        Some(Subcommand::Apply(apply)) => apply_command(apply).map(Command::Apply),
        Some(Subcommand::Diff(diff)) => apply_command(diff).map(Command::Diff),
        Some(Subcommand::Get(get)) => record_command(get).map(Command::Get),
        Some(Subcommand::Delete(delete)) => delete_command(delete),
        Some(Subcommand::History(history)) => record_command(history).map(Command::History),
        Some(Subcommand::Status(status)) => {
            admin_access(status.node, status.key_file, status.format.as_deref())
                .map(Command::Status)
        }
        Some(Subcommand::Timeline(timeline)) => timeline_command(timeline),
        Some(Subcommand::Drain(drain)) => drain_command(drain).map(Command::Drain),
        Some(Subcommand::HashKey(_)) => Ok(Command::HashKey),
        None => Ok(Command::Print(help_text(&line))),
    }
}

fn help_text(line: &CommandLine) -> String {
    let Some(command) = line.command_name() else {
        let commands = CommandLine::command_list().unwrap_or_default();
        return format!(
            "Usage: bramleyspring COMMAND [OPTIONS]\n\n{}\n\nCommands:\n{commands}\n{HELP_FOOTER}",
            CommandLine::usage(),
        );
    };
    format!(
        "Usage: bramleyspring {command} [OPTIONS]\n\n{}\n{HELP_FOOTER}",
        line.self_usage()
    )
}

fn check_command(check: CheckOptions) -> eyre::Result<Command> {
    if check.settings.is_none() && check.files.is_empty() {
        eyre::bail!("specify what to check: --settings FILE, or files with records");
    }
    Ok(Command::Check {
        settings: check.settings,
        files: check.files,
    })
}

fn apply_command(apply: ApplyOptions) -> eyre::Result<ApplyCommand> {
    if apply.files.is_empty() {
        eyre::bail!("specify at least one file with records");
    }
    Ok(ApplyCommand {
        access: admin_access(apply.node, apply.key_file, apply.format.as_deref())?,
        files: apply.files,
        wait: apply.wait,
        expect: apply.expect.map(ConfigRevision),
        operator: operator_name(apply.operator),
    })
}

fn record_command(options: RecordOptions) -> eyre::Result<RecordCommand> {
    let mut names = options.names.into_iter();
    let kind = names
        .next()
        .map(|kind| kind.parse::<RecordKind>())
        .transpose();
    let kind = kind.map_err(|problem| eyre::eyre!(problem))?;
    let name = names.next();
    if let Some(extra) = names.next() {
        eyre::bail!("unexpected argument {extra:?}: specify KIND, or KIND NAME");
    }
    Ok(RecordCommand {
        access: admin_access(options.node, options.key_file, options.format.as_deref())?,
        kind,
        name,
        expect: options.expect.map(ConfigRevision),
        operator: operator_name(options.operator),
    })
}

fn delete_command(delete: RecordOptions) -> eyre::Result<Command> {
    let command = record_command(delete)?;
    if command.kind.is_none() || command.name.is_none() {
        eyre::bail!("specify the record to delete: KIND NAME");
    }
    Ok(Command::Delete(command))
}

fn timeline_command(timeline: TimelineOptions) -> eyre::Result<Command> {
    let access = admin_access(timeline.node, timeline.key_file, timeline.format.as_deref())?;
    let filter = TimelineFilter {
        request: timeline.request,
        replica: timeline.replica,
        host: timeline.host,
        customer: timeline.customer,
        lease: timeline.lease,
    };
    Ok(Command::Timeline(access, filter))
}

fn drain_command(drain: DrainOptions) -> eyre::Result<DrainCommand> {
    let [name] = drain.names.as_slice() else {
        eyre::bail!("specify one name for the drain record, such as rack-7");
    };
    let hosts = split_list(drain.hosts);
    let domains = split_list(drain.domains);
    if hosts.is_empty() && domains.is_empty() {
        eyre::bail!("specify --hosts or --domains to drain");
    }
    Ok(DrainCommand {
        access: admin_access(drain.node, drain.key_file, drain.format.as_deref())?,
        name: name.clone(),
        hosts,
        domains,
        wait: drain.wait,
        operator: operator_name(drain.operator),
    })
}

/// Splits a comma-separated list, ignoring empty entries.
fn split_list(text: Option<String>) -> Vec<String> {
    let text = text.unwrap_or_default();
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(str::to_owned)
        .collect()
}

/// Returns the name for the history: the given one, or that of the user who runs the command.
fn operator_name(given: Option<String>) -> String {
    given
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_else(|| "operator".to_owned())
}

fn admin_access(
    mut nodes: Vec<SocketAddr>,
    key_file: Option<PathBuf>,
    format: Option<&str>,
) -> eyre::Result<AdminAccess> {
    if nodes.is_empty()
        && let Ok(list) = std::env::var(NODES_VARIABLE)
    {
        for address in split_list(Some(list)) {
            let parsed = address.parse();
            nodes.push(
                parsed.wrap_err_with(|| {
                    format!("{address:?} in {NODES_VARIABLE} is not an address")
                })?,
            );
        }
    }
    if nodes.is_empty() {
        eyre::bail!("specify a node's admin address with --node or in {NODES_VARIABLE}");
    }
    let key = match key_file {
        Some(path) => SecretText::from_file(&path)?,
        None => SecretText::from_variable(KEY_VARIABLE)
            .wrap_err("the operators' key is missing: use --key-file")?,
    };
    let format = match format {
        None | Some("text") => OutputFormat::Text,
        Some("json") => OutputFormat::Json,
        Some("html") => OutputFormat::Html,
        Some(other) => {
            eyre::bail!("unknown format {other:?}: use text, json or, for timeline, html")
        }
    };
    let terminal = std::io::stdout().is_terminal();
    Ok(AdminAccess {
        nodes,
        key,
        format,
        terminal,
    })
}
