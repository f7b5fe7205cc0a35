//! What of a request's head a connection takes in.
//!
//! The HTTP library prepares room for all headers that it may take each time that it reads a head, so room
//! for as many as the configuration allows would cost every request. It starts with room for
//! [`USUAL_LINES`]. A head with more lines is held back before the library has seen too many, and the
//! connection goes on with more room, once the node may hold what such a head takes.
//!
//! What of a head has come is held for its client: its start without being counted, since every connection may have
//! that, and what follows like all else that is held for clients.
//!
//! Where a head begins only the library knows: a client may send the next request before it has the response to the
//! last one, and the library may have taken in the start of it with the end of a body. If anything were left out or
//! counted from elsewhere, a line end in the middle of a head would pass for an empty line before it, and two lines for
//! one. So the lines are counted from where the library has used all that it took in. If it may hold the start of a
//! head, the connection is taken apart to learn what it holds, and the head is read from there.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf as _, Bytes, BytesMut};
use hyper::server::conn::http1::Builder;
use tokio::io::ReadBuf;
use tokio::sync::Notify;

use crate::head_lines::HeadLines;
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

/// Why a connection is taken apart before the HTTP library reads on.
#[derive(Debug, Clone, Copy)]
pub enum HeadInterrupt {
    /// The head needs this room.
    Room(HeadCapacity),
    /// The library may hold the start of the head.
    Position,
}

/// What a connection waits for before the HTTP library reads on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PendingInterrupt {
    Room,
    Position,
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
    /// Bytes that the library gets once there is more room. Their lines are counted.
    held: RefCell<Bytes>,
    /// Bytes that the library gets as if they had just come: what it held when the connection was taken apart, and what
    /// came then.
    returned: RefCell<Bytes>,
    /// Bytes that the library has taken in beyond the requests that it has read, less than none while it reads a body;
    /// `None` if that is not known.
    surplus: Cell<Option<i64>>,
    /// Whether the library has read no request since the connection was taken apart.
    is_reassembled: Cell<bool>,
    interrupt: Cell<Option<PendingInterrupt>>,
    interrupted: Notify,
    /// The last request, until its response is written.
    running: RefCell<Option<Rc<RequestGuard>>>,
    /// Whether its response ends with the connection.
    is_unframed: Cell<bool>,
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
            returned: RefCell::default(),
            surplus: Cell::new(Some(0)),
            is_reassembled: Cell::default(),
            interrupt: Cell::default(),
            interrupted: Notify::new(),
            running: RefCell::default(),
            is_unframed: Cell::default(),
        })
    }

    /// Records that a head with this number of headers is complete, whose body has this length if it is known. The
    /// request counts as in flight until the result is dropped and its response is written.
    #[must_use]
    pub fn head_received(&self, headers: usize, body_bytes: Option<u64>) -> Rc<RequestGuard> {
        // A head that the library has found in what it held has no lines here, and ends nobody knows where.
        let surplus = self.surplus.get().filter(|_| self.lines.take().is_complete);
        let body_bytes = body_bytes.and_then(|bytes| i64::try_from(bytes).ok());
        self.surplus
            .set(surplus.zip(body_bytes).map(|(taken, used)| taken - used));
        self.is_reassembled.set(false);
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

    /// Records that the response of the request in flight has neither a length nor chunks: it ends with the connection.
    pub fn begin_unframed(&self) {
        self.is_unframed.set(true);
    }

    /// Whether such a response is not written to its end.
    pub fn is_unframed(&self) -> bool {
        self.is_unframed.get()
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
            self.is_unframed.set(false);
        }
    }

    /// Whether the head that is being received takes longer than the configuration allows.
    #[must_use]
    pub fn is_late(&self) -> bool {
        let limit = self.node.head_timeout() + HEAD_TIMEOUT_MARGIN;
        let began_at = self.began_at.get();
        began_at.is_some_and(|began_at| self.node.now().saturating_sub(began_at) > limit)
    }

    /// Whether the library waits for the first byte since the connection was taken apart. It does not close such a
    /// connection by itself, since it takes it for a new one.
    #[must_use]
    pub fn awaits_first_byte(&self) -> bool {
        self.is_reassembled.get() && !self.usage.is_in_flight() && self.lines.get().bytes == 0
    }

    /// Completes when the connection is to be taken apart before the library reads on; if a head needs more room, once
    /// the node may hold what it takes.
    pub async fn interrupted(&self) -> HeadInterrupt {
        let pending = loop {
            match self.interrupt.get() {
                Some(pending) => break pending,
                None => self.interrupted.notified().await,
            }
        };
        if pending == PendingInterrupt::Position {
            return HeadInterrupt::Position;
        }
        while !self.client.make_room() {
            tokio::time::sleep(ROOM_RETRY_INTERVAL).await;
        }
        HeadInterrupt::Room(HeadCapacity::ample(&self.node))
    }

    /// Goes on after a connection was taken apart, with the bytes that the library had taken in but not used.
    pub fn resume(&self, interrupt: HeadInterrupt, unused: &[u8]) {
        self.interrupt.set(None);
        match interrupt {
            HeadInterrupt::Room(capacity) => {
                self.capacity.set(capacity);
                self.count(capacity.lines * HEADER_COST);
                prepend(unused, &self.held);
            }
            HeadInterrupt::Position => {
                self.lines.set(HeadLines::default());
                self.surplus.set(Some(0));
                self.is_reassembled.set(true);
                prepend(unused, &self.returned);
            }
        }
    }

    fn count(&self, bytes: usize) {
        self.counted.set(self.counted.get() + bytes);
        self.client.hold(bytes);
    }

    fn add_surplus(&self, bytes: usize) {
        let bytes = i64::try_from(bytes).ok();
        let surplus = self.surplus.get().zip(bytes);
        self.surplus.set(surplus.map(|(taken, more)| taken + more));
    }

    fn interrupt(&self, pending: PendingInterrupt) {
        self.interrupt.set(Some(pending));
        self.interrupted.notify_one();
    }

    /// Whether the connection is about to be taken apart, so that the library must not read on.
    pub fn is_interrupted(&self) -> bool {
        self.interrupt.get().is_some()
    }

    /// Gives the library bytes that were held back for more room; returns whether there were any.
    pub fn fill_held(&self, buffer: &mut ReadBuf<'_>) -> bool {
        fill(buffer, &self.held)
    }

    /// Gives the library bytes that it held before; returns whether there were any.
    pub fn fill_returned(&self, buffer: &mut ReadBuf<'_>) -> bool {
        fill(buffer, &self.returned)
    }

    /// Whether a head is about to begin of which the library holds the start.
    pub fn must_reposition(&self) -> bool {
        let holds_start = self.begins_head() && self.surplus.get().is_some_and(|bytes| bytes > 0);
        if holds_start {
            self.interrupt(PendingInterrupt::Position);
        }
        holds_start
    }

    fn begins_head(&self) -> bool {
        !self.usage.is_in_flight() && self.lines.get().bytes == 0
    }

    /// Whether there is no room for more of a head than its start.
    pub fn must_wait(&self) -> bool {
        let has_start = self.lines.get().bytes >= START_BYTES;
        if !has_start || self.usage.is_in_flight() || self.client.make_room() {
            return false;
        }
        self.client.wait_for_room();
        true
    }

    /// Whether the library has the whole request in flight and nothing more, so that it only looks for the end of the
    /// connection.
    pub fn has_whole_request(&self) -> bool {
        self.usage.is_in_flight() && self.surplus.get() == Some(0)
    }

    /// Whether bytes wait that the library has not got.
    pub fn has_returned(&self) -> bool {
        !self.returned.borrow().is_empty()
    }

    /// Keeps what has just come, from `start` on, until the library reads the next head.
    pub fn keep(&self, buffer: &mut ReadBuf<'_>, start: usize) {
        prepend(&buffer.filled()[start..], &self.returned);
        buffer.set_filled(start);
    }

    /// Takes in what has just come, from `start` on; returns whether the library may have it. What is left of it may be
    /// nothing.
    pub fn take_in(&self, buffer: &mut ReadBuf<'_>, start: usize) -> bool {
        if self.usage.is_in_flight() {
            self.add_surplus(buffer.filled().len() - start);
            return true;
        }
        if self.begins_head() && self.surplus.get() != Some(0) {
            self.keep(buffer, start);
            self.interrupt(PendingInterrupt::Position);
            return false;
        }
        self.skip_empty_lines(buffer, start);
        let received = &buffer.filled()[start..];
        if received.is_empty() || self.receive(received) {
            return true;
        }
        *self.held.borrow_mut() = Bytes::copy_from_slice(received);
        buffer.set_filled(start);
        self.interrupt(PendingInterrupt::Room);
        false
    }

    /// Counts bytes of a head; returns whether the library has room for them.
    fn receive(&self, received: &[u8]) -> bool {
        let mut lines = self.lines.get();
        let before = lines.bytes.max(START_BYTES);
        let beyond = lines.add(received);
        self.lines.set(lines);
        self.add_surplus(beyond);
        if self.began_at.get().is_none() {
            self.began_at.set(Some(self.node.now()));
            self.client.set_read_phase(Some(ReadPhase::Head));
        }
        self.count(lines.bytes.saturating_sub(before));
        let capacity = self.capacity.get();
        // A head that is larger than the configuration allows is left to the library, which refuses it.
        let has_grown = self.node.head_bytes() > capacity.bytes;
        lines.count <= capacity.lines && !(has_grown && lines.bytes > capacity.bytes)
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

/// Moves waiting bytes into a buffer; returns whether there were any.
fn fill(buffer: &mut ReadBuf<'_>, waiting: &RefCell<Bytes>) -> bool {
    let mut waiting = waiting.borrow_mut();
    if waiting.is_empty() {
        return false;
    }
    let count = waiting.len().min(buffer.remaining());
    buffer.put_slice(&waiting[..count]);
    waiting.advance(count);
    if waiting.is_empty() {
        *waiting = Bytes::new();
    }
    true
}

/// Puts bytes before those that wait.
fn prepend(first: &[u8], waiting: &RefCell<Bytes>) {
    let mut waiting = waiting.borrow_mut();
    let mut bytes = BytesMut::with_capacity(first.len() + waiting.len());
    bytes.extend_from_slice(first);
    bytes.extend_from_slice(&waiting);
    *waiting = bytes.freeze();
}
