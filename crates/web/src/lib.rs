//! HTTP infrastructure shared by servers and clients, based on `hyper`.

pub mod body;
pub mod client;
pub mod connection;
pub mod fair_stream;
pub mod fair_task;
pub mod query;
mod request_count;
pub mod response;
pub mod retry_after;
pub mod server;
pub mod tls;

pub use body::{BodyError, WebBody, parse_json, read_body};
pub use client::{ClientError, WebClient};
pub use connection::{ConnectionError, HttpConnection};
pub use fair_stream::FairStream;
pub use fair_task::FairTask;
pub use intake::ConnectionCloser;
pub use query::query_value;
pub use response::{
    WebResponse, is_close_delimited, is_final_status, json_response, text_response,
};
pub use retry_after::{parse_retry_after, retry_after};
pub use server::{ServerLimits, WebHandler, WebRequest, serve_listener, serve_with_acceptor};
pub use tls::{ReloadableTlsConfig, TlsError, TlsFiles};
