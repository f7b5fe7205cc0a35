//! A node's share of the table's rate limits.

use std::time::{Duration, Instant};

use crate::sim::table::{FakeTable, FaultRates};
use platform::{BudgetSettings, BudgetedTable, CircuitState, StoreError, TableStore, WriteBatch};

fn settings() -> BudgetSettings {
    BudgetSettings::builder()
        .writes_a_second(400)
        .burst_ms(1_000)
        .wait_ms(0)
        .open_after(3)
        .build()
}

async fn write(table: &BudgetedTable<FakeTable>) -> Result<(), StoreError> {
    let token = "t".parse().expect("valid id");
    table.commit(&WriteBatch::new(token)).await.map(|_| ())
}

/// One of 410 nodes writes in a loop. It must be throttled to its share, so that the writes of
/// other nodes still pass.
#[tokio::test]
async fn runaway_node_throttled() {
    let fake = FakeTable::new(1, FaultRates::default());
    let table = BudgetedTable::new(fake.clone(), settings());
    table.set_node_count(410);
    let started = Instant::now();
    let mut refused = 0_u32;
    for _ in 0..500 {
        let result = write(&table.with_high_priority()).await;
        refused += u32::from(matches!(result, Err(StoreError::Throttled { .. })));
    }
    let allowed = 3 + 3 * (started.elapsed().as_secs() + 1);
    assert!(u64::try_from(fake.commits()).expect("fits the type") <= allowed);
    assert!(refused > 400);
}

/// The table is down. After a few failures writes must be refused without a try, so that callers do
/// not wait for timeouts; when the table is back, writes pass again.
#[tokio::test]
async fn circuit_opens_and_closes() {
    let down = FaultRates {
        down: 100,
        ..FaultRates::default()
    };
    let fake = FakeTable::new(1, down);
    let table = BudgetedTable::new(fake.clone(), settings());
    for _ in 0..10 {
        assert!(matches!(
            write(&table).await,
            Err(StoreError::Unavailable(_))
        ));
    }
    assert!(fake.commits() <= 4, "{}", fake.commits());
    assert_eq!(table.circuit(), CircuitState::Open);
    fake.set_rates(FaultRates::default());
    let started = Instant::now();
    while write(&table).await.is_err() {
        assert!(started.elapsed() < Duration::from_secs(30));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(table.circuit(), CircuitState::Closed);
}
