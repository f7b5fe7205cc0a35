//! Writing records from files.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use control::{AmendOutcome, Expect, RecordAmendment, amend_record};
use domain::{RecordSpec, WriteToken};
use eyre::WrapErr;
use platform::http::{HttpTable, ServiceEndpoint};
use serde::Deserialize;
use web::WebClient;
use wire::record::RecordFrame;

use crate::settings::NodeSettings;

const TABLE_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Deserialize)]
#[serde(untagged)]
enum RecordFile {
    Many(Vec<RecordFrame>),
    One(RecordFrame),
}

/// Checks every record of every file, then writes them one after the other.
///
/// # Errors
///
/// A report with the file and place of the first file that can't be used, or with the record that
/// was not accepted.
pub async fn apply_files(settings: &NodeSettings, files: &[PathBuf]) -> eyre::Result<()> {
    let mut frames = Vec::new();
    for file in files {
        frames.extend(read_records(file)?);
    }
    let endpoint =
        ServiceEndpoint::new(WebClient::default(), settings.platform.table, TABLE_TIMEOUT);
    let table = HttpTable::new(endpoint);
    for frame in frames {
        apply_record(&table, frame).await?;
    }
    Ok(())
}

async fn apply_record(table: &HttpTable, frame: RecordFrame) -> eyre::Result<()> {
    let (kind, name) = (frame.kind, frame.name.clone());
    let amendment = RecordAmendment {
        kind,
        name: name.clone(),
        record: Some(frame),
        expect: Expect::Any,
        operator: "operator".to_owned(),
        token: fresh_token()?,
    };
    let kind = kind.as_str();
    match amend_record(table, &amendment).await? {
        AmendOutcome::Accepted(revision) => {
            println!("{kind} {name}: accepted as revision {revision}");
            Ok(())
        }
        AmendOutcome::Conflict(conflict) => {
            let writer = conflict.change.map_or_else(String::new, |change| {
                format!(" by {} in revision {}", change.operator, change.revision)
            });
            eyre::bail!("{kind} {name}: it was amended{writer}; read it and try again")
        }
        AmendOutcome::Refused(findings) => eyre::bail!("{kind} {name}: {findings}"),
    }
}

fn fresh_token() -> eyre::Result<WriteToken> {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
    Ok(format!("apply.{}.{}", std::process::id(), since_epoch.as_nanos()).parse()?)
}

fn read_records(file: &Path) -> eyre::Result<Vec<RecordFrame>> {
    let bytes = std::fs::read(file).wrap_err_with(|| format!("can't read {}", file.display()))?;
    let parsed: RecordFile =
        web::parse_json(&bytes).wrap_err_with(|| format!("in {}", file.display()))?;
    let frames = match parsed {
        RecordFile::Many(frames) => frames,
        RecordFile::One(frame) => vec![frame],
    };
    for (index, frame) in frames.iter().enumerate() {
        RecordSpec::try_from(frame.clone())
            .wrap_err_with(|| format!("in {}, record {index} ({})", file.display(), frame.name))?;
    }
    Ok(frames)
}
