//! Stand-in for the platform's host list: serves the content of a file with a fixed delay.

use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::WrapErr;
use http::{Request, StatusCode};
use web::{WebResponse, json_response, parse_json, text_response};
use wire::hostlist::HostListBody;

use crate::faults::FaultInjector;
use crate::options::HostlistOptions;
use crate::serve::{StandinHandler, serve_standin};

const READ_INTERVAL: Duration = Duration::from_millis(50);

/// Serves the host list until interrupted.
///
/// # Errors
///
/// Returns an error if the file can't be read or the address can't be bound.
pub async fn run(options: HostlistOptions) -> eyre::Result<()> {
    let first = read_list(&options.hosts)?;
    let server = Arc::new(HostListServer {
        path: options.hosts,
        lag: Duration::from_millis(options.lag_ms),
        history: Mutex::new(VecDeque::from([(Instant::now(), first)])),
    });
    tokio::spawn(poll_file(Arc::clone(&server)));
    let faults = Arc::new(FaultInjector::default());
    serve_standin("hostlist", options.listen, server, faults).await
}

/// Request handler of the host list.
#[derive(Debug)]
pub struct HostListServer {
    path: PathBuf,
    lag: Duration,
    history: Mutex<VecDeque<(Instant, HostListBody)>>,
}

impl HostListServer {
    fn read_file(&self) {
        // A file that can't be parsed may be in the middle of being replaced; the next read retries.
        let Ok(list) = read_list(&self.path) else {
            return;
        };
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        if history.back().is_none_or(|(_, newest)| *newest != list) {
            history.push_back((Instant::now(), list));
        }
    }

    fn delayed_list(&self) -> Option<HostListBody> {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some((at, _)) = history.get(1)
            && at.elapsed() >= self.lag
        {
            history.pop_front();
        }
        history.front().map(|(_, list)| list.clone())
    }
}

fn read_list(path: &Path) -> eyre::Result<HostListBody> {
    let bytes = std::fs::read(path).wrap_err_with(|| format!("can't read {}", path.display()))?;
    parse_json(&bytes).wrap_err_with(|| format!("invalid host list {}", path.display()))
}

async fn poll_file(server: Arc<HostListServer>) {
    loop {
        tokio::time::sleep(READ_INTERVAL).await;
        server.read_file();
    }
}

impl StandinHandler for HostListServer {
    async fn handle(&self, _request: Request<Bytes>) -> WebResponse {
        match self.delayed_list() {
            Some(list) => json_response(StatusCode::OK, &list),
            None => text_response(StatusCode::SERVICE_UNAVAILABLE, "no list yet"),
        }
    }
}
