//! `check`: settings and records, without a server.

use std::path::{Path, PathBuf};

use settings::NodeSettings;

use super::CommandEnd;
use super::files::read_files;

/// Checks files and prints what was found.
pub fn check_files(settings: Option<&Path>, files: &[PathBuf]) -> CommandEnd {
    let mut end = CommandEnd::Done;
    if let Some(path) = settings {
        match NodeSettings::load(path) {
            Ok(_) => println!("{}: fine", path.display()),
            Err(error) => {
                eprintln!("{error}");
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
