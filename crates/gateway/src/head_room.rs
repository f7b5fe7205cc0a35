//! Room for heads with many headers, on the connections alone that send them.
//!
//! The HTTP library prepares room for all headers that it may take each time that it reads a head, so room
//! for as many as the configuration allows would cost every request. It starts with room for
//! [`USUAL_LINES`]. A head with more lines is held back before the library has seen too many, and the
//! connection goes on with more room.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Buf as _, Bytes, BytesMut};
use serving::GatewayConfig;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

use crate::usage::ConnectionUsage;

/// Lines of a head that the HTTP library takes with the room that it has by itself.
const USUAL_LINES: usize = 100;

/// Bytes of the shortest header line: a name, a colon and the end of the line.
const MIN_HEADER_BYTES: usize = 4;

/// Headers that a request may have at most. Each takes 64 bytes while a head is read.
const MAX_HEADERS: usize = 16 << 10;

/// Size of a head while no configuration tells the limit, in bytes.
const UNKNOWN_HEAD_BYTES: usize = 16 << 10;

/// Headers that a request may have: as many as fit into the head that the configuration allows.
#[must_use]
pub fn max_headers(config: Option<&GatewayConfig>) -> usize {
    let head_bytes = config.map_or(UNKNOWN_HEAD_BYTES, |config| config.limits.head_bytes);
    (head_bytes / MIN_HEADER_BYTES).clamp(USUAL_LINES, MAX_HEADERS)
}

/// Lines of the head that a connection is receiving.
#[derive(Debug, Clone, Copy, Default)]
struct HeadLines {
    count: usize,
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
}

/// How much room a connection has for heads.
#[derive(Debug)]
pub struct HeadRoom {
    usage: Rc<ConnectionUsage>,
    lines: Cell<HeadLines>,
    /// Whether it has room for as many headers as the configuration allows.
    is_ample: Cell<bool>,
    /// Bytes that the library gets once there is more room.
    held: RefCell<Bytes>,
    exceeded: Notify,
}

impl HeadRoom {
    /// Room of a new connection.
    #[must_use]
    pub fn new(usage: &Rc<ConnectionUsage>) -> Rc<Self> {
        Rc::new(Self {
            usage: Rc::clone(usage),
            lines: Cell::default(),
            is_ample: Cell::default(),
            held: RefCell::default(),
            exceeded: Notify::new(),
        })
    }

    /// Records that a head is complete.
    pub fn head_received(&self) {
        self.lines.set(HeadLines::default());
    }

    /// Completes when a head needs more room.
    pub async fn exceeded(&self) {
        self.exceeded.notified().await;
    }

    /// Passes on what was held back, after bytes that the library had read but not used.
    pub fn extend(&self, unused: &[u8]) {
        self.is_ample.set(true);
        let mut held = self.held.borrow_mut();
        let mut bytes = BytesMut::from(unused);
        bytes.extend_from_slice(&held);
        *held = bytes.freeze();
    }

    /// Whether the library has no room for what was received.
    fn is_exceeded(&self, received: &[u8]) -> bool {
        if self.is_ample.get() || self.usage.is_in_flight() {
            return false;
        }
        let mut lines = self.lines.get();
        lines.add(received);
        self.lines.set(lines);
        lines.count > USUAL_LINES
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
}

impl<T: AsyncRead + Unpin> AsyncRead for HeadStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let this = &mut *self;
        let mut held = this.room.held.borrow_mut();
        if !held.is_empty() {
            if !this.room.is_ample.get() {
                // The connection is about to be given more room, which wakes its task.
                return Poll::Pending;
            }
            let count = held.len().min(buffer.remaining());
            buffer.put_slice(&held[..count]);
            held.advance(count);
            return Poll::Ready(Ok(()));
        }
        let start = buffer.filled().len();
        std::task::ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
        if this.room.is_exceeded(&buffer.filled()[start..]) {
            *held = Bytes::copy_from_slice(&buffer.filled()[start..]);
            buffer.set_filled(start);
            this.room.exceeded.notify_one();
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
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
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
