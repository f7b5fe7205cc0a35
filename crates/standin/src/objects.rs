//! Stand-in for the object store. Objects are kept in memory and can't be overwritten.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use web::response::bytes_response;
use web::{WebResponse, text_response};

use crate::faults::FaultInjector;
use crate::options::TableOptions;
use crate::serve::{StandinHandler, serve_standin};

/// Serves the object store until interrupted.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn run(options: TableOptions) -> eyre::Result<()> {
    let server = Arc::new(ObjectServer::default());
    let faults = Arc::new(FaultInjector::default());
    serve_standin("objects", options.listen, server, faults).await
}

/// Request handler of the object store.
#[derive(Debug, Default)]
pub struct ObjectServer {
    objects: Mutex<HashMap<String, Bytes>>,
}

impl ObjectServer {
    fn get(&self, key: &str) -> WebResponse {
        let objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        match objects.get(key) {
            Some(bytes) => {
                bytes_response(StatusCode::OK, "application/octet-stream", bytes.to_vec())
            }
            None => text_response(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    fn put_new(&self, key: &str, bytes: Bytes) -> WebResponse {
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        if objects.contains_key(key) {
            return text_response(StatusCode::PRECONDITION_FAILED, "there is such an object");
        }
        objects.insert(key.to_owned(), bytes);
        text_response(StatusCode::CREATED, "")
    }
}

impl StandinHandler for ObjectServer {
    async fn handle(&self, request: Request<Bytes>) -> WebResponse {
        let path = request.uri().path().to_owned();
        let Some(key) = path.strip_prefix("/objects/") else {
            return text_response(StatusCode::NOT_FOUND, "no such call");
        };
        match *request.method() {
            Method::GET => self.get(key),
            Method::PUT => self.put_new(key, request.into_body()),
            _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "use GET or PUT"),
        }
    }
}
