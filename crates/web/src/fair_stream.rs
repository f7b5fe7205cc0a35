//! Streams that give other tasks their turn however fast the other side sends.
//!
//! The HTTP libraries read on for as long as bytes are there, and some loops over a few kinds of bytes end with none of
//! them: the size of a chunk, interim responses. On a runtime with one thread, no timer fires and no other connection
//! is served meanwhile, and one peer that sends without end stops the process for all.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, ReadBuf, Take};

/// Bytes that are read of a connection before other tasks get their turn. A byte of a chunk's size takes the library
/// some 50 ns, so a turn takes less than half a millisecond.
const BYTES_PER_TURN: u64 = 8 << 10;

/// Whether bytes have been there at each read of a stream for a whole turn or longer.
#[derive(Debug, Clone, Default)]
pub struct InputFlow(Arc<AtomicBool>);

impl InputFlow {
    /// Whether the stream has not been waited for since the last whole turn.
    #[must_use]
    pub fn is_constant(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set_constant(&self, is_constant: bool) {
        self.0.store(is_constant, Ordering::Relaxed);
    }
}

/// A stream of which a bounded number of bytes is read in one turn of its task.
#[derive(Debug)]
pub struct FairStream<T> {
    /// The stream up to the end of this turn. It reads into memory as it is: memory that is cleared for each read is
    /// taken by a connection on which nothing comes.
    stream: Take<T>,
    flow: InputFlow,
}

impl<T: AsyncRead> FairStream<T> {
    /// Wraps a stream.
    pub fn new(stream: T) -> Self {
        Self {
            stream: stream.take(BYTES_PER_TURN),
            flow: InputFlow::default(),
        }
    }

    /// The stream.
    #[must_use]
    pub fn get_ref(&self) -> &T {
        self.stream.get_ref()
    }
}

impl<T> FairStream<T> {
    /// How its bytes come, for the task that reads it.
    #[must_use]
    pub fn flow(&self) -> InputFlow {
        self.flow.clone()
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for FairStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let this = &mut *self;
        if this.stream.limit() == 0 {
            this.stream.set_limit(BYTES_PER_TURN);
            this.flow.set_constant(true);
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let polled = Pin::new(&mut this.stream).poll_read(context, buffer);
        if polled.is_pending() {
            this.stream.set_limit(BYTES_PER_TURN);
            this.flow.set_constant(false);
        }
        polled
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncWrite for FairStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_shutdown(context)
    }
}
