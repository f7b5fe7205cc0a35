//! Response bodies, and reading streams on while their clients are behind.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::Stream;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use super::{ClientHold, HeldBytes};
use crate::node::RequestGuard;
use crate::relay::StreamTruncated;

/// Capacity of the pieces into which events are gathered while the client is behind, in bytes.
const PIECE_BYTES: usize = 4 << 10;

/// Reads of a stream whose bytes are always there after which other tasks get their turn.
const READS_PER_TURN: usize = 16;

/// Interval at which a connection looks for room again. A target waits for some seconds.
pub const ROOM_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A stream that is relayed, and the request that it responds to.
pub struct RelayedStream<S> {
    /// Complete events.
    pub events: S,
    /// Counts the request; it runs until the last piece has been handed to the connection.
    pub running: Rc<RequestGuard>,
}

struct StreamState<S> {
    events: Pin<Box<S>>,
    /// What was read while the client was behind.
    pieces: VecDeque<BytesMut>,
    /// How the stream ended; pieces may be left.
    end: Option<Result<(), StreamTruncated>>,
    /// Whether the connection waits for the next piece. If it does not, its buffer is full.
    is_awaited: bool,
    running: Rc<RequestGuard>,
}

impl<S> Drop for StreamState<S> {
    fn drop(&mut self) {
        self.running.response_ready();
    }
}

impl<S: Stream<Item = Result<Bytes, StreamTruncated>>> StreamState<S> {
    fn poll_events(&mut self, context: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.end.is_some() {
            return Poll::Ready(None);
        }
        let next = std::task::ready!(self.events.as_mut().poll_next(context));
        Poll::Ready(match next {
            Some(Ok(events)) => Some(events),
            Some(Err(truncated)) => {
                self.end = Some(Err(truncated));
                None
            }
            None => {
                self.end = Some(Ok(()));
                None
            }
        })
    }

    /// Next piece for the connection.
    fn poll_piece(
        &mut self,
        client: &Rc<ClientHold>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<HeldBytes, StreamTruncated>>> {
        self.is_awaited = false;
        if let Some(piece) = self.pieces.pop_front() {
            let cost = piece.capacity();
            return Poll::Ready(Some(Ok(client.piece(piece.freeze(), cost))));
        }
        if self.end.is_none() && client.holds_any() && !client.make_room() {
            client.wait_for_room();
            self.is_awaited = true;
            return Poll::Pending;
        }
        match self.poll_events(context) {
            Poll::Ready(Some(events)) => Poll::Ready(Some(Ok(client.hold_piece(events)))),
            Poll::Ready(None) => match self.end {
                Some(Err(truncated)) => Poll::Ready(Some(Err(truncated))),
                _ => Poll::Ready(None),
            },
            Poll::Pending => {
                self.is_awaited = true;
                Poll::Pending
            }
        }
    }

    /// Reads the stream on if its client is behind.
    fn read_on(&mut self, client: &ClientHold, context: &mut Context<'_>) {
        if self.is_awaited || self.end.is_some() {
            return;
        }
        for _ in 0..READS_PER_TURN {
            if !client.make_room() {
                client.wait_for_room();
                return;
            }
            if client.is_cut() {
                return;
            }
            match self.poll_events(context) {
                Poll::Ready(Some(events)) => self.append(client, &events),
                Poll::Ready(None) | Poll::Pending => return,
            }
        }
        context.waker().wake_by_ref();
    }

    fn append(&mut self, client: &ClientHold, events: &[u8]) {
        if let Some(last) = self.pieces.back_mut()
            && last.capacity() - last.len() >= events.len()
        {
            last.extend_from_slice(events);
            return;
        }
        let mut piece = BytesMut::with_capacity(PIECE_BYTES.max(events.len()));
        piece.extend_from_slice(events);
        client.hold(piece.capacity());
        self.pieces.push_back(piece);
    }
}

/// Body of a response to a client.
pub enum ClientBody<S> {
    /// A response that is complete.
    Whole(Full<Bytes>, Rc<ClientHold>),
    /// A response that ends with its connection.
    Unframed {
        /// Its bytes.
        body: Full<Bytes>,
        /// The client for whom they are held.
        client: Rc<ClientHold>,
        /// Its request, which is in flight until the library has taken the whole body.
        _running: Rc<RequestGuard>,
    },
    /// A stream.
    Relayed(RelayedBody<S>),
}

/// Body of a stream; dropping it ends the stream.
pub struct RelayedBody<S> {
    state: Rc<RefCell<StreamState<S>>>,
    client: Rc<ClientHold>,
}

impl<S: Stream<Item = Result<Bytes, StreamTruncated>>> Body for ClientBody<S> {
    type Data = HeldBytes;
    type Error = StreamTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<HeldBytes>, StreamTruncated>>> {
        match &mut *self {
            Self::Whole(body, client) | Self::Unframed { body, client, .. } => {
                let frame = std::task::ready!(Pin::new(body).poll_frame(context));
                let Some(Ok(frame)) = frame.map(|frame: Result<_, Infallible>| frame) else {
                    return Poll::Ready(None);
                };
                let frame = frame.map_data(|bytes| client.hold_piece(bytes));
                client.make_room();
                Poll::Ready(Some(Ok(frame)))
            }
            Self::Relayed(RelayedBody { state, client }) => {
                let piece = state.borrow_mut().poll_piece(client, context);
                piece.map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body, _) => body.is_end_stream(),
            Self::Unframed { .. } | Self::Relayed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body, _) => body.size_hint(),
            Self::Unframed { .. } | Self::Relayed(_) => SizeHint::default(),
        }
    }
}

/// Reads the current stream of a connection on while its client is behind. It is polled by the task of the
/// connection, after the connection itself, so that a stream is never read by two tasks.
pub struct ReadAhead<S> {
    client: Rc<ClientHold>,
    stream: RefCell<Weak<RefCell<StreamState<S>>>>,
}

enum Pause {
    /// The client is to be cut off.
    Cut,
    /// There is no room.
    Full,
}

impl<S: Stream<Item = Result<Bytes, StreamTruncated>>> ReadAhead<S> {
    /// Creates the state of a connection without a stream.
    pub fn new(client: &Rc<ClientHold>) -> Self {
        Self {
            client: Rc::clone(client),
            stream: RefCell::default(),
        }
    }

    /// Body of a complete response.
    pub fn whole(&self, body: Full<Bytes>) -> ClientBody<S> {
        ClientBody::Whole(body, Rc::clone(&self.client))
    }

    /// Body of a response that ends with its connection.
    pub fn unframed(&self, body: Full<Bytes>, running: Rc<RequestGuard>) -> ClientBody<S> {
        ClientBody::Unframed {
            body,
            client: Rc::clone(&self.client),
            _running: running,
        }
    }

    /// Body of a stream, which becomes the current one.
    pub fn relayed(&self, stream: RelayedStream<S>) -> ClientBody<S> {
        let state = Rc::new(RefCell::new(StreamState {
            events: Box::pin(stream.events),
            pieces: VecDeque::new(),
            end: None,
            // It has not been asked for anything yet.
            is_awaited: true,
            running: stream.running,
        }));
        *self.stream.borrow_mut() = Rc::downgrade(&state);
        ClientBody::Relayed(RelayedBody {
            state,
            client: Rc::clone(&self.client),
        })
    }

    /// Reads on; completes when the connection is to be closed, since its client is cut off.
    pub async fn run(&self) {
        loop {
            match std::future::poll_fn(|context| self.poll(context)).await {
                Pause::Cut => return,
                Pause::Full => {
                    tokio::select! {
                        () = tokio::time::sleep(ROOM_RETRY_INTERVAL) => {}
                        () = std::future::poll_fn(|_| self.poll_cut()) => {}
                    }
                }
            }
        }
    }

    fn poll_cut(&self) -> Poll<()> {
        // The task of the connection is woken when the client is cut off.
        if self.client.must_close() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }

    fn poll(&self, context: &mut Context<'_>) -> Poll<Pause> {
        if !self.client.is_bounded() {
            return Poll::Pending;
        }
        self.client.set_task(context);
        if let Some(stream) = self.stream.borrow().upgrade() {
            stream.borrow_mut().read_on(&self.client, context);
        }
        if self.client.must_close() {
            Poll::Ready(Pause::Cut)
        } else if self.client.take_wait() {
            Poll::Ready(Pause::Full)
        } else {
            Poll::Pending
        }
    }
}
