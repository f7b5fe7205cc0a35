//! Response bodies that are held until their clients take them.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use web::ConnectionCloser;
use web::body::WebBody;

use crate::held_memory::RequestRoom;

/// Bytes that are handed to the HTTP library at once. It asks for more when it has written them, or has room for them.
const PIECE_BYTES: usize = 8 << 10;

/// What counts as held for a client that has not taken anything of a stream yet.
const BEGUN_BYTES: usize = 1;

/// The body of a response, with the room of its request.
#[derive(Debug)]
pub struct HeldResponse {
    body: WebBody,
    /// What of it has not been handed on.
    rest: Bytes,
    /// Bytes that are held and were handed on, or stand for what was not asked for yet.
    passed: usize,
    is_whole: bool,
    room: RequestRoom,
}

impl HeldResponse {
    /// Begins a response. A stream that moves to another replica needs the body of its request again.
    #[must_use]
    pub fn new(body: WebBody, mut room: RequestRoom, closer: ConnectionCloser) -> Self {
        let exact = body.size_hint().exact();
        let is_whole = exact.is_some();
        room.begin_response(closer, !is_whole);
        // Held from the start: a client with HTTP/2 may let nothing be asked of the body.
        let whole = exact.and_then(|bytes| usize::try_from(bytes).ok());
        room.hold(whole.unwrap_or(0) + BEGUN_BYTES);
        Self {
            body,
            rest: Bytes::new(),
            passed: BEGUN_BYTES,
            is_whole,
            room,
        }
    }
}

impl Body for HeldResponse {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = &mut *self;
        let passed = std::mem::take(&mut this.passed);
        if passed > 0 {
            this.room.release(passed);
        }
        if this.rest.is_empty() {
            let Some(Ok(frame)) = ready!(Pin::new(&mut this.body).poll_frame(context)) else {
                return Poll::Ready(None);
            };
            match frame.into_data() {
                Ok(data) => this.rest = data,
                Err(frame) => return Poll::Ready(Some(Ok(frame))),
            }
            if !this.is_whole {
                this.room.hold(this.rest.len());
            }
        }
        let length = this.rest.len().min(PIECE_BYTES);
        this.passed = length;
        Poll::Ready(Some(Ok(Frame::data(this.rest.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
