//! TCP proxies in front of all targets, which partition the nodes behind them from the targets.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::node::wait_for;
use crate::site::TestSite;

/// Length of the accept queue, which is filled to lose new connections.
const BACKLOG: u32 = 1;

/// The accept queue is full when a connection isn't established within this time.
const QUEUE_FULL_TIMEOUT: Duration = Duration::from_millis(50);

/// How a network partition shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartitionKind {
    /// There is none.
    Healed,
    /// Packets are lost: open connections stay silent, new ones are not established.
    Silent,
    /// Open connections are reset, new ones refused.
    Reset,
    /// Open connections are reset when the next byte passes, new ones refused.
    ResetOnUse,
    /// Open connections work, new ones are refused.
    RefusesNew,
}

/// Proxies in front of all targets of a site.
pub struct TargetProxies {
    /// Address of the store as the nodes behind the proxies read it.
    pub store: SocketAddr,
    kind: watch::Sender<PartitionKind>,
    /// Number of proxies.
    count: usize,
    /// Number of those that refuse new connections.
    refusing: Arc<AtomicUsize>,
}

impl TargetProxies {
    /// Starts a proxy for each target of the site.
    pub fn start(site: &TestSite) -> Self {
        let (kind, watched) = watch::channel(PartitionKind::Healed);
        let mut addresses = Vec::new();
        let refusing = Arc::<AtomicUsize>::default();
        for target in site.target_addresses() {
            let listener = listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("a free port");
            let address = listener.local_addr().expect("listener has an address");
            addresses.push((target, address));
            let refusing = Arc::clone(&refusing);
            tokio::spawn(run_proxy(target, listener, watched.clone(), refusing));
        }
        let store = site.store.serve_view(&addresses).expect("store starts");
        Self {
            store,
            kind,
            count: addresses.len(),
            refusing,
        }
    }

    /// Partitions the nodes behind the proxies from all targets, or heals the partition.
    pub async fn set(&self, kind: PartitionKind) {
        // A partition cuts all paths at once. If one proxy reset its connections while another still took new
        // ones, a stream could be moved to a connection that breaks as well.
        if matches!(kind, PartitionKind::Reset | PartitionKind::ResetOnUse) {
            self.kind.send_replace(PartitionKind::RefusesNew);
            wait_for("all proxies to refuse", || {
                self.refusing.load(Ordering::Relaxed) == self.count
            })
            .await;
        }
        self.kind.send_replace(kind);
        // The proxies take notice, and fill their accept queues.
        tokio::time::sleep(QUEUE_FULL_TIMEOUT * 4).await;
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    bind(address)?.listen(BACKLOG)
}

/// A socket that keeps its port from others while it does not listen: connections to it are refused.
fn bind(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn run_proxy(
    target: SocketAddr,
    listener: TcpListener,
    mut kind: watch::Receiver<PartitionKind>,
    refusing: Arc<AtomicUsize>,
) {
    let address = listener.local_addr().expect("listener has an address");
    let _reservation = bind(address).expect("the port can be shared");
    let mut listener = Some(listener);
    loop {
        let now = *kind.borrow_and_update();
        match now {
            PartitionKind::Healed => {
                let open = match listener.take() {
                    Some(open) => open,
                    None => listen(address).expect("the port is still free"),
                };
                while let Some(stream) = accept_until_changed(&open, &mut kind).await {
                    tokio::spawn(carry(stream, target, kind.clone()));
                }
                listener = Some(open);
            }
            PartitionKind::Silent => {
                let _queued = fill_queue(address).await;
                if kind.changed().await.is_err() {
                    return;
                }
                // Those that were not accepted yet would be served late.
                listener = None;
            }
            PartitionKind::Reset | PartitionKind::ResetOnUse | PartitionKind::RefusesNew => {
                listener = None;
                refusing.fetch_add(1, Ordering::Relaxed);
                let changed = kind.changed().await;
                refusing.fetch_sub(1, Ordering::Relaxed);
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

/// Next connection; `None` once the partition has changed.
async fn accept_until_changed(
    listener: &TcpListener,
    kind: &mut watch::Receiver<PartitionKind>,
) -> Option<TcpStream> {
    tokio::select! {
        biased;
        _ = kind.wait_for(|kind| *kind != PartitionKind::Healed) => None,
        accepted = listener.accept() => accepted.ok().map(|(stream, _)| stream),
    }
}

async fn fill_queue(address: SocketAddr) -> Vec<TcpStream> {
    let mut queued = Vec::new();
    loop {
        let connecting = TcpStream::connect(address);
        match tokio::time::timeout(QUEUE_FULL_TIMEOUT, connecting).await {
            Ok(Ok(stream)) => queued.push(stream),
            Ok(Err(_)) | Err(_) => return queued,
        }
    }
}

async fn carry(stream: TcpStream, target: SocketAddr, kind: watch::Receiver<PartitionKind>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // Dropping the stream resets the connection.
    drop(stream.set_zero_linger());
    let (client_reader, client_writer) = stream.into_split();
    let (server_reader, server_writer) = server.into_split();
    let mut reset = kind.clone();
    tokio::select! {
        () = copy(client_reader, server_writer, kind.clone()) => {}
        () = copy(server_reader, client_writer, kind) => {}
        _ = reset.wait_for(|kind| *kind == PartitionKind::Reset) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut kind: watch::Receiver<PartitionKind>,
) {
    let mut buffer = vec![0; 8 << 10];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        drop(kind.wait_for(|kind| *kind != PartitionKind::Silent).await);
        if *kind.borrow() == PartitionKind::ResetOnUse {
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
