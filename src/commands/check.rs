//! `check`: settings and records, without a server.

use std::path::{Path, PathBuf};

use gateway::GatewaySettings;
use settings::NodeSettings;

use super::CommandEnd;
use super::files::read_files;

/// Checks files and prints what was found.
pub fn check_files(settings: Option<&Path>, files: &[PathBuf]) -> CommandEnd {
    let mut end = CommandEnd::Done;
    if let Some(path) = settings {
        match check_settings(path) {
            Ok(()) => println!("{}: fine", path.display()),
            Err(error) => {
                eprintln!("{error:#}");
                end = CommandEnd::Failed;
            }
        }
    }
    if !files.is_empty() {
        match read_files(files) {
            Ok(frames) => println!("{} records: fine", frames.len()),
            Err(error) => {
                eprintln!("{error}");
                end = CommandEnd::Failed;
            }
        }
    }
    end
}

/// Checks the settings of an entry or of a gateway, whichever the file is for.
fn check_settings(path: &Path) -> eyre::Result<()> {
    let text = std::fs::read_to_string(path)?;
    if gateway::is_gateway_file(&text) {
        GatewaySettings::load(path)?;
    } else {
        NodeSettings::load(path)?;
    }
    Ok(())
}
