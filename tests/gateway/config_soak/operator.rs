//! An operator that adds, moves and drops routes and keys.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::time::Instant;

use super::state::{SoakState, lock};
use crate::config_history::{ConfigContent, SERVICES, VersionProbe};
use crate::site::{KEY, TestSite};

/// Writes one change after the other, some of them large, and versions in uneven steps.
pub async fn operate(site: &TestSite, state: &SoakState, seed: u64, until: Instant) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut next = 0_u64;
    while Instant::now() < until {
        let mut content = lock(&state.history).newest().clone();
        let probe = change(&mut content, &mut rng, &mut next);
        content.version += rng.random_range(1..6);
        write(site, state, content).await;
        lock(&state.history).changed.push(probe);
        let pause = if rng.random_bool(0.3) {
            rng.random_range(10..150)
        } else {
            rng.random_range(150..2600)
        };
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Writes a version, and records it once the store has confirmed it.
pub async fn write(site: &TestSite, state: &SoakState, content: ConfigContent) {
    let _store = state.store.lock().await;
    let config = content.to_json();
    lock(&state.history).record_sent(content);
    site.configure(&config);
    lock(&state.history).record_confirmed();
    state.changed.notify_waiters();
}

/// Changes a route or a key; returns a probe that shows the change.
fn change(content: &mut ConfigContent, rng: &mut StdRng, next: &mut u64) -> VersionProbe {
    *next += 1;
    let added: Vec<String> = content
        .routes
        .keys()
        .filter(|prefix| prefix.starts_with("/r"))
        .cloned()
        .collect();
    let keys: Vec<String> = content
        .keys
        .iter()
        .filter(|key| *key != KEY)
        .cloned()
        .collect();
    let chosen = |list: &[String], rng: &mut StdRng| list[rng.random_range(0..list.len())].clone();
    let on_base = |key: String| VersionProbe {
        prefix: "/base/".to_owned(),
        key,
    };
    let mut prefix = format!("/r{next}/");
    match rng.random_range(0..10) {
        0..2 if !added.is_empty() => {
            prefix = chosen(&added, rng);
            content.routes.remove(&prefix);
        }
        2..4 if !added.is_empty() => {
            prefix = chosen(&added, rng);
            let service = content.routes.entry(prefix.clone()).or_default();
            *service = (*service + 1) % SERVICES.len();
        }
        4..6 => {
            let key = format!("key-{next}");
            content.keys.insert(key.clone());
            return on_base(key);
        }
        6 if !keys.is_empty() => {
            let key = chosen(&keys, rng);
            content.keys.remove(&key);
            return on_base(key);
        }
        7 => {
            for number in 0..200 {
                content.routes.insert(format!("/idle{next}-{number}/"), 0);
            }
            content.routes.insert(prefix.clone(), 0);
        }
        _ => {
            content
                .routes
                .insert(prefix.clone(), rng.random_range(0..SERVICES.len()));
        }
    }
    VersionProbe {
        prefix,
        key: KEY.to_owned(),
    }
}
