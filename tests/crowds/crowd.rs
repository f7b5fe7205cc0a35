//! A crowd of connections that all send the same and are held open.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream};

use crate::process::unread_bytes;

/// Most bytes that one connection sends.
pub const MOST_BYTES: usize = 512 << 10;

/// Time without progress after which a connection sends no more: the other side does not read on. A process that reads
/// hundreds of connections in turns takes seconds for one round.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for a connection to be established; one that the other side can't accept is left out.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Receive buffer of a connection that reads little, and its segment size.
const LITTLE_BYTES: u32 = 4096;
const SEGMENT_BYTES: u32 = 1400;

/// What each connection of a crowd sends.
#[derive(Debug, Clone, Default)]
pub struct CrowdBytes {
    prefix: Vec<u8>,
    piece: Vec<u8>,
    total: usize,
    is_half_closed: bool,
    reads_little: bool,
}

impl CrowdBytes {
    /// These bytes and nothing more.
    pub fn once(bytes: impl Into<Vec<u8>>) -> Self {
        Self {
            prefix: bytes.into(),
            ..Self::default()
        }
    }

    /// Repeats a piece after the bytes so far, until `total` bytes are sent.
    pub fn then_repeat(mut self, piece: &[u8], total: usize) -> Self {
        // Few large writes: the crowd must not be what takes the machine's time.
        self.piece = piece.repeat((8 << 10) / piece.len() + 1);
        self.total = total;
        self
    }

    /// Has the system of each connection take in little of what comes back, which nobody reads.
    pub fn read_little(mut self) -> Self {
        self.reads_little = true;
        self
    }

    async fn connect(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        if self.reads_little {
            socket.set_recv_buffer_size(LITTLE_BYTES)?;
            // With the segments of the loopback interface the system takes in hundreds of kilobytes.
            SockRef::from(&socket).set_tcp_mss(SEGMENT_BYTES)?;
        }
        socket.connect(address).await
    }

    /// Closes the sending side afterwards.
    pub fn then_half_close(mut self) -> Self {
        self.is_half_closed = true;
        self
    }

    /// Connects and sends as far as the other side reads; returns the open connection.
    async fn send(&self, address: SocketAddr) -> Option<TcpStream> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, self.connect(address));
        let mut stream = connecting.await.ok()?.ok()?;
        self.send_on(&mut stream).await;
        if self.is_half_closed {
            // The other side may have closed the connection already.
            drop(stream.shutdown().await);
        }
        Some(stream)
    }

    /// Sends as far as the other side reads.
    pub async fn send_on(&self, stream: &mut (impl AsyncWrite + Unpin)) {
        if !write_part(stream, &self.prefix).await {
            return;
        }
        let mut sent = self.prefix.len();
        while sent < self.total {
            let part = &self.piece[..self.piece.len().min(self.total - sent)];
            sent += part.len();
            if !write_part(stream, part).await {
                return;
            }
        }
    }
}

/// Whether the other side still reads.
async fn write_part(stream: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> bool {
    let writing = tokio::time::timeout(STALL_TIMEOUT, stream.write_all(bytes));
    matches!(writing.await, Ok(Ok(())))
}

/// Time for which what a process has not read must stay the same for it to count as reading no more.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// Longest wait for that.
const SETTLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Interval between two looks at what has not been read.
const SETTLE_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until the process that listens at `address` reads no more of what the system has received for it.
///
/// The system takes in megabytes for a process, so a crowd has sent everything long before it is read.
pub async fn settle(address: SocketAddr) {
    let began = Instant::now();
    let mut unread = unread_bytes(address.port());
    let mut changed_at = began;
    while changed_at.elapsed() < QUIET_TIME && began.elapsed() < SETTLE_TIMEOUT {
        tokio::time::sleep(SETTLE_INTERVAL).await;
        let now_unread = unread_bytes(address.port());
        if now_unread != unread {
            unread = now_unread;
            changed_at = Instant::now();
        }
    }
}

/// The open connections of a crowd.
#[derive(Debug)]
pub struct Crowd {
    _streams: Vec<TcpStream>,
}

impl Crowd {
    /// Has `count` connections send at once; completes when none sends and the other side reads no more.
    pub async fn gather(address: SocketAddr, count: usize, bytes: &CrowdBytes) -> Self {
        let sending = (0..count).map(|_| {
            let bytes = bytes.clone();
            tokio::spawn(async move { bytes.send(address).await })
        });
        let sent = futures::future::join_all(sending.collect::<Vec<_>>()).await;
        settle(address).await;
        let streams = sent.into_iter().filter_map(|sent| sent.ok().flatten());
        Self {
            _streams: streams.collect(),
        }
    }
}

/// Sends bytes and returns the first line of what comes back, if anything does.
pub async fn first_line(
    mut stream: impl AsyncRead + AsyncWrite + Unpin,
    bytes: &[u8],
) -> Option<String> {
    stream.write_all(bytes).await.ok()?;
    let mut response = Vec::new();
    while !response.contains(&b'\n') {
        if stream.read_buf(&mut response).await.ok()? == 0 {
            return None;
        }
    }
    let text = String::from_utf8_lossy(&response).into_owned();
    text.lines().next().map(str::to_owned)
}
