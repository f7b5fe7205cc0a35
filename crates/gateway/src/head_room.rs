//! What of a request's head a connection takes in.
//!
//! The HTTP library prepares room for all headers that it may take each time that it reads a head, so room
//! for as many as the configuration allows would cost every request. It starts with room for
//! [`USUAL_LINES`]. A head with more lines is held back before the library has seen too many, and the
//! connection goes on with more room, once the node may hold what such a head takes.
//!
//! What of a head has come is held for its client: its start without being counted, since every connection may have
//! that, and what follows like all else that is held for clients.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Buf as _, Bytes, BytesMut};
use hyper::server::conn::http1::Builder;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

use crate::held::{ClientHold, FixedHold, ROOM_RETRY_INTERVAL, ReadPhase};
use crate::node::{GatewayNode, RequestGuard};
use crate::usage::ConnectionUsage;

/// Lines of a head that the HTTP library takes with the room that it has by itself.
const USUAL_LINES: usize = 100;

/// Bytes of the shortest header line: a name, a colon and the end of the line.
const MIN_HEADER_BYTES: usize = 4;

/// Headers that a request may have at most. Each takes 64 bytes while a head is read.
const MAX_HEADERS: usize = 16 << 10;

/// Memory that a header takes once it is read, in bytes: an entry of the map, its places and what follows a name that
/// comes again.
const HEADER_COST: usize = 128;

/// Smallest buffer of the HTTP library, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// The start of a head that every connection may have, in bytes.
const START_BYTES: usize = MIN_BUFFER_BYTES;

/// Time by which a head may be later than the configuration allows, for what the network and this node delay.
const HEAD_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// Heads that the HTTP library of a connection takes.
#[derive(Debug, Clone, Copy)]
pub struct HeadCapacity {
    lines: usize,
    bytes: usize,
}

impl HeadCapacity {
    /// What a connection begins with.
    #[must_use]
    pub fn usual(node: &GatewayNode) -> Self {
        Self {
            lines: USUAL_LINES,
            bytes: node.head_bytes(),
        }
    }

    /// As many headers as fit into the head that the configuration allows.
    #[must_use]
    pub fn ample(node: &GatewayNode) -> Self {
        let bytes = node.head_bytes();
        let lines = (bytes / MIN_HEADER_BYTES).clamp(USUAL_LINES, MAX_HEADERS);
        Self { lines, bytes }
    }

    /// Sets up the HTTP library. It responds with 431 to a head that is larger.
    pub fn apply(self, builder: &mut Builder) {
        builder
            .max_header_size(self.bytes)
            .max_buf_size(self.bytes.max(MIN_BUFFER_BYTES));
        if self.lines > USUAL_LINES {
            builder.max_headers(self.lines);
        }
    }
}

/// What has come of the head that a connection is receiving.
#[derive(Debug, Clone, Copy, Default)]
struct HeadLines {
    /// Bytes, without empty lines before the head.
    bytes: usize,
    count: usize,
    /// Bytes of empty lines before the head.
    skipped: usize,
    is_line_empty: bool,
    is_complete: bool,
}

impl HeadLines {
    /// Counts the lines in bytes that follow, up to the empty line at the end of the head.
    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.is_complete {
                return;
            }
            self.bytes += 1;
            match byte {
                b'\n' => {
                    self.is_complete = self.is_line_empty && self.count > 0;
                    self.count += 1;
                    self.is_line_empty = true;
                }
                b'\r' => {}
                _ => self.is_line_empty = false,
            }
        }
    }

    /// Number of bytes of empty lines that `bytes` begins with, if the head has not begun. There are no more of them
    /// than a head may have.
    fn skip(&mut self, bytes: &[u8], limit: usize) -> usize {
        if self.bytes > 0 {
            return 0;
        }
        let empty = bytes
            .iter()
            .take_while(|byte| matches!(byte, b'\r' | b'\n'));
        let skipped = empty.count().min(limit.saturating_sub(self.skipped));
        self.skipped += skipped;
        skipped
    }
}

/// How much room a connection has for heads.
#[derive(Debug)]
pub struct HeadRoom {
    node: Rc<GatewayNode>,
    usage: Rc<ConnectionUsage>,
    client: Rc<ClientHold>,
    capacity: Cell<HeadCapacity>,
    lines: Cell<HeadLines>,
    /// When the first byte of the head came that is not complete yet.
    began_at: Cell<Option<Duration>>,
    /// Bytes that the node counts for the head.
    counted: Cell<usize>,
    /// Bytes that the library gets once there is more room.
    held: RefCell<Bytes>,
    is_exceeded: Cell<bool>,
    exceeded: Notify,
    /// The last request, until its response is written.
    running: RefCell<Option<Rc<RequestGuard>>>,
}

impl HeadRoom {
    /// Room of a new connection.
    #[must_use]
    pub fn new(
        node: &Rc<GatewayNode>,
        usage: &Rc<ConnectionUsage>,
        client: &Rc<ClientHold>,
        capacity: HeadCapacity,
    ) -> Rc<Self> {
        Rc::new(Self {
            node: Rc::clone(node),
            usage: Rc::clone(usage),
            client: Rc::clone(client),
            capacity: Cell::new(capacity),
            lines: Cell::default(),
            began_at: Cell::default(),
            counted: Cell::default(),
            held: RefCell::default(),
            is_exceeded: Cell::default(),
            exceeded: Notify::new(),
            running: RefCell::default(),
        })
    }

    /// Records that a head with this number of headers is complete. The request counts as in flight until the result is
    /// dropped and its response is written.
    #[must_use]
    pub fn head_received(&self, headers: usize) -> Rc<RequestGuard> {
        self.lines.set(HeadLines::default());
        self.began_at.set(None);
        self.client.release(self.counted.take());
        self.client.set_read_phase(None);
        // The library keeps its room, but a further head with many lines has to wait for what it takes again.
        let mut capacity = self.capacity.get();
        capacity.lines = USUAL_LINES;
        self.capacity.set(capacity);
        let counted = if headers > USUAL_LINES { headers } else { 0 };
        let head = FixedHold::new(&self.client, counted * HEADER_COST);
        let running = Rc::new(RequestGuard::new(&self.node, &self.usage, head));
        *self.running.borrow_mut() = Some(Rc::clone(&running));
        running
    }

    /// Records that all that the library had to write is written. The request ends if its response was complete.
    pub fn record_flushed(&self) {
        let mut running = self.running.borrow_mut();
        // Whatever still makes the response holds the request as well.
        if running
            .as_ref()
            .is_some_and(|running| Rc::strong_count(running) == 1)
        {
            *running = None;
        }
    }

    /// Whether the head that is being received takes longer than the configuration allows.
    #[must_use]
    pub fn is_late(&self) -> bool {
        let limit = self.node.head_timeout() + HEAD_TIMEOUT_MARGIN;
        let began_at = self.began_at.get();
        began_at.is_some_and(|began_at| self.node.now().saturating_sub(began_at) > limit)
    }

    /// Completes when a head needs more room and the node may hold what it takes.
    pub async fn granted(&self) -> HeadCapacity {
        while !self.is_exceeded.get() {
            self.exceeded.notified().await;
        }
        while !self.client.make_room() {
            tokio::time::sleep(ROOM_RETRY_INTERVAL).await;
        }
        HeadCapacity::ample(&self.node)
    }

    /// Goes on with more room. What was held back is passed on after bytes that the library had read but not used.
    pub fn extend(&self, capacity: HeadCapacity, unused: &[u8]) {
        self.capacity.set(capacity);
        self.is_exceeded.set(false);
        self.count(capacity.lines * HEADER_COST);
        let mut held = self.held.borrow_mut();
        let mut bytes = BytesMut::with_capacity(unused.len() + held.len());
        bytes.extend_from_slice(unused);
        bytes.extend_from_slice(&held);
        *held = bytes.freeze();
    }

    fn count(&self, bytes: usize) {
        self.counted.set(self.counted.get() + bytes);
        self.client.hold(bytes);
    }

    /// Whether there is no room for more of a head than its start.
    fn must_wait(&self) -> bool {
        let has_start = self.lines.get().bytes >= START_BYTES;
        if !has_start || self.usage.is_in_flight() || self.client.make_room() {
            return false;
        }
        self.client.wait_for_room();
        true
    }

    /// Takes bytes in; returns whether the library has room for them.
    fn receive(&self, received: &[u8]) -> bool {
        let mut lines = self.lines.get();
        let before = lines.bytes.max(START_BYTES);
        lines.add(received);
        self.lines.set(lines);
        if self.began_at.get().is_none() {
            self.began_at.set(Some(self.node.now()));
            self.client.set_read_phase(Some(ReadPhase::Head));
        }
        self.count(lines.bytes.saturating_sub(before));
        let capacity = self.capacity.get();
        // A head that is larger than the configuration allows is left to the library, which refuses it.
        let has_grown = self.node.head_bytes() > capacity.bytes;
        let is_exceeded =
            lines.count > capacity.lines || (has_grown && lines.bytes > capacity.bytes);
        if is_exceeded {
            self.is_exceeded.set(true);
            self.exceeded.notify_one();
        }
        !is_exceeded
    }

    /// Leaves out empty lines before a head.
    fn skip_empty_lines(&self, buffer: &mut ReadBuf<'_>, start: usize) {
        let mut lines = self.lines.get();
        let filled = buffer.filled_mut();
        let skipped = lines.skip(&filled[start..], self.capacity.get().bytes);
        self.lines.set(lines);
        filled.copy_within(start + skipped.., start);
        let length = filled.len() - skipped;
        buffer.set_filled(length);
    }
}

/// The stream of a connection, which holds back heads that need more room.
pub struct HeadStream<T> {
    stream: T,
    room: Rc<HeadRoom>,
}

impl<T> HeadStream<T> {
    /// Wraps a stream.
    pub fn new(stream: T, room: &Rc<HeadRoom>) -> Self {
        Self {
            stream,
            room: Rc::clone(room),
        }
    }

    /// Unwraps the stream.
    pub fn into_inner(self) -> T {
        self.stream
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for HeadStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let this = &mut *self;
        if this.room.is_exceeded.get() {
            // The connection is about to be given more room, which wakes its task.
            return Poll::Pending;
        }
        let mut held = this.room.held.borrow_mut();
        if !held.is_empty() {
            let count = held.len().min(buffer.remaining());
            buffer.put_slice(&held[..count]);
            held.advance(count);
            if held.is_empty() {
                *held = Bytes::new();
            }
            return Poll::Ready(Ok(()));
        }
        if this.room.must_wait() {
            return Poll::Pending;
        }
        let start = buffer.filled().len();
        loop {
            std::task::ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
            let is_end = buffer.filled().len() == start;
            if is_end || this.room.usage.is_in_flight() {
                return Poll::Ready(Ok(()));
            }
            this.room.skip_empty_lines(buffer, start);
            let received = &buffer.filled()[start..];
            if received.is_empty() {
                continue;
            }
            if this.room.receive(received) {
                return Poll::Ready(Ok(()));
            }
            *held = Bytes::copy_from_slice(received);
            buffer.set_filled(start);
            return Poll::Pending;
        }
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for HeadStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        // The library flushes only once it has written all that it had.
        let flushed = std::task::ready!(Pin::new(&mut self.stream).poll_flush(context));
        self.room.record_flushed();
        Poll::Ready(flushed)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
