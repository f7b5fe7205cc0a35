//! A TCP proxy that cuts a single entry node off from the table.

use std::net::{Ipv4Addr, SocketAddr};

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Forwards connections to an address while it is not cut off.
pub struct TableProxy {
    /// Address to connect to instead of the target.
    pub address: SocketAddr,
    cut: watch::Sender<bool>,
}

impl TableProxy {
    /// Starts forwarding to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("bound");
        let (cut, receiver) = watch::channel(false);
        tokio::spawn(forward(listener, target, receiver));
        Self { address, cut }
    }

    /// Closes every connection and accepts no new one, or forwards connections again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

async fn forward(listener: TcpListener, target: SocketAddr, receiver: watch::Receiver<bool>) {
    while let Ok((mut inbound, _)) = listener.accept().await {
        let mut receiver = receiver.clone();
        tokio::spawn(async move {
            if *receiver.borrow_and_update() {
                return;
            }
            let Ok(mut outbound) = TcpStream::connect(target).await else {
                return;
            };
            tokio::select! {
                _ = copy_bidirectional(&mut inbound, &mut outbound) => {}
                _ = receiver.wait_for(|cut| *cut) => {}
            }
        });
    }
}
