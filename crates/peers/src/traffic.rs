//! Traffic counters of the links.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Counters of all links of a node since it started. Clones share the counters.
#[derive(Debug, Clone, Default)]
pub struct PeerTraffic {
    counters: Arc<TrafficCounters>,
}

#[derive(Debug, Default)]
struct TrafficCounters {
    sent: AtomicU64,
    received: AtomicU64,
    exchanges: AtomicU64,
}

/// A snapshot of the traffic counters. Bytes exclude TCP and IP headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficCounts {
    /// Number of bytes sent.
    pub sent: u64,
    /// Number of bytes received.
    pub received: u64,
    /// Number of digests sent, in requests or responses.
    pub exchanges: u64,
}

impl PeerTraffic {
    /// Returns the current values of the counters.
    #[must_use]
    pub fn counts(&self) -> TrafficCounts {
        TrafficCounts {
            sent: self.counters.sent.load(Ordering::Relaxed),
            received: self.counters.received.load(Ordering::Relaxed),
            exchanges: self.counters.exchanges.load(Ordering::Relaxed),
        }
    }

    /// Counts one digest sent.
    pub fn count_exchange(&self) {
        self.counters.exchanges.fetch_add(1, Ordering::Relaxed);
    }

    /// Wraps a connection to count its bytes.
    #[must_use]
    pub fn wrap(&self, stream: TcpStream) -> CountedStream {
        CountedStream {
            stream,
            traffic: self.clone(),
        }
    }
}

/// A TCP stream that counts the bytes read and written.
#[derive(Debug)]
pub struct CountedStream {
    stream: TcpStream,
    traffic: PeerTraffic,
}

fn count(counter: &AtomicU64, bytes: usize) {
    counter.fetch_add(u64::try_from(bytes).unwrap_or(u64::MAX), Ordering::Relaxed);
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        count(
            &self.traffic.counters.received,
            buffer.filled().len() - before,
        );
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = &polled {
            count(&self.traffic.counters.sent, *written);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
