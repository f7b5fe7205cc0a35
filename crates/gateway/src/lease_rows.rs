//! Rows of the store that hold leases of slots.

use std::time::Duration;

use adapter::{ConditionalWrite, StoreClient, StoreError, StoreRow};
use domain::EraVersion;
use serde::{Deserialize, Serialize};
use serving::lease::{LeasePage, SlotLease, SlotRow, SlotWrite, StoreClock};

use crate::node::GatewayNode;
use crate::unreadable_rows::log_unreadable_rows;

/// Timeout for a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// A row of the table.
#[derive(Debug, Serialize, Deserialize)]
struct LeaseRow {
    holder: String,
    /// End on the store's clock, in milliseconds.
    until_ms: u64,
}

impl From<&SlotLease> for LeaseRow {
    fn from(lease: &SlotLease) -> Self {
        Self {
            holder: lease.holder.clone(),
            until_ms: u64::try_from(lease.until.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl From<LeaseRow> for SlotLease {
    fn from(row: LeaseRow) -> Self {
        Self {
            holder: row.holder,
            until: Duration::from_millis(row.until_ms),
        }
    }
}

/// A table of leases, whose rows are named by `key_of` from the numbers of their slots.
#[derive(Debug)]
pub struct LeaseTable<K> {
    name: &'static str,
    key_of: K,
}

impl<K: Fn(usize) -> String> LeaseTable<K> {
    /// Creates a handle to a table.
    #[must_use]
    pub fn new(name: &'static str, key_of: K) -> Self {
        Self { name, key_of }
    }

    /// Reads all rows whose keys `slot_of` knows.
    ///
    /// # Errors
    ///
    /// [`StoreError`] of the call.
    pub async fn read(
        &self,
        node: &GatewayNode,
        client: &mut StoreClient,
        slot_of: impl Fn(&str) -> Option<usize>,
    ) -> Result<LeasePage, StoreError> {
        let sent_at = node.boot_now();
        let page = client.read_table(self.name, STORE_TIMEOUT).await?;
        log_unreadable_rows(node, self.name, &page.unreadable);
        let rows = page.rows.iter();
        let rows = rows.filter_map(|row| Some((slot_of(&row.key)?, row.version, decode_row(row))));
        Ok(LeasePage {
            era: page.version.era(),
            rows: rows.collect(),
            clock: StoreClock {
                reading: page.clock,
                sent_at,
                received_at: node.boot_now(),
            },
        })
    }

    /// Carries out planned writes in one transaction; returns the version of the rows.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if another node has written one of them; after [`StoreError::TimedOut`]
    /// they may have been carried out.
    pub async fn write(
        &self,
        client: &mut StoreClient,
        writes: &[SlotWrite],
    ) -> Result<EraVersion, StoreError> {
        let encoded: Result<Vec<_>, _> = writes.iter().map(|write| self.encode(write)).collect();
        client
            .put_rows_if(self.name, &encoded?, STORE_TIMEOUT)
            .await
    }

    fn encode(&self, write: &SlotWrite) -> Result<ConditionalWrite, StoreError> {
        let value = serde_json::to_vec(&LeaseRow::from(&write.lease));
        Ok(ConditionalWrite {
            key: (self.key_of)(write.slot),
            value: value.map_err(|error| StoreError::Malformed(error.to_string()))?,
            expected: write.expected,
        })
    }
}

fn decode_row(row: &StoreRow) -> SlotRow {
    let Some(value) = &row.value else {
        return SlotRow::Absent;
    };
    let lease = serde_json::from_slice::<LeaseRow>(value);
    lease.map_or(SlotRow::Unreadable, |row| SlotRow::Leased(row.into()))
}
