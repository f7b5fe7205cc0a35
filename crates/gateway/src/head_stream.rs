//! The bytes that the HTTP library of a client connection reads and writes.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::head_room::HeadRoom;

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
        let room = &this.room;
        // A connection that is taken apart wakes its task.
        if room.is_interrupted() {
            return Poll::Pending;
        }
        if room.fill_held(buffer) {
            return Poll::Ready(Ok(()));
        }
        if room.must_reposition() || room.must_wait() {
            return Poll::Pending;
        }
        let start = buffer.filled().len();
        if room.has_whole_request() {
            // The library asks again once the response is written.
            if room.has_returned() {
                return Poll::Pending;
            }
            std::task::ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
            let is_end = buffer.filled().len() == start;
            if is_end {
                return Poll::Ready(Ok(()));
            }
            room.keep(buffer, start);
            return Poll::Pending;
        }
        loop {
            if !room.fill_returned(buffer) {
                std::task::ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
            }
            let is_end = buffer.filled().len() == start;
            if is_end {
                return Poll::Ready(Ok(()));
            }
            if !room.take_in(buffer, start) {
                return Poll::Pending;
            }
            let is_empty = buffer.filled().len() == start;
            if !is_empty {
                return Poll::Ready(Ok(()));
            }
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
