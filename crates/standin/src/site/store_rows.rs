//! Rows of the store as they stand in responses.

use std::collections::BTreeMap;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::json;

use super::replacements::replace_all;
use super::store::{RowKey, SiteStore};
use super::store_drill::{StoredRow, StoredRows};

/// Stands for the version of a row in a text given to [`SiteStore::put_row_text`].
pub const ROW_VERSION: &str = "ROW_VERSION";

impl SiteStore {
    /// Writes a row that stands in responses as this text, which need not be JSON. [`ROW_VERSION`] in it stands for
    /// the row's version.
    pub fn put_row_text(&self, table: &str, key: &str, text: &str) {
        let row_key = (table.to_owned(), key.to_owned());
        self.with(|state| {
            state.write(table, key, Some(Vec::new()));
            state.row_texts.insert(row_key, text.to_owned());
        });
        self.notify_changed();
    }

    /// Texts of rows, and the newest version at the same moment.
    pub(super) fn rows(&self, wanted: impl Fn(&RowKey, &StoredRow) -> bool) -> (Vec<String>, u64) {
        self.with(|state| {
            let rows = self.rows_of(&state.rows, &state.row_texts, wanted);
            (rows, state.version)
        })
    }

    pub(super) fn rows_of(
        &self,
        rows: &StoredRows,
        row_texts: &BTreeMap<RowKey, String>,
        wanted: impl Fn(&RowKey, &StoredRow) -> bool,
    ) -> Vec<String> {
        let rows = rows.iter().filter(|(key, row)| wanted(key, row));
        let rows = rows.map(|(row_key, (value, version))| {
            if let Some(text) = row_texts.get(row_key) {
                return text.replace(ROW_VERSION, &version.to_string());
            }
            let (table, key) = row_key;
            let value = value
                .as_ref()
                .map(|value| STANDARD.encode(replace_all(value, &self.read_replacements)));
            json!({
                "table": table, "part": "", "key": key, "row_version": version,
                "value": value, "removed": value.is_none(),
            })
            .to_string()
        });
        rows.collect()
    }
}
