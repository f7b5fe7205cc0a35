//! A way to the table that can be cut for one entry alone.

use std::net::{Ipv4Addr, SocketAddr};

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Passes connections on to an address until it is cut.
pub struct TableCut {
    /// Where to connect instead.
    pub address: SocketAddr,
    cut: watch::Sender<bool>,
}

impl TableCut {
    /// Starts passing on to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("bound");
        let (cut, cuts) = watch::channel(false);
        tokio::spawn(pass_on(listener, target, cuts));
        Self { address, cut }
    }

    /// Breaks every connection and lets no new one through, or lets them through again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

async fn pass_on(listener: TcpListener, target: SocketAddr, cuts: watch::Receiver<bool>) {
    while let Ok((mut near, _)) = listener.accept().await {
        let mut cuts = cuts.clone();
        tokio::spawn(async move {
            if *cuts.borrow_and_update() {
                return;
            }
            let Ok(mut far) = TcpStream::connect(target).await else {
                return;
            };
            tokio::select! {
                _ = copy_bidirectional(&mut near, &mut far) => {}
                _ = cuts.wait_for(|cut| *cut) => {}
            }
        });
    }
}
