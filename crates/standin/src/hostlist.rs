//! Stand-in for the platform's host list: reads its file anew at every request.

use eyre::WrapErr;
use http::StatusCode;
use web::{WebAnswer, WebHandler, WebRequest, json_answer, parse_json, text_answer};
use wire::hostlist::HostListBody;

use crate::options::HostlistOptions;
use crate::serve_standin;

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
    serve_standin("hostlist", options.listen, server).await
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

impl WebHandler for HostListServer {
    async fn answer(&self, _request: WebRequest) -> WebAnswer {
        match self.load() {
            Ok(list) => json_answer(StatusCode::OK, &list),
            Err(error) => text_answer(StatusCode::SERVICE_UNAVAILABLE, &format!("{error:#}")),
        }
    }
}
