//! Simulation of a fabric domain with its controllers, over fakes of the table and the engines.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::sim::engine::{FakeEngines, host_address, host_name};
use crate::sim::table::{FakeTable, FaultRates};
use control::assembly::{AssemblyContext, AssemblySettings, FabricController, FirstHosts};
use control::directory::HostDirectory;
use control::lease::{EpochRow, LeaseGrant};
use control::{ConfigView, EvidenceStore};
use domain::record::{ModelRecord, VersionPlan};
use domain::{ConfigRevision, FabricFleet, FabricId, HostSlot, LeaseEpoch, RecordSpec, RowVersion};
use events::EventRecorder;
use platform::{HostEntry, RowExpectation, TableStore, WriteBatch, keys};
use tokio::sync::watch;

pub const HOSTS: u16 = 7;
pub const SIZE: u32 = 2;
pub const REPLICAS: u32 = 3;

pub type TestController = FabricController<FakeTable, FakeEngines, FirstHosts>;

pub fn fabric() -> FabricId {
    "f0".parse().expect("valid id")
}

pub fn directory(leaving: &[u16]) -> HostDirectory {
    let entries = (0..HOSTS).map(|number| {
        let entry = HostEntry {
            host: host_name(number),
            address: host_address(number),
            fabric: fabric(),
            domain: "plateau".parse().expect("valid id"),
            region: "dakar".parse().expect("valid id"),
            leaving: leaving.contains(&number),
        };
        (entry.host.clone(), entry)
    });
    HostDirectory {
        hosts: entries.collect(),
    }
}

pub fn config(revision: u64, replicas: u32, adapters: &[&str]) -> ConfigView {
    let mut view = ConfigView {
        revision: ConfigRevision(revision),
        ..ConfigView::default()
    };
    view.insert(RecordSpec::Model(ModelRecord {
        name: "trader-help".parse().expect("valid id"),
        hosts_per_replica: SIZE,
        versions: vec![VersionPlan {
            version: "v1".parse().expect("valid id"),
            replicas,
        }],
        adapters: adapters
            .iter()
            .map(|name| name.parse().expect("valid id"))
            .collect(),
    }));
    view
}

pub struct AssemblySim {
    pub table: FakeTable,
    pub engines: FakeEngines,
    pub hosts: watch::Sender<Arc<HostDirectory>>,
    pub config: watch::Sender<Arc<ConfigView>>,
    pub controllers: Vec<(TestController, LeaseGrant)>,
    pub epoch: u64,
}

impl AssemblySim {
    pub async fn new(seed: u64, rates: FaultRates, fencing: bool, lost_orders: u64) -> Self {
        let table = FakeTable::new(seed, FaultRates::default());
        let hosts = watch::Sender::new(Arc::new(directory(&[])));
        let config = watch::Sender::new(Arc::new(config(1, REPLICAS, &[])));
        let mut sim = Self {
            engines: FakeEngines::new(seed, HOSTS, fencing, lost_orders),
            table,
            hosts,
            config,
            controllers: Vec::new(),
            epoch: 0,
        };
        sim.take_over().await;
        sim.table.set_rates(rates);
        sim
    }

    /// Adds a lease holder with a new epoch. The old one keeps its grant, as if it were suspended.
    pub async fn take_over(&mut self) {
        self.epoch += 1;
        let row = EpochRow {
            epoch: LeaseEpoch(self.epoch),
            holder: "n0".parse().expect("valid id"),
        };
        let name: domain::LeaseName = "fabric:f0".parse().expect("valid id");
        let token = format!("epoch.{}", self.epoch).parse().expect("valid id");
        let value = serde_json::to_value(&row).expect("serializable");
        let key = keys::epoch_key(&name);
        let batch = WriteBatch::new(token).put(key.clone(), RowExpectation::Any, value);
        while self
            .table
            .row(&key)
            .is_none_or(|found| found.value["epoch"] != serde_json::json!(self.epoch))
        {
            let _ = self.table.commit(&batch).await;
            self.table.apply_all_late();
        }
        let grant = LeaseGrant {
            name,
            epoch: LeaseEpoch(self.epoch),
            epoch_version: self
                .table
                .row(&key)
                .map_or(RowVersion(0), |row| row.version),
            valid_until: Instant::now() + Duration::from_hours(1),
        };
        let settings = AssemblySettings::builder()
            .loss_ms(0)
            .settle_ms(0)
            .rest_ms(0)
            .refresh_ms(0)
            .build();
        let parts = AssemblyContext {
            table: self.table.clone(),
            engine: self.engines.clone(),
            chooser: FirstHosts,
            evidence_store: EvidenceStore::default(),
            targets: None,
            directory: self.hosts.subscribe(),
            config: self.config.subscribe(),
            recorder: EventRecorder::new("n0".parse().expect("valid id"), 100),
            settings,
        };
        let controller = FabricController::new(parts, fabric());
        self.controllers.push((controller, grant));
    }

    pub async fn round(&mut self, index: usize) {
        let (controller, grant) = &mut self.controllers[index];
        controller.run_round(grant).await;
    }

    pub fn fleet(&self) -> FabricFleet {
        let row = self.table.row(&keys::fleet_key(&fabric()));
        row.map_or_else(FabricFleet::default, |row| {
            serde_json::from_value(row.value).expect("valid fleet")
        })
    }

    pub fn slots(&self) -> BTreeMap<String, HostSlot> {
        let rows = self.table.rows(keys::HOSTS);
        rows.into_iter()
            .map(|row| {
                let name = row.key.trim_start_matches(keys::HOSTS).to_owned();
                (name, serde_json::from_value(row.value).expect("valid slot"))
            })
            .collect()
    }

    /// Whether every host of a replica has a slot for its current incarnation and is in no other
    /// replica.
    pub fn is_consistent(&self) -> bool {
        let fleet = self.fleet();
        let slots = self.slots();
        let mut seen = BTreeMap::new();
        for plan in &fleet.plans {
            for host in &plan.hosts {
                if seen.insert(host.clone(), plan.id.clone()).is_some() {
                    return false;
                }
                let slot = slots.get(host.as_str());
                let assigned = slot.and_then(|slot| slot.assignment.as_ref());
                let own = assigned.is_some_and(|assigned| {
                    assigned.replica == plan.id && assigned.incarnation == plan.incarnation
                });
                if !own {
                    return false;
                }
            }
        }
        true
    }

    /// Number of replicas whose hosts all run their current incarnation.
    pub fn complete_replicas(&self) -> usize {
        let states = self.engines.states();
        let fleet = self.fleet();
        let is_complete = |plan: &&domain::ReplicaPlan| {
            plan.hosts.iter().all(|host| {
                let state = states.iter().find(|state| state.host == *host);
                let assignment = state.and_then(|state| state.assignment.as_ref());
                assignment.is_some_and(|assignment| {
                    assignment.replica == plan.id && assignment.incarnation == plan.incarnation
                })
            })
        };
        fleet.plans.iter().filter(is_complete).count()
    }

    pub async fn recover(&mut self) {
        self.table.set_rates(FaultRates::default());
        self.table.apply_all_late();
        self.engines.stop_losing_orders();
        for number in 0..HOSTS {
            self.engines.change(number, |host| {
                host.alive = true;
                host.state.leaving = false;
            });
        }
        self.hosts.send_replace(Arc::new(directory(&[])));
        let last = self.controllers.len() - 1;
        for _ in 0..12 {
            self.round(last).await;
        }
    }
}
