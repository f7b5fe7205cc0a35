//! The command line, parsed once into a checked plan.

mod plan;
mod words;

use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::PathBuf;

use domain::ConfigRevision;
use domain::record::RecordKind;
use events::TimelineFilter;
use eyre::WrapErr;
use gumdrop::Options;
use settings::SecretText;

pub use plan::{ApplyPlan, CommandPlan, DrainPlan, NamePlan, OperatorAccess, OutputFormat};
use words::{
    ApplyOptions, CheckOptions, CommandLine, CommandWord, DrainOptions, NameOptions,
    TimelineOptions,
};

/// Variable with the admin addresses of nodes, separated by commas.
const NODES_VARIABLE: &str = "BRAMLEYSPRING_NODES";

/// Variable with the operators' key.
const KEY_VARIABLE: &str = "BRAMLEYSPRING_KEY";

const EXAMPLES: &str = "
Examples:
  bramleyspring check --settings node.json records.json
  bramleyspring serve --settings node.json
  bramleyspring apply --node 127.0.0.1:7200 --wait records.json
  bramleyspring status --node 127.0.0.1:7200
  bramleyspring timeline --node 127.0.0.1:7200 --request e0.17 --format html > way.html
  bramleyspring drain --node 127.0.0.1:7200 --hosts h03,h04 rack-7

Operators' commands take the nodes' admin addresses from --node or BRAMLEYSPRING_NODES (separated
by commas) and the operators' key from --key-file or BRAMLEYSPRING_KEY.

Exit codes: 0 done; 1 failed or refused; 2 wrong command line; 3 not known whether it took effect.
";

/// Parses the process's arguments.
///
/// # Errors
///
/// A report that names the argument.
pub fn parse_arguments(arguments: &[String]) -> eyre::Result<CommandPlan> {
    let line = CommandLine::parse_args_default(arguments)?;
    if line.version {
        return Ok(CommandPlan::Print(format!(
            "bramleyspring {}",
            env!("CARGO_PKG_VERSION")
        )));
    }
    if line.help_requested() {
        return Ok(CommandPlan::Print(help_text(&line)));
    }
    match line.command {
        Some(CommandWord::Serve(serve)) => Ok(CommandPlan::Serve {
            settings: serve.settings,
        }),
        Some(CommandWord::Gateway(gateway)) => Ok(CommandPlan::Gateway {
            settings: gateway.settings,
        }),
        Some(CommandWord::Check(check)) => plan_check(check),
        Some(CommandWord::Apply(apply)) => plan_apply(apply).map(CommandPlan::Apply),
        Some(CommandWord::Diff(diff)) => plan_apply(diff).map(CommandPlan::Diff),
        Some(CommandWord::Get(get)) => plan_names(get).map(CommandPlan::Get),
        Some(CommandWord::Delete(delete)) => plan_delete(delete),
        Some(CommandWord::History(history)) => plan_names(history).map(CommandPlan::History),
        Some(CommandWord::Status(status)) => {
            plan_access(status.node, status.key_file, status.format.as_deref())
                .map(CommandPlan::Status)
        }
        Some(CommandWord::Timeline(timeline)) => plan_timeline(timeline),
        Some(CommandWord::Drain(drain)) => plan_drain(drain).map(CommandPlan::Drain),
        Some(CommandWord::HashKey(_)) => Ok(CommandPlan::HashKey),
        None => Ok(CommandPlan::Print(help_text(&line))),
    }
}

fn help_text(line: &CommandLine) -> String {
    let Some(command) = line.command_name() else {
        let commands = CommandLine::command_list().unwrap_or_default();
        return format!(
            "Usage: bramleyspring COMMAND [OPTIONS]\n\n{}\n\nCommands:\n{commands}\n{EXAMPLES}",
            CommandLine::usage(),
        );
    };
    format!(
        "Usage: bramleyspring {command} [OPTIONS]\n\n{}\n{EXAMPLES}",
        line.self_usage()
    )
}

fn plan_check(check: CheckOptions) -> eyre::Result<CommandPlan> {
    if check.settings.is_none() && check.files.is_empty() {
        eyre::bail!("name what to check: --settings FILE, or files with records");
    }
    Ok(CommandPlan::Check {
        settings: check.settings,
        files: check.files,
    })
}

fn plan_apply(apply: ApplyOptions) -> eyre::Result<ApplyPlan> {
    if apply.files.is_empty() {
        eyre::bail!("name at least one file with records");
    }
    Ok(ApplyPlan {
        access: plan_access(apply.node, apply.key_file, apply.format.as_deref())?,
        files: apply.files,
        wait: apply.wait,
        expect: apply.expect.map(ConfigRevision),
        operator: operator_name(apply.operator),
    })
}

fn plan_names(names: NameOptions) -> eyre::Result<NamePlan> {
    let mut parts = names.names.into_iter();
    let kind = parts
        .next()
        .map(|kind| kind.parse::<RecordKind>())
        .transpose();
    let kind = kind.map_err(|problem| eyre::eyre!(problem))?;
    let name = parts.next();
    if let Some(extra) = parts.next() {
        eyre::bail!("{extra:?} is one word too many: write KIND, or KIND NAME");
    }
    Ok(NamePlan {
        access: plan_access(names.node, names.key_file, names.format.as_deref())?,
        kind,
        name,
        expect: names.expect.map(ConfigRevision),
        operator: operator_name(names.operator),
    })
}

fn plan_delete(delete: NameOptions) -> eyre::Result<CommandPlan> {
    let plan = plan_names(delete)?;
    if plan.kind.is_none() || plan.name.is_none() {
        eyre::bail!("write which record to delete: KIND NAME");
    }
    Ok(CommandPlan::Delete(plan))
}

fn plan_timeline(timeline: TimelineOptions) -> eyre::Result<CommandPlan> {
    let access = plan_access(timeline.node, timeline.key_file, timeline.format.as_deref())?;
    let filter = TimelineFilter {
        request: timeline.request,
        replica: timeline.replica,
        host: timeline.host,
        customer: timeline.customer,
        lease: timeline.lease,
    };
    Ok(CommandPlan::Timeline(access, filter))
}

fn plan_drain(drain: DrainOptions) -> eyre::Result<DrainPlan> {
    let [name] = drain.names.as_slice() else {
        eyre::bail!("write one name for the drain record, such as rack-7");
    };
    let hosts = split_list(drain.hosts);
    let domains = split_list(drain.domains);
    if hosts.is_empty() && domains.is_empty() {
        eyre::bail!("name --hosts or --domains to drain");
    }
    Ok(DrainPlan {
        access: plan_access(drain.node, drain.key_file, drain.format.as_deref())?,
        name: name.clone(),
        hosts,
        domains,
        wait: drain.wait,
        operator: operator_name(drain.operator),
    })
}

fn split_list(text: Option<String>) -> Vec<String> {
    let text = text.unwrap_or_default();
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(str::to_owned)
        .collect()
}

fn operator_name(given: Option<String>) -> String {
    given
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_else(|| "operator".to_owned())
}

fn plan_access(
    mut nodes: Vec<SocketAddr>,
    key_file: Option<PathBuf>,
    format: Option<&str>,
) -> eyre::Result<OperatorAccess> {
    if nodes.is_empty()
        && let Ok(listed) = std::env::var(NODES_VARIABLE)
    {
        for address in split_list(Some(listed)) {
            let parsed = address.parse();
            nodes.push(parsed.wrap_err_with(|| format!("{address:?} in {NODES_VARIABLE}"))?);
        }
    }
    if nodes.is_empty() {
        eyre::bail!("name a node's admin address with --node or in {NODES_VARIABLE}");
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
        Some(other) => eyre::bail!("--format {other:?}: write text, json or, for timeline, html"),
    };
    let terminal = std::io::stdout().is_terminal();
    Ok(OperatorAccess {
        nodes,
        key,
        format,
        terminal,
    })
}
