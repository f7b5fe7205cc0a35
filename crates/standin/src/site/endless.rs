//! An instance of a plain service whose responses never end.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;

use super::store::SiteStore;

/// Where a response never ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessKind {
    /// In a line of its head.
    HeaderLine,
    /// In the number of its headers.
    Headers,
    /// In interim responses before it.
    Interim,
    /// In the size of a chunk of a success.
    ChunkSize,
    /// In the body of a success.
    Body,
    /// In the body of a rejection.
    Rejection,
    /// In bytes after a complete response.
    Extra,
    /// It is no response.
    Garbage,
}

impl EndlessKind {
    /// What is sent once, and what is repeated after it. `id` is the id of the request.
    fn bytes(self, id: &str) -> (String, &'static str) {
        let signed = format!("x-request-id: {id}\r\nx-response-signature: signed\r\n");
        let chunked = "transfer-encoding: chunked\r\n\r\n";
        match self {
            Self::HeaderLine => ("HTTP/1.1 200 OK\r\nx-long: ".to_owned(), "x"),
            Self::Headers => ("HTTP/1.1 200 OK\r\n".to_owned(), "a: b\r\n"),
            Self::Interim => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n"),
            Self::ChunkSize => (format!("HTTP/1.1 200 OK\r\n{signed}{chunked}"), "0"),
            Self::Body => (
                format!("HTTP/1.1 200 OK\r\n{signed}{chunked}"),
                "1\r\nx\r\n",
            ),
            Self::Rejection => {
                let head = "HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\n";
                (format!("{head}{chunked}"), "1\r\nx\r\n")
            }
            Self::Extra => {
                let head = format!("HTTP/1.1 200 OK\r\n{signed}content-length: 7\r\n\r\nreceipt");
                (head, "x")
            }
            Self::Garbage => (String::new(), "x"),
        }
    }
}

/// Bytes that a fast instance writes at once.
const FAST_WRITE_BYTES: usize = 64 << 10;

/// One such instance; dropping it closes its listener.
#[derive(Debug)]
pub struct EndlessInstance {
    open: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Drop for EndlessInstance {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl EndlessInstance {
    /// Starts an instance of the service `records` and registers it.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(store: &SiteStore, id: &str, kind: EndlessKind) -> std::io::Result<Self> {
        Self::start_with(store, ("records", id), kind, 1)
    }

    /// Starts an instance of another service, which always has bytes ready, and registers it.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start_fast(
        store: &SiteStore,
        service: &str,
        id: &str,
        kind: EndlessKind,
    ) -> std::io::Result<Self> {
        Self::start_with(store, (service, id), kind, FAST_WRITE_BYTES)
    }

    fn start_with(
        store: &SiteStore,
        (service, id): (&str, &str),
        kind: EndlessKind,
        write_bytes: usize,
    ) -> std::io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let listener = socket.listen(64)?;
        let address = listener.local_addr()?;
        let open = Arc::<AtomicUsize>::default();
        let opened = Arc::clone(&open);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let opened = Arc::clone(&opened);
                tokio::spawn(async move {
                    opened.fetch_add(1, Ordering::Relaxed);
                    // It ends when the other side closes the connection.
                    drop(respond(stream, kind, write_bytes).await);
                    opened.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        let row = json!({
            "service": service, "address": address.to_string(), "zone": "z0", "version": "v1",
            "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
        });
        store.put("servers", id, row.to_string().as_bytes());
        Ok(Self { open, task })
    }

    /// Returns the number of its open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

async fn respond(
    mut stream: TcpStream,
    kind: EndlessKind,
    write_bytes: usize,
) -> std::io::Result<()> {
    let mut request = Vec::new();
    while !request.windows(4).any(|end| end == b"\r\n\r\n") {
        if stream.read_buf(&mut request).await? == 0 {
            return Ok(());
        }
    }
    let head = String::from_utf8_lossy(&request).into_owned();
    let lines = head.lines().filter_map(|line| line.split_once(": "));
    let mut ids = lines.filter(|(name, _)| name.eq_ignore_ascii_case("x-request-id"));
    let id = ids.next().map_or("", |(_, id)| id);
    let (once, repeated) = kind.bytes(id);
    stream.write_all(once.as_bytes()).await?;
    let repeated = repeated.repeat(write_bytes.div_ceil(repeated.len()));
    loop {
        stream.write_all(repeated.as_bytes()).await?;
    }
}
