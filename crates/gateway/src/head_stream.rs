//! The bytes that the HTTP library of a client connection reads and writes.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use web::FairStream;

use crate::head_room::HeadRoom;

/// The stream of a connection, which holds back heads that need more room.
///
/// While a response that ends with its connection is being written, the connection ends with a reset if it is closed,
/// also by the system when the process is killed: an end in order would make the part that is written look whole.
pub struct HeadStream {
    stream: FairStream<TcpStream>,
    room: Rc<HeadRoom>,
    /// Whether the connection ends with a reset if it is closed.
    is_reset_on_close: bool,
}

impl HeadStream {
    /// Wraps a stream.
    pub fn new(stream: FairStream<TcpStream>, room: &Rc<HeadRoom>) -> Self {
        Self {
            stream,
            room: Rc::clone(room),
            is_reset_on_close: false,
        }
    }

    /// Unwraps the stream.
    pub fn into_inner(self) -> FairStream<TcpStream> {
        self.stream
    }

    fn update_close(&mut self) {
        let is_reset = self.room.is_unframed();
        if self.is_reset_on_close == is_reset {
            return;
        }
        // With a linger time of zero, the system drops what it has not sent and resets the connection.
        let linger = is_reset.then_some(Duration::ZERO);
        let set = SockRef::from(self.stream.get_ref()).set_linger(linger);
        // The option can't be set on a connection that has failed, whose client sees that anyway.
        if set.is_ok() {
            self.is_reset_on_close = is_reset;
        }
    }
}

impl AsyncRead for HeadStream {
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

impl AsyncWrite for HeadStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.update_close();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.update_close();
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
        self.update_close();
        Poll::Ready(flushed)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.is_reset_on_close {
            // The library gives up a response, and drops the stream next.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
