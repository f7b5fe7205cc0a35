//! Stand-in for the weight store: `GET /weights/{model}/{version}` streams zeros. All downloads
//! share one rate limit.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use tokio::sync::mpsc;
use web::body::channel_body;
use web::{WebResponse, text_response};

use crate::faults::FaultInjector;
use crate::options::WeightsOptions;
use crate::serve::{StandinHandler, serve_standin};

const CHUNK_BYTES: usize = 64 << 10;
const CHUNK_BUFFER: usize = 4;

/// Serves the weight store until interrupted.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn run(options: WeightsOptions) -> eyre::Result<()> {
    let server = Arc::new(WeightServer {
        bytes: options.bytes,
        rate: Arc::new(RateLimiter {
            bytes_per_second: options.rate.max(1),
            next_free: Mutex::new(Instant::now()),
        }),
    });
    let faults = Arc::new(FaultInjector::default());
    serve_standin("weights", options.listen, server, faults).await
}

/// Request handler of the weight store.
#[derive(Debug)]
pub struct WeightServer {
    bytes: usize,
    rate: Arc<RateLimiter>,
}

#[derive(Debug)]
struct RateLimiter {
    bytes_per_second: u32,
    next_free: Mutex<Instant>,
}

impl RateLimiter {
    /// Waits until `bytes` may be sent; all downloads share one queue.
    async fn acquire(&self, bytes: usize) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let time = Duration::from_secs_f64(f64::from(bytes) / f64::from(self.bytes_per_second));
        let deadline = {
            let mut next_free = self
                .next_free
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            *next_free = (*next_free).max(Instant::now()) + time;
            *next_free
        };
        tokio::time::sleep_until(deadline.into()).await;
    }
}

async fn send_weights(rate: Arc<RateLimiter>, mut remaining: usize, sender: mpsc::Sender<Bytes>) {
    let chunk = Bytes::from(vec![0; CHUNK_BYTES]);
    while remaining > 0 {
        let part = chunk.slice(..remaining.min(CHUNK_BYTES));
        remaining -= part.len();
        rate.acquire(part.len()).await;
        if sender.send(part).await.is_err() {
            return;
        }
    }
}

impl StandinHandler for WeightServer {
    async fn handle(&self, request: Request<Bytes>) -> WebResponse {
        if !request.uri().path().starts_with("/weights/") {
            return text_response(StatusCode::NOT_FOUND, "no such call");
        }
        let (sender, body) = channel_body(CHUNK_BUFFER);
        tokio::spawn(send_weights(Arc::clone(&self.rate), self.bytes, sender));
        http::Response::new(body)
    }
}
