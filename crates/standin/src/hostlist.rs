//! Stand-in for the platform's host list: reads its file anew at every request.

use std::sync::Arc;

use bytes::Bytes;
use eyre::WrapErr;
use http::{Request, StatusCode};
use web::{WebAnswer, json_answer, parse_json, text_answer};
use wire::hostlist::HostListBody;

use crate::faults::FaultSwitch;
use crate::options::HostlistOptions;
use crate::serve::{StandinHandler, serve_standin};

/// Runs the host list.
///
/// # Errors
///
/// When the file can't be read or the address can't be bound.
pub async fn run(options: HostlistOptions) -> eyre::Result<()> {
    let server = HostListServer {
        path: options.hosts,
    };
    server.load()?;
    let faults = Arc::new(FaultSwitch::default());
    serve_standin("hostlist", options.listen, Arc::new(server), faults).await
}

/// The host list.
#[derive(Debug)]
pub struct HostListServer {
    path: String,
}

impl HostListServer {
    fn load(&self) -> eyre::Result<HostListBody> {
        let bytes =
            std::fs::read(&self.path).wrap_err_with(|| format!("can't read {}", self.path))?;
        parse_json(&bytes).wrap_err_with(|| format!("can't use {}", self.path))
    }
}

impl StandinHandler for HostListServer {
    async fn answer(&self, _request: Request<Bytes>) -> WebAnswer {
        match self.load() {
            Ok(list) => json_answer(StatusCode::OK, &list),
            Err(error) => text_answer(StatusCode::SERVICE_UNAVAILABLE, &format!("{error:#}")),
        }
    }
}
