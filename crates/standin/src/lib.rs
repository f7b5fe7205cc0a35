//! Stand-ins for the outside systems, for tests and examples.
//!
//! Each is a small process of its own; none is part of the product.

pub mod engine;
pub mod hostlist;
pub mod objects;
pub mod options;
pub mod service;
pub mod stack;
pub mod table;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use eyre::WrapErr;
use tokio::net::TcpListener;
use web::{WebHandler, serve_listener};

/// Serves a stand-in until the process is interrupted, and says on standard output where.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn serve_standin<H: WebHandler>(
    name: &str,
    address: Option<SocketAddr>,
    handler: H,
) -> eyre::Result<()> {
    let address = address.unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("{name} can't listen on {address}"))?;
    println!("{name} listens on {}", listener.local_addr()?);
    let stop = async {
        let _ = tokio::signal::ctrl_c().await;
    };
    serve_listener(listener, Arc::new(handler), stop).await;
    Ok(())
}
