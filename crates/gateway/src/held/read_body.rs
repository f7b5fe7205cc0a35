//! Bodies that are read to their end before they are passed on, counted while they are read.

use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::client::ReadPhase;
use super::{ClientHold, FixedHold, TOO_MUCH_HELD};

/// Memory that the HTTP library takes for a body that comes in pieces, beyond what every connection has: a buffer that
/// it reads into, and one with a piece that has not been asked for yet.
const READ_BUFFER_BYTES: usize = 24 << 10;

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum HeldBodyError {
    /// The client was cut off, since the node holds too many bytes.
    Cut,
    /// The connection failed.
    Broken(hyper::Error),
}

impl fmt::Display for HeldBodyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cut => formatter.write_str(TOO_MUCH_HELD),
            Self::Broken(error) => error.fmt(formatter),
        }
    }
}

impl std::error::Error for HeldBodyError {}

/// A body whose bytes are held until it is dropped.
#[derive(Debug)]
pub struct HeldBody<B> {
    inner: B,
    client: Rc<ClientHold>,
    held: usize,
}

impl<B> HeldBody<B> {
    /// Begins to read the body of the current request of a connection.
    #[must_use]
    pub fn of_request(inner: B, client: &Rc<ClientHold>) -> Self {
        Self::new(inner, client, ReadPhase::Request)
    }

    /// Begins to read a target's response to it.
    #[must_use]
    pub fn of_response(inner: B, client: &Rc<ClientHold>) -> Self {
        Self::new(inner, client, ReadPhase::Response)
    }

    /// Goes on counting a body that has been read to its end, for as long as its request runs: it is kept for further
    /// attempts.
    #[must_use]
    pub fn keep(self) -> FixedHold {
        // The client was cut off or has sent everything, so it is not cut off for the body from now on.
        FixedHold::new(&self.client, self.held)
    }

    fn new(inner: B, client: &Rc<ClientHold>, phase: ReadPhase) -> Self {
        client.set_read_phase(Some(phase));
        Self {
            inner,
            client: Rc::clone(client),
            held: 0,
        }
    }
}

impl<B> Drop for HeldBody<B> {
    fn drop(&mut self) {
        self.client.release(self.held);
        self.client.set_read_phase(None);
    }
}

impl<B: Body<Data = Bytes, Error = hyper::Error> + Unpin> Body for HeldBody<B> {
    type Data = Bytes;
    type Error = HeldBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, HeldBodyError>>> {
        let has_room = self.client.make_room();
        if self.client.is_cut() {
            return Poll::Ready(Some(Err(HeldBodyError::Cut)));
        }
        if !has_room && self.held > 0 {
            self.client.wait_for_room();
            return Poll::Pending;
        }
        let frame = std::task::ready!(Pin::new(&mut self.inner).poll_frame(context));
        let Some(frame) = frame else {
            return Poll::Ready(None);
        };
        let frame = frame.map_err(HeldBodyError::Broken)?;
        let mut cost = frame.data_ref().map_or(0, Bytes::len);
        if self.held == 0 && !self.inner.is_end_stream() {
            cost += READ_BUFFER_BYTES;
        }
        self.held += cost;
        self.client.hold(cost);
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
