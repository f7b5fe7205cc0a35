//! The command line, parsed once into a checked plan.

use std::path::PathBuf;

use gumdrop::Options;

use crate::settings::NodeSettings;

/// The command line as it is written.
#[derive(Debug, Options)]
pub struct CommandLine {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<CommandWord>,
}

#[derive(Debug, Options)]
enum CommandWord {
    #[options(help = "serve callers on this host")]
    Serve(ServeOptions),
    #[options(help = "write records from files")]
    Apply(ApplyOptions),
}

#[derive(Debug, Options)]
struct ServeOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "JSON file with the settings", required, meta = "FILE")]
    settings: PathBuf,
}

#[derive(Debug, Options)]
struct ApplyOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "JSON file with the settings", required, meta = "FILE")]
    settings: PathBuf,
    #[options(free, help = "JSON files, each with a record or a list of records")]
    files: Vec<PathBuf>,
}

/// What the program shall do.
#[derive(Debug)]
pub enum CommandPlan {
    /// Serve until the process is told to stop.
    Serve {
        /// Settings of the node.
        settings: NodeSettings,
    },
    /// Write records.
    Apply {
        /// Settings with the table's address.
        settings: NodeSettings,
        /// Files with records.
        files: Vec<PathBuf>,
    },
}

impl CommandLine {
    /// Parses the process's arguments; prints help and ends the process when asked to.
    ///
    /// # Errors
    ///
    /// A report that names the argument or the place in the settings.
    pub fn parse() -> eyre::Result<CommandPlan> {
        let line = Self::parse_args_default_or_exit();
        match line.command {
            Some(CommandWord::Serve(serve)) => Ok(CommandPlan::Serve {
                settings: NodeSettings::load(&serve.settings)?,
            }),
            Some(CommandWord::Apply(apply)) => Ok(CommandPlan::Apply {
                settings: NodeSettings::load(&apply.settings)?,
                files: apply.files,
            }),
            None => eyre::bail!("name a command: serve or apply (see --help)"),
        }
    }
}
