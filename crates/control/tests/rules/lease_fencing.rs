//! Leases with pauses and slow or lost responses: at most one holder, and a late one writes
//! nothing.

use std::time::{Duration, Instant};

use crate::sim::SeededRng;
use crate::sim::table::{FakeTable, FaultRates};
use control::lease::{
    CandidateRank, EpochRow, LeaseGrant, LeaseSettings, LeaseStep, LeaseTracker, start_lease_actor,
};
use domain::{LeaseName, LeaseRecord, NodeId, RowVersion};
use events::EventRecorder;
use platform::{CommitOutcome, RowExpectation, RowRead, TableStore, WriteBatch, keys};
use quickcheck::{Gen, QuickCheck};
use tokio::sync::watch;

const NODES: usize = 3;
const STEPS: usize = 1_500;
const LOG: &str = "log";

fn lease() -> LeaseName {
    "fabric:f0".parse().expect("valid id")
}

fn settings() -> LeaseSettings {
    LeaseSettings::builder()
        .ttl_ms(9_000)
        .beat_ms(3_000)
        .stagger_ms(1_000)
        .build()
}

fn token(number: usize) -> domain::WriteToken {
    format!("t.{number}").parse().expect("valid id")
}

/// A step that was decided and is sent later.
struct DecidedStep {
    step: LeaseStep,
    expect: RowExpectation,
    epoch_expect: RowExpectation,
}

/// A response that the process has not received yet.
struct PendingResponse {
    record: LeaseRecord,
    acquires: bool,
    version: RowVersion,
    started: Instant,
}

struct LeaseProcess {
    tracker: LeaseTracker,
    paused_until: Instant,
    response: Option<PendingResponse>,
    decided: Option<DecidedStep>,
    /// Writes prepared under a grant, which may be sent at any later time.
    writes: Vec<WriteBatch>,
}

/// Three processes that share the table and one clock, but none of each other's state.
struct LeaseSim {
    table: FakeTable,
    rng: SeededRng,
    now: Instant,
    processes: Vec<LeaseProcess>,
    tokens: usize,
}

impl LeaseSim {
    fn new(seed: u64) -> Self {
        let rates = FaultRates {
            lost_before: 5,
            lost_after: 10,
            late: 10,
            down: 5,
        };
        let processes = (0..NODES)
            .map(|number| LeaseProcess {
                tracker: LeaseTracker::new(
                    lease(),
                    format!("n{number}").parse::<NodeId>().expect("valid id"),
                    settings(),
                ),
                paused_until: Instant::now(),
                response: None,
                decided: None,
                writes: Vec::new(),
            })
            .collect();
        Self {
            table: FakeTable::new(seed, rates),
            rng: SeededRng::new(seed),
            now: Instant::now(),
            processes,
            tokens: 0,
        }
    }

    fn next_token(&mut self) -> domain::WriteToken {
        self.tokens += 1;
        token(self.tokens)
    }

    async fn observe(&mut self, index: usize) {
        let key = keys::lease_key(&lease());
        let process = &mut self.processes[index];
        let Ok(read) = self.table.read(&key, process.tracker.version()).await else {
            return;
        };
        match read {
            RowRead::Unchanged => {}
            RowRead::Absent => process
                .tracker
                .observe(LeaseRecord::default(), None, self.now),
            RowRead::Found(row) => {
                let record = serde_json::from_value(row.value).expect("valid lease record");
                process.tracker.observe(record, Some(row.version), self.now);
            }
        }
    }

    async fn decide(&mut self, index: usize) {
        let epoch_key = keys::epoch_key(&lease());
        let Ok(read) = self.table.read(&epoch_key, None).await else {
            return;
        };
        let epoch_expect = match read {
            RowRead::Found(row) => RowExpectation::Version(row.version),
            RowRead::Absent | RowRead::Unchanged => RowExpectation::Absent,
        };
        let rank = CandidateRank(u32::try_from(index).expect("fits the type"));
        let process = &mut self.processes[index];
        let step = process.tracker.next_step(Some(rank), self.now);
        let expect = process
            .tracker
            .version()
            .map_or(RowExpectation::Absent, RowExpectation::Version);
        process.decided = Some(DecidedStep {
            step,
            expect,
            epoch_expect,
        });
    }

    async fn send(&mut self, index: usize) {
        let Some(decided) = self.processes[index].decided.take() else {
            return;
        };
        let started = self.now;
        let (record, acquires) = match decided.step {
            LeaseStep::Wait => return,
            LeaseStep::Renew(record) => (record, false),
            LeaseStep::Acquire(record) => (record, true),
            LeaseStep::Release(record) => {
                self.processes[index].tracker.record_lost();
                (record, false)
            }
        };
        let value = serde_json::to_value(&record).expect("serializable");
        let key = keys::lease_key(&lease());
        let mut batch = WriteBatch::new(self.next_token()).put(key, decided.expect, value);
        if acquires {
            let row = EpochRow {
                epoch: record.epoch,
                holder: record.holder.clone().expect("record has a holder"),
            };
            let value = serde_json::to_value(&row).expect("serializable");
            batch = batch.put(keys::epoch_key(&lease()), decided.epoch_expect, value);
        }
        let outcome = self.table.commit(&batch).await;
        let wait = Duration::from_millis(self.rng.below(7_000));
        let process = &mut self.processes[index];
        process.paused_until = self.now + wait;
        if let Ok(CommitOutcome::Committed(version)) = outcome {
            process.response = Some(PendingResponse {
                record,
                acquires,
                version,
                started,
            });
        }
    }

    fn receive_response(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let Some(response) = process.response.take() else {
            return;
        };
        let tracker = &mut process.tracker;
        if response.acquires {
            tracker.record_acquired(response.record, response.version, response.started);
        } else if response.record.holder.is_some() {
            tracker.record_renewed(response.record, response.version, response.started);
        }
    }

    fn prepare(&mut self, index: usize) {
        let grant = self.processes[index].tracker.grant(self.now);
        let Some(grant) = grant else { return };
        let value = serde_json::json!({ "epoch": grant.epoch });
        let batch = WriteBatch::new(self.next_token()).put(LOG, RowExpectation::Any, value);
        self.processes[index].writes.push(grant.fence(batch));
    }

    /// Sends a randomly chosen prepared write.
    async fn write(&mut self, index: usize) {
        let count = self.processes[index].writes.len();
        if count == 0 {
            return;
        }
        let rank = self.rng.index(count);
        let batch = self.processes[index].writes.swap_remove(rank);
        let _ = self.table.commit(&batch).await;
    }

    /// Whether a write that landed after a change of holder belongs to the new epoch.
    fn is_fenced(&self) -> bool {
        let (Some(log), Some(epoch)) = (
            self.table.row(LOG),
            self.table.row(&keys::epoch_key(&lease())),
        ) else {
            return true;
        };
        log.version < epoch.version || log.value["epoch"] == epoch.value["epoch"]
    }

    fn holders(&self) -> usize {
        let grants = self
            .processes
            .iter()
            .filter(|process| process.tracker.grant(self.now).is_some());
        grants.count()
    }

    async fn run(mut self) -> bool {
        let mut granted = 0;
        for _ in 0..STEPS {
            let index = self.rng.index(NODES);
            self.now += Duration::from_millis(self.rng.below(400));
            if self.processes[index].paused_until > self.now {
                continue;
            }
            self.receive_response(index);
            if self.rng.chance(4) {
                let pause = Duration::from_millis(self.rng.below(20_000));
                self.processes[index].paused_until = self.now + pause;
            }
            match self.rng.below(6) {
                0 | 1 => self.observe(index).await,
                2 => self.decide(index).await,
                3 => self.send(index).await,
                4 => self.prepare(index),
                _ => self.write(index).await,
            }
            let holders = self.holders();
            granted += holders;
            if holders > 1 || !self.is_fenced() {
                return false;
            }
        }
        // A run in which nobody ever held the lease would prove nothing.
        granted > 0
    }
}

fn lease_invariants_hold(seed: u64) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("runtime starts");
    runtime.block_on(LeaseSim::new(seed).run())
}

/// Nodes pause between any two steps while the table responds late, never, or after the write.
/// Guards against two holders, which could assign the same hosts to different replicas.
#[test]
fn at_most_one_holder() {
    QuickCheck::new()
        .tests(300)
        .rng(Gen::from_size_and_seed(100, 11))
        .quickcheck(lease_invariants_hold as fn(u64) -> bool);
}

fn start_node(
    table: &FakeTable,
    node: &str,
    rank: u32,
) -> (
    control::lease::LeaseHandle<FakeTable>,
    watch::Sender<Option<CandidateRank>>,
) {
    let settings = LeaseSettings::builder()
        .ttl_ms(600)
        .beat_ms(60)
        .stagger_ms(100)
        .build();
    let holder: NodeId = node.parse().expect("valid id");
    let tracker = LeaseTracker::new(lease(), holder.clone(), settings);
    let (sender, ranks) = watch::channel(Some(CandidateRank(rank)));
    let recorder = EventRecorder::new(holder, 100);
    let handle = start_lease_actor(table.clone(), tracker, settings, ranks, recorder);
    (handle, sender)
}

async fn granted(grants: &mut watch::Receiver<Option<LeaseGrant>>) -> LeaseGrant {
    let waiting = grants.wait_for(Option::is_some);
    let grant = tokio::time::timeout(Duration::from_secs(30), waiting).await;
    let grant = grant.expect("before the timeout").expect("still present");
    grant.clone().expect("lease is granted")
}

/// Guards against waiting for the TTL after a graceful stop: a released lease is acquired by the
/// next candidate at once, and the old holder's late write is rejected.
#[tokio::test]
async fn released_lease_acquired_at_once() {
    let table = FakeTable::new(3, FaultRates::default());
    let (first, _first_rank) = start_node(&table, "n0", 0);
    let grant = granted(&mut first.grants()).await;
    let (second, _second_rank) = start_node(&table, "n1", 1);
    first.release().await;
    assert!(first.grants().borrow().is_none());
    let next = granted(&mut second.grants()).await;
    assert_eq!(Some(next.epoch), grant.epoch.next());
    let late = grant.fence(WriteBatch::new(token(1)).put(
        LOG,
        RowExpectation::Any,
        serde_json::Value::Null,
    ));
    let outcome = table.commit(&late).await.expect("table is available");
    assert!(matches!(outcome, CommitOutcome::Conflict(_)));
}

/// The table is down for longer than the TTL. The holder must stop acting by itself, and acts again
/// under the same or a newer epoch when the table is back.
#[tokio::test]
async fn table_outage_ends_grant() {
    let table = FakeTable::new(3, FaultRates::default());
    let (handle, _rank) = start_node(&table, "n0", 0);
    let mut grants = handle.grants();
    let grant = granted(&mut grants).await;
    let down = FaultRates {
        down: 100,
        ..FaultRates::default()
    };
    table.set_rates(down);
    let waiting = grants.wait_for(Option::is_none);
    tokio::time::timeout(Duration::from_secs(30), waiting)
        .await
        .expect("before the timeout")
        .expect("still present");
    assert!(grant.remaining(Instant::now()).is_zero());
    table.set_rates(FaultRates::default());
    assert!(granted(&mut grants).await.epoch >= grant.epoch);
}

/// A renewal must not fail the holder's own transactions; otherwise one round in six would be lost.
#[tokio::test]
async fn renewals_keep_fenced_writes() {
    let table = FakeTable::new(3, FaultRates::default());
    let (handle, _rank) = start_node(&table, "n0", 0);
    let grant = granted(&mut handle.grants()).await;
    let before = table
        .row(&keys::lease_key(&lease()))
        .expect("row exists")
        .version;
    let started = Instant::now();
    while table.row(&keys::lease_key(&lease())).map(|row| row.version) <= Some(before) {
        assert!(started.elapsed() < Duration::from_secs(30));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let batch = WriteBatch::new(token(1)).put(LOG, RowExpectation::Any, serde_json::Value::Null);
    let outcome = table
        .commit(&grant.fence(batch))
        .await
        .expect("table is available");
    assert!(matches!(outcome, CommitOutcome::Committed(RowVersion(_))));
}
