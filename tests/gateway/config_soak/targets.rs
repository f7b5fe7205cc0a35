//! Addresses of targets that pass from one server to another.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::time::Instant;

use crate::config_history::SERVICES;
use crate::foreign_servers::{ForeignAnswer, ForeignServer, register_for};
use crate::site::TestSite;

/// Ids of the targets whose addresses pass on, one of each service.
const IDS: [&str; 2] = ["x0", "x1"];

/// What may listen at an address that was a target's.
fn other_answers() -> [ForeignAnswer; 9] {
    [
        ForeignAnswer::Status("404 Not Found"),
        ForeignAnswer::Status("302 Found"),
        ForeignAnswer::Status("400 Bad Request"),
        ForeignAnswer::Status("503 Service Unavailable"),
        ForeignAnswer::Echoed("405 Method Not Allowed"),
        ForeignAnswer::BeforeAnswer("400 Bad Request"),
        ForeignAnswer::AfterAnswer("408 Request Timeout"),
        ForeignAnswer::Target("i-of-another-service", "another"),
        ForeignAnswer::Silent,
    ]
}

/// Lets the addresses pass on until a time. Their entries in the registry stay.
pub async fn change_targets(site: &TestSite, seed: u64, until: Instant) {
    let series = IDS.iter().enumerate().map(|(index, id)| {
        let mut rng = StdRng::seed_from_u64(seed ^ (0x7a + index as u64));
        async move {
            let own = ForeignAnswer::Target(id, SERVICES[index]);
            let mut server = ForeignServer::start(own.clone()).await;
            let address = server.address;
            register_for(site, SERVICES[index], id, address);
            while Instant::now() < until {
                pause(&mut rng, 200..1200).await;
                drop(server);
                pause(&mut rng, 0..400).await;
                let others = other_answers();
                let other = others[rng.random_range(0..others.len())].clone();
                println!("{id} at {address}: {other:?}");
                server = ForeignServer::start_at(address, other).await;
                pause(&mut rng, 200..2500).await;
                drop(server);
                server = ForeignServer::start_at(address, own.clone()).await;
            }
            server
        }
    });
    drop(futures::future::join_all(series).await);
}

async fn pause(rng: &mut StdRng, millis: std::ops::Range<u64>) {
    tokio::time::sleep(Duration::from_millis(rng.random_range(millis))).await;
}
