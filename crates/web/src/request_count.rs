//! Requests in progress on one connection, from which its place at the listener and its timeouts follow.

use std::collections::HashMap;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use intake::{ConnectionPlace, ConnectionState};

use crate::body::WebBody;

/// Bytes of a response that are handed to the HTTP library last.
const LAST_BYTES: usize = 512;

/// Number of a request on its connection.
type RequestNumber = u64;

#[derive(Debug)]
struct RequestState {
    /// Requests in progress, with the time since when their clients have taken nothing of what there is to send.
    running: HashMap<RequestNumber, Option<Instant>>,
    next: RequestNumber,
    /// When the last request began or ended.
    changed_at: Instant,
}

/// Requests in progress on one connection.
#[derive(Debug, Clone)]
pub struct RequestCount {
    place: Arc<ConnectionPlace>,
    state: Arc<Mutex<RequestState>>,
}

impl RequestCount {
    /// The count of a connection without requests.
    #[must_use]
    pub fn new(place: &Arc<ConnectionPlace>) -> Self {
        let state = RequestState {
            running: HashMap::new(),
            next: 0,
            changed_at: Instant::now(),
        };
        Self {
            place: Arc::clone(place),
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn state(&self) -> MutexGuard<'_, RequestState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a request; it ends when the result is dropped.
    #[must_use]
    pub fn begin(&self) -> RunningRequest {
        let mut state = self.state();
        let number = state.next;
        state.next += 1;
        state.running.insert(number, None);
        state.changed_at = Instant::now();
        if state.running.len() == 1 {
            self.place.set_state(ConnectionState::Busy);
        }
        RunningRequest {
            count: self.clone(),
            number,
        }
    }

    fn end(&self, number: RequestNumber) {
        let mut state = self.state();
        state.running.remove(&number);
        state.changed_at = Instant::now();
        if state.running.is_empty() {
            self.place.set_state(ConnectionState::Idle);
        }
    }

    /// Completes once no request has been in progress for `limit`.
    pub async fn idle(&self, limit: Duration) {
        loop {
            let wait = {
                let state = self.state();
                let idle_time = state.changed_at.elapsed();
                match (state.running.is_empty(), limit.checked_sub(idle_time)) {
                    (true, None | Some(Duration::ZERO)) => return,
                    (true, Some(left)) => left,
                    // The time begins with the end of the request.
                    (false, _) => limit,
                }
            };
            tokio::time::sleep(wait).await;
        }
    }

    /// Completes once the client has taken nothing of a response for `limit`.
    pub async fn unread(&self, limit: Duration) {
        loop {
            let oldest = self.state().running.values().flatten().min().copied();
            let unread_time = oldest.map_or(Duration::ZERO, |since| since.elapsed());
            let left = limit.saturating_sub(unread_time);
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left).await;
        }
    }
}

/// A request in progress.
#[derive(Debug)]
pub struct RunningRequest {
    count: RequestCount,
    number: RequestNumber,
}

impl RunningRequest {
    /// Records whether there is something to send that the client has not taken.
    fn set_unread(&self, is_unread: bool) {
        let since = is_unread.then(Instant::now);
        self.count.state().running.insert(self.number, since);
    }

    /// A body that keeps the request and `guard` until it has been sent or given up.
    #[must_use]
    pub fn until_sent<G>(self, body: WebBody, guard: G) -> RunningBody<G> {
        self.set_unread(true);
        RunningBody {
            body,
            rest: Bytes::new(),
            request: self,
            _guard: guard,
        }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.count.end(self.number);
    }
}

/// The body of a response that is being sent. The HTTP library asks for more of it when the client has taken what came
/// before, or there is room for it.
#[derive(Debug)]
pub struct RunningBody<G> {
    body: WebBody,
    /// End of what the body has given out, which is handed on last.
    rest: Bytes,
    request: RunningRequest,
    _guard: G,
}

impl<G: Unpin> Body for RunningBody<G> {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = &mut *self;
        if !this.rest.is_empty() {
            this.request.set_unread(true);
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut this.rest)))));
        }
        let polled = Pin::new(&mut this.body).poll_frame(context);
        this.request.set_unread(polled.is_ready());
        if !this.body.is_end_stream() {
            return polled;
        }
        polled.map_ok(|frame| frame.map_data(|data| hold_back(data, &mut this.rest)))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        if self.rest.is_empty() {
            return self.body.size_hint();
        }
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

/// The start of `data`, whose end stays in `rest`. The library keeps what is handed to it last after the response counts
/// as sent: a client with HTTP/2 that lets one byte be sent would have it keep all of a short response.
fn hold_back(mut data: Bytes, rest: &mut Bytes) -> Bytes {
    if data.len() > LAST_BYTES {
        *rest = data.split_off(data.len() - LAST_BYTES);
    }
    data
}
