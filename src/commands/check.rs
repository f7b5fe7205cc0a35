//! The command `check`, which validates settings and records without a server.

use std::path::{Path, PathBuf};

use gateway::GatewaySettings;
use settings::NodeSettings;

use super::CommandStatus;
use super::files::read_files;

/// Validates files and prints the findings.
pub fn check_files(settings: Option<&Path>, files: &[PathBuf]) -> CommandStatus {
    let mut status = CommandStatus::Success;
    if let Some(path) = settings {
        match check_settings(path) {
            Ok(()) => println!("{}: valid", path.display()),
            Err(error) => {
                eprintln!("{error:#}");
                status = CommandStatus::Failed;
            }
        }
    }
    if !files.is_empty() {
        match read_files(files) {
            Ok(records) => println!("{} records: valid", records.len()),
            Err(error) => {
                eprintln!("{error}");
                status = CommandStatus::Failed;
            }
        }
    }
    status
}

/// Validates the settings of an entry node or of a gateway, depending on the content of the file.
fn check_settings(path: &Path) -> eyre::Result<()> {
    let text = std::fs::read_to_string(path)?;
    if gateway::is_gateway_file(&text) {
        GatewaySettings::load(path)?;
    } else {
        NodeSettings::load(path)?;
    }
    Ok(())
}
