//! The row store: paged reads, the change feed and transactions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http::StatusCode;
use serde_json::Value;
use tokio::sync::Notify;

use super::http::{SiteRequest, SiteResponse, SiteServer, broken_connection, text_response};
use super::replacements::{quoted_pair, replace_all};
use super::store_calls::{CallWindow, StoreMode, StoreRates};
use super::store_drill::{DrillState, StoredRow, StoredRows};

/// A write that feed calls waiting at the time don't show, though they name its version.
#[derive(Debug, Clone, Copy)]
struct HiddenWrite {
    version: u64,
    written_at: Instant,
}

/// Table and key of a row; all rows are in the partition with the empty name.
pub(super) type RowKey = (String, String);

#[derive(Debug)]
pub(super) struct StoreState {
    pub rows: StoredRows,
    pub version: u64,
    /// The feed can't be read from before this version.
    pub compacted_version: u64,
    pub mode: StoreMode,
    pub drill: DrillState,
    calls: u64,
    /// Bytes of all responses.
    bytes: u64,
    rates: Option<StoreRates>,
    window: CallWindow,
    hidden: Option<HiddenWrite>,
    /// Added to the clock that responses tell, in milliseconds.
    clock_step_ms: u64,
    /// Texts that are replaced in written values, and their replacements.
    replacements: Vec<(String, String)>,
    /// Texts that stand in responses in place of rows.
    pub row_texts: BTreeMap<RowKey, String>,
}

impl StoreState {
    pub fn write(&mut self, table: &str, key: &str, value: Option<Vec<u8>>) {
        self.version += 1;
        let row = (value, self.version);
        let row_key = (table.to_owned(), key.to_owned());
        self.row_texts.remove(&row_key);
        self.rows.insert(row_key, row);
    }

    /// Whether a row of a precondition has the version that it names; 0 stands for no row.
    fn meets(&self, precondition: &Value) -> bool {
        let found = self.rows.get(&row_key(precondition));
        let found = found.filter(|(value, _)| value.is_some());
        let version = found.map_or(0, |(_, version)| *version);
        precondition["row_version"].as_u64() == Some(version)
    }
}

/// An in-memory store; clones share its rows.
#[derive(Debug, Clone)]
pub struct SiteStore {
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
    started: Instant,
    /// Texts that are replaced in values that are read, and their replacements.
    pub(super) read_replacements: Arc<Vec<(String, String)>>,
}

impl Default for SiteStore {
    fn default() -> Self {
        Self {
            state: Arc::new(Mutex::new(StoreState {
                rows: BTreeMap::new(),
                version: 1,
                compacted_version: 0,
                mode: StoreMode::Healthy,
                drill: DrillState::default(),
                calls: 0,
                bytes: 0,
                rates: None,
                window: CallWindow::default(),
                hidden: None,
                clock_step_ms: 0,
                replacements: Vec::new(),
                row_texts: BTreeMap::new(),
            })),
            changed: Arc::default(),
            started: Instant::now(),
            read_replacements: Arc::default(),
        }
    }
}

impl SiteStore {
    /// Serves the store on a free port until the runtime shuts down.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn serve(&self) -> std::io::Result<SocketAddr> {
        let store = self.clone();
        let server = SiteServer::start(move |request| {
            let store = store.clone();
            async move { store.handle(request).await }
        })?;
        let address = server.address;
        std::mem::forget(server);
        Ok(address)
    }

    /// Serves the store on a further port, at which each first address is read as the second one. Nodes
    /// that read there reach the targets through proxies.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn serve_view(
        &self,
        addresses: &[(SocketAddr, SocketAddr)],
    ) -> std::io::Result<SocketAddr> {
        let replacements = addresses.iter().map(|(from, to)| quoted_pair(*from, *to));
        let view = Self {
            read_replacements: Arc::new(replacements.collect()),
            ..self.clone()
        };
        view.serve()
    }

    pub(super) fn with<R>(&self, change: impl FnOnce(&mut StoreState) -> R) -> R {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut state)
    }

    /// Writes a row and notifies readers of the feed.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        self.write(table, key, Some(value.to_vec()));
    }

    /// Returns the keys of the rows in a table.
    #[must_use]
    pub fn keys(&self, table: &str) -> Vec<String> {
        self.with(|state| {
            let rows = state.rows.iter();
            let rows = rows.filter(|((name, _), (value, _))| name == table && value.is_some());
            rows.map(|((_, key), _)| key.clone()).collect()
        })
    }

    /// Returns the value of a row; `None` if there is no such row.
    #[must_use]
    pub fn value(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        self.with(|state| {
            let mut rows = state.rows.iter();
            let row = rows.find(|((name, row), _)| name == table && row == key)?;
            row.1.0.clone()
        })
    }

    /// Removes a row; the feed reports it as removed.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        self.with(|state| state.write(table, key, value));
        self.notify_changed();
    }

    /// Writes a row as a store does whose responses are not of one moment: feed calls that wait end
    /// without the row, and name a version that includes it.
    pub fn put_behind_polls(&self, table: &str, key: &str, value: &[u8]) {
        self.with(|state| {
            state.write(table, key, Some(value.to_vec()));
            state.hidden = Some(HiddenWrite {
                version: state.version,
                written_at: Instant::now(),
            });
        });
        self.notify_changed();
    }

    /// Limits the calls, and delays the responses, from now on.
    pub fn set_rates(&self, rates: StoreRates) {
        self.with(|state| state.rates = Some(rates));
    }

    /// Lets the clock that responses tell jump forward.
    pub fn step_clock(&self, step: Duration) {
        let step = u64::try_from(step.as_millis()).unwrap_or(u64::MAX);
        self.with(|state| state.clock_step_ms += step);
    }

    /// Replaces an address in all values that nodes write from now on, so that others reach them through
    /// a proxy.
    pub fn replace_address(&self, from: SocketAddr, to: SocketAddr) {
        let replacement = quoted_pair(from, to);
        self.with(|state| state.replacements.push(replacement));
    }

    /// Changes the behaviour of the store, also for feed requests that are waiting.
    pub fn set_mode(&self, mode: StoreMode) {
        self.with(|state| state.mode = mode);
        self.notify_changed();
    }

    /// Lets calls that wait look at the rows again.
    pub(super) fn notify_changed(&self) {
        self.changed.notify_waiters();
    }

    /// Discards the history of changes; feeds from an older version get 410.
    pub fn compact(&self) {
        self.with(|state| state.compacted_version = state.version);
        self.changed.notify_waiters();
    }

    /// Returns the number of requests received.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.with(|state| state.calls)
    }

    /// Returns the number of bytes in all responses with rows.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.with(|state| state.bytes)
    }

    pub(super) async fn handle(&self, request: SiteRequest) -> SiteResponse {
        let response = self.answer(request).await;
        self.with_era(response)
    }

    async fn answer(&self, request: SiteRequest) -> SiteResponse {
        let second = self.started.elapsed().as_secs();
        let is_write = request.path == "/rows-tx";
        let (mode, rates, is_admitted) = self.with(|state| {
            state.calls += 1;
            let rates = state.rates;
            let is_admitted =
                rates.is_none_or(|rates| state.window.admits(second, is_write, rates));
            (state.mode, rates, is_admitted)
        });
        if let Some(rates) = rates {
            tokio::time::sleep(rates.answer).await;
        }
        if !is_admitted {
            return text_response(StatusCode::TOO_MANY_REQUESTS, "");
        }
        match mode {
            StoreMode::Healthy => {}
            StoreMode::Unresponsive => std::future::pending().await,
            StoreMode::Unavailable => return text_response(StatusCode::SERVICE_UNAVAILABLE, ""),
            StoreMode::Away => return broken_connection(),
        }
        match request.path.as_str() {
            "/rows-get" => self.get(&request),
            "/rows-feed" => self.feed(&request).await,
            "/rows-tx" => self.transact(&request),
            _ => text_response(StatusCode::NOT_FOUND, ""),
        }
    }

    fn get(&self, request: &SiteRequest) -> SiteResponse {
        let table = request.query("table").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let limit: usize = request
            .query("limit")
            .and_then(|limit| limit.parse().ok())
            .unwrap_or(500);
        let is_wanted = |(name, key): &RowKey, value: Option<&Vec<u8>>| {
            *name == table && value.is_some() && *key >= from
        };
        let stale = self.with(|state| state.drill.take_stale_read());
        let (rows, version) = match stale {
            Some(copy) => {
                let wanted = |key: &RowKey, row: &StoredRow| is_wanted(key, row.0.as_ref());
                let row_texts = self.with(|state| state.row_texts.clone());
                (self.rows_of(&copy.rows, &row_texts, wanted), copy.version)
            }
            None => self.rows(|key, row| is_wanted(key, row.0.as_ref())),
        };
        let has_more = rows.len() > limit;
        let rows: Vec<String> = rows.into_iter().take(limit).collect();
        self.page(&rows, version, has_more)
    }

    async fn feed(&self, request: &SiteRequest) -> SiteResponse {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let table = request.query("table").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let began = Instant::now();
        let deadline = began + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let era = self.with(|state| state.drill.era);
        loop {
            let changed = self.changed.notified();
            let (is_kept, mode, hidden) =
                self.with(|state| (state.keeps_changes_since(after), state.mode, state.hidden));
            if mode == StoreMode::Away || era != self.with(|state| state.drill.era) {
                return broken_connection();
            }
            let hidden = hidden.filter(|hidden| began < hidden.written_at);
            if mode == StoreMode::Unresponsive {
                std::future::pending::<()>().await;
            }
            if !is_kept {
                return text_response(StatusCode::GONE, "");
            }
            let is_hidden = |version| hidden.is_some_and(|hidden| hidden.version == version);
            let (rows, version) =
                self.rows(|(name, _), row| *name == table && row.1 > after && !is_hidden(row.1));
            if !rows.is_empty() || hidden.is_some() || Instant::now() >= deadline {
                return self.page(&rows, version, false);
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            // The loop checks again after a change as well as after the timeout.
            drop(tokio::time::timeout(remaining, changed).await);
        }
    }

    fn transact(&self, request: &SiteRequest) -> SiteResponse {
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return text_response(StatusCode::BAD_REQUEST, "");
        };
        let mut writes = Vec::new();
        for put in body["puts"].as_array().into_iter().flatten() {
            let Ok(value) = STANDARD.decode(text_of(put, "value")) else {
                return text_response(StatusCode::BAD_REQUEST, "");
            };
            let replacements = self.with(|state| state.replacements.clone());
            writes.push((row_key(put), Some(replace_all(&value, &replacements))));
        }
        for removed in body["remove"].as_array().into_iter().flatten() {
            writes.push((row_key(removed), None));
        }
        let preconditions = body["precondition"].as_array();
        let committed = self.with(|state| {
            let mut preconditions = preconditions.into_iter().flatten();
            if !preconditions.all(|row| state.meets(row)) {
                return None;
            }
            state.version += 1;
            let version = state.version;
            for (key, value) in writes {
                state.rows.insert(key, (value, version));
            }
            Some(version)
        });
        let Some(version) = committed else {
            return text_response(StatusCode::PRECONDITION_FAILED, "{\"rows\":[]}");
        };
        self.changed.notify_waiters();
        self.page(&[], version, false)
    }

    fn page(&self, rows: &[String], version: u64, has_more: bool) -> SiteResponse {
        let elapsed = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let now = self.with(|state| elapsed.saturating_add(state.clock_step_ms));
        let rows = rows.join(",");
        let text = format!(
            "{{\"rows\":[{rows}],\"has_more\":{has_more},\"row_version\":{version},\"now_ms\":{now}}}"
        );
        let length = u64::try_from(text.len()).unwrap_or(u64::MAX);
        self.with(|state| state.bytes += length);
        text_response(StatusCode::OK, &text)
    }
}

fn text_of<'a>(row: &'a Value, name: &str) -> &'a str {
    row[name].as_str().unwrap_or_default()
}

fn row_key(row: &Value) -> RowKey {
    (
        text_of(row, "table").to_owned(),
        text_of(row, "key").to_owned(),
    )
}
