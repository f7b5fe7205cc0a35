//! Following the configuration in the table.

use std::sync::Arc;
use std::time::Duration;

use domain::{RecordSpec, RowVersion};
use platform::{RowRead, StoreError, TableStore, keys};
use tokio::sync::watch;
use wire::record::RecordFrame;

use crate::amend::ConfigHead;
use crate::view::ConfigView;

/// Follows the head row and publishes each newer configuration; runs until it is dropped.
pub async fn follow_config<T: TableStore>(
    table: T,
    views: watch::Sender<Arc<ConfigView>>,
    period: Duration,
) {
    let mut known: Option<RowVersion> = None;
    loop {
        if let Ok(Some((version, view))) = newer_config(&table, known).await {
            known = Some(version);
            views.send_if_modified(|current| {
                let newer = view.revision > current.revision;
                if newer {
                    *current = Arc::new(view);
                }
                newer
            });
        }
        tokio::time::sleep(period).await;
    }
}

async fn newer_config<T: TableStore>(
    table: &T,
    known: Option<RowVersion>,
) -> Result<Option<(RowVersion, ConfigView)>, StoreError> {
    let row = match table.read(keys::CONFIG_HEAD, known).await? {
        RowRead::Found(row) => row,
        RowRead::Absent | RowRead::Unchanged => return Ok(None),
    };
    let head: ConfigHead = serde_json::from_value(row.value)
        .map_err(|error| StoreError::Malformed(error.to_string()))?;
    let mut view = ConfigView {
        revision: head.revision,
        ..ConfigView::default()
    };
    for record in table.scan(keys::RECORDS).await? {
        match serde_json::from_value::<RecordFrame>(record.value).map(RecordSpec::try_from) {
            Ok(Ok(spec)) => view.insert(spec),
            Ok(Err(_)) | Err(_) => view.unknown.push(record.key),
        }
    }
    Ok(Some((row.version, view)))
}
