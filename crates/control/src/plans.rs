//! Polling the replica plans in the table.
//!
//! Every change of a fleet also writes the fleet's mark and the one head row in the same
//! transaction. A node reads the head conditionally, then scans the marks, then reads the fleets
//! whose marks changed. With 410 nodes and a period of 2 s that is 205 small reads a second; a
//! change costs every node one scan of the marks (80 bytes a fabric domain) and one read of one
//! fleet, 820 reads spread over the 2 s. That stays below 700 reads a second while replicas change,
//! of the table's 2,000. The head is written unconditionally, so controllers of different fabric
//! domains never conflict on it; only its version matters, not its content.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use domain::{FabricFleet, FabricId, ReplicaPlan, RowVersion};
use platform::{RowRead, StoreError, TableStore, keys};
use tokio::sync::watch;

use crate::backoff::{Backoff, with_jitter};

/// Longest delay between two tries while the table can't be read.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// The replica plans of all fabric domains.
#[derive(Debug, Clone, Default)]
pub struct FleetPlans {
    /// Fleets with the versions of their rows.
    pub fabrics: BTreeMap<FabricId, (RowVersion, Arc<FabricFleet>)>,
}

impl FleetPlans {
    /// Iterates over the plans of all fabric domains.
    pub fn plans(&self) -> impl Iterator<Item = &ReplicaPlan> {
        self.fabrics.values().flat_map(|(_, fleet)| &fleet.plans)
    }
}

/// Polls the table and publishes each change; runs until it is dropped. The last plans stay in use
/// while the table can't be read; health evidence decides about dispatch.
pub async fn poll_plans<T: TableStore>(
    table: T,
    sender: watch::Sender<Arc<FleetPlans>>,
    period: Duration,
) {
    let mut head = None;
    let mut backoff = Backoff::new(period, MAX_RETRY_DELAY.max(period));
    loop {
        let known = Arc::clone(&sender.borrow());
        match read_changed_plans(&table, head, &known).await {
            Ok(Some((version, plans))) => {
                head = Some(version);
                sender.send_replace(Arc::new(plans));
                backoff.reset();
            }
            Ok(None) => backoff.reset(),
            Err(_) => {
                tokio::time::sleep(backoff.next_delay()).await;
                continue;
            }
        }
        tokio::time::sleep(with_jitter(period, 0.2)).await;
    }
}

/// Reads the plans if the head's version is no longer `head`, updating a copy of `known`.
///
/// # Errors
///
/// [`StoreError`] when a row can't be read or parsed.
pub async fn read_changed_plans<T: TableStore>(
    table: &T,
    head: Option<RowVersion>,
    known: &FleetPlans,
) -> Result<Option<(RowVersion, FleetPlans)>, StoreError> {
    let version = match table.read(keys::FLEET_HEAD, head).await? {
        RowRead::Found(row) => row.version,
        RowRead::Absent | RowRead::Unchanged => return Ok(None),
    };
    let mut plans = known.clone();
    for mark in table.scan(keys::FLEET_MARKS).await? {
        let name = mark.key.trim_start_matches(keys::FLEET_MARKS);
        let Ok(fabric) = name.parse::<FabricId>() else {
            continue;
        };
        let current = plans.fabrics.get(&fabric).map(|(version, _)| *version);
        if current >= Some(mark.version) {
            continue;
        }
        let RowRead::Found(row) = table.read(&keys::fleet_key(&fabric), None).await? else {
            continue;
        };
        let fleet = serde_json::from_value(row.value)
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        plans.fabrics.insert(fabric, (row.version, Arc::new(fleet)));
    }
    Ok(Some((version, plans)))
}
