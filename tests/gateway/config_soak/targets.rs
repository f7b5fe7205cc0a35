//! Addresses of targets that pass from one server to another.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::time::Instant;

use crate::config_history::SERVICES;
use crate::site::TestSite;
use crate::strangers::{StrangeAnswer, StrangeServer, register_for};

/// Ids of the targets whose addresses pass on, one of each service.
const IDS: [&str; 2] = ["x0", "x1"];

/// What may listen at an address that was a target's.
fn other_answers() -> [StrangeAnswer; 9] {
    [
        StrangeAnswer::Status("404 Not Found"),
        StrangeAnswer::Status("302 Found"),
        StrangeAnswer::Status("400 Bad Request"),
        StrangeAnswer::Status("503 Service Unavailable"),
        StrangeAnswer::Echoed("405 Method Not Allowed"),
        StrangeAnswer::BeforeAnswer("400 Bad Request"),
        StrangeAnswer::AfterAnswer("408 Request Timeout"),
        StrangeAnswer::Target("i-of-another-service", "another"),
        StrangeAnswer::Silent,
    ]
}

/// Lets the addresses pass on until a time. Their entries in the registry stay.
pub async fn change_targets(site: &TestSite, seed: u64, until: Instant) {
    let series = IDS.iter().enumerate().map(|(index, id)| {
        let mut rng = StdRng::seed_from_u64(seed ^ (0x7a + index as u64));
        async move {
            let own = StrangeAnswer::Target(id, SERVICES[index]);
            let mut server = StrangeServer::start(own.clone()).await;
            let address = server.address;
            register_for(site, SERVICES[index], id, address);
            while Instant::now() < until {
                pause(&mut rng, 200..1200).await;
                drop(server);
                pause(&mut rng, 0..400).await;
                let others = other_answers();
                let other = others[rng.random_range(0..others.len())].clone();
                println!("{id} at {address}: {other:?}");
                server = StrangeServer::start_at(address, other).await;
                pause(&mut rng, 200..2500).await;
                drop(server);
                server = StrangeServer::start_at(address, own.clone()).await;
            }
            server
        }
    });
    drop(futures::future::join_all(series).await);
}

async fn pause(rng: &mut StdRng, millis: std::ops::Range<u64>) {
    tokio::time::sleep(Duration::from_millis(rng.random_range(millis))).await;
}
