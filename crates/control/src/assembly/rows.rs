//! The rows of one fabric domain, and the transaction of each step.

use domain::fleet::FleetError;
use domain::host::{EmptyProof, SlotAssignment, SlotError};
use domain::replica::ReplicaRole;
use domain::{
    FabricFleet, FabricId, FastMap, HostId, HostSlot, IncarnationNumber, ModelName, ReplicaId,
    ReplicaPlan, RowVersion, VersionName,
};
use platform::{
    CommitOutcome, RowExpectation, RowRead, StoreError, TableStore, WriteBatch,
    commit_with_retries, keys,
};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{AssemblyStep, HostHealth};
use crate::lease::LeaseGrant;
use crate::token::random_token;

/// Sends of one transaction before its outcome is left to the next round.
const COMMIT_ATTEMPTS: u32 = 3;

/// Most slots that are read one by one; more are read by a scan.
const MAX_SINGLE_READS: usize = 8;

/// Number of active replicas of one version over all fabric domains.
///
/// Controllers of several fabric domains may notice the same missing replica. This row makes the
/// transaction of the second one fail, so that the model does not get one replica too many.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaCountRow {
    /// Replicas that are planned and not draining.
    pub replicas: u32,
}

/// Why a step did not take effect.
#[derive(Debug, thiserror::Error)]
pub enum StepError {
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The step violates a rule of a host's slot.
    #[error(transparent)]
    Slot(#[from] SlotError),
    /// The step violates a rule of the fleet.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A row changed since it was last read, or another node acquired the lease.
    #[error("a row was changed or the lease was acquired by another node")]
    Conflict,
    /// The id of a new replica is invalid.
    #[error(transparent)]
    Id(#[from] domain::IdError),
}

/// A row's content with its version; none while the row does not exist.
type VersionedRow<R> = (R, Option<RowVersion>);

/// The rows as last read or written by this process.
#[derive(Debug, Clone)]
pub struct FabricRows {
    /// The fabric domain that the rows belong to.
    pub fabric: FabricId,
    /// Its replica plans.
    pub fleet: VersionedRow<FabricFleet>,
    /// Slots of the hosts seen so far.
    pub slots: FastMap<HostId, VersionedRow<HostSlot>>,
    /// Active replicas of each version over all fabric domains.
    pub replica_counts: FastMap<(ModelName, VersionName), VersionedRow<ReplicaCountRow>>,
}

impl FabricRows {
    /// Reads the fleet and the replica counts. Slots are read when their hosts are first seen.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when a row can't be read or parsed.
    pub async fn load<T: TableStore>(table: &T, fabric: &FabricId) -> Result<Self, StoreError> {
        let fleet = read_row(table, &keys::fleet_key(fabric)).await?;
        let mut rows = Self {
            fabric: fabric.clone(),
            fleet,
            slots: FastMap::default(),
            replica_counts: FastMap::default(),
        };
        rows.load_replica_counts(table).await?;
        Ok(rows)
    }

    /// Reads the replica counts again.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when a row can't be read or parsed; the counts are then incomplete.
    pub async fn load_replica_counts<T: TableStore>(
        &mut self,
        table: &T,
    ) -> Result<(), StoreError> {
        self.replica_counts.clear();
        for row in table.scan(keys::REPLICA_COUNTS).await? {
            let name = row.key.trim_start_matches(keys::REPLICA_COUNTS);
            let Some((model, version)) = name.split_once('/') else {
                continue;
            };
            let (Ok(model), Ok(version)) = (model.parse(), version.parse()) else {
                continue;
            };
            let count = serde_json::from_value(row.value)
                .map_err(|error| StoreError::Malformed(error.to_string()))?;
            self.replica_counts
                .insert((model, version), (count, Some(row.version)));
        }
        Ok(())
    }

    /// Whether another process changed the fleet's row.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when the row can't be read.
    pub async fn is_stale<T: TableStore>(&self, table: &T) -> Result<bool, StoreError> {
        let read = table
            .read(&keys::fleet_key(&self.fabric), self.fleet.1)
            .await?;
        Ok(match read {
            RowRead::Unchanged => false,
            RowRead::Absent => self.fleet.1.is_some(),
            RowRead::Found(row) => Some(row.version) != self.fleet.1,
        })
    }

    /// Reads the slots of hosts that are not cached yet.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when a row can't be read or parsed; some slots may be cached by then.
    pub async fn load_slots<'host, T: TableStore>(
        &mut self,
        table: &T,
        hosts: impl Iterator<Item = &'host HostId>,
    ) -> Result<(), StoreError> {
        let unknown: Vec<HostId> = hosts
            .filter(|host| !self.slots.contains_key(host))
            .cloned()
            .collect();
        if unknown.len() > MAX_SINGLE_READS {
            return self.scan_slots(table, unknown).await;
        }
        for host in unknown {
            let slot = read_row(table, &keys::host_key(&host)).await?;
            self.slots.insert(host, slot);
        }
        Ok(())
    }

    /// Reads all slots with one scan, after a lease acquisition: one read instead of a hundred.
    async fn scan_slots<T: TableStore>(
        &mut self,
        table: &T,
        unknown: Vec<HostId>,
    ) -> Result<(), StoreError> {
        let mut found = FastMap::default();
        for row in table.scan(keys::HOSTS).await? {
            let Ok(host) = row.key.trim_start_matches(keys::HOSTS).parse::<HostId>() else {
                continue;
            };
            let slot: HostSlot = serde_json::from_value(row.value)
                .map_err(|error| StoreError::Malformed(error.to_string()))?;
            found.insert(host, (slot, Some(row.version)));
        }
        for host in unknown {
            let slot = found.remove(&host).unwrap_or_default();
            self.slots.insert(host, slot);
        }
        Ok(())
    }

    /// Commits a step under a lease; the cached rows then match the table.
    ///
    /// # Errors
    ///
    /// [`StepError`]; unless it is a violated rule, the rows must be read again.
    pub async fn commit_step<T: TableStore>(
        &mut self,
        table: &T,
        grant: &LeaseGrant,
        step: &AssemblyStep,
        health: &std::collections::BTreeMap<HostId, HostHealth>,
    ) -> Result<(), StepError> {
        let change = self.changes_for(grant, step, health)?;
        let mut batch = WriteBatch::new(random_token("assembly")?);
        let key = keys::fleet_key(&self.fabric);
        if let Some(fleet) = &change.fleet {
            let value = to_value(fleet)?;
            // Only the versions of the head and the mark matter to other nodes, not their content.
            let mark = json!({ "fabric": self.fabric });
            batch = batch
                .put(key, expectation(self.fleet.1), value)
                .put(
                    keys::mark_key(&self.fabric),
                    RowExpectation::Any,
                    mark.clone(),
                )
                .put(keys::FLEET_HEAD, RowExpectation::Any, mark);
        } else {
            // An own write whose response was lost may land between the reads of the fleet and of a
            // slot. The slot then seems to belong to no replica, and freeing it would let its host
            // join a second one.
            batch = batch.check(key, expectation(self.fleet.1));
        }
        for (host, slot) in &change.slots {
            let version = self.slots.get(host).and_then(|(_, version)| *version);
            let value = to_value(slot)?;
            batch = batch.put(keys::host_key(host), expectation(version), value);
        }
        if let Some((name, count)) = &change.replica_counts {
            let version = self
                .replica_counts
                .get(name)
                .and_then(|(_, version)| *version);
            let key = keys::replica_count_key(&name.0, &name.1);
            batch = batch.put(key, expectation(version), to_value(count)?);
        }
        match commit_with_retries(table, &grant.fence(batch), COMMIT_ATTEMPTS).await? {
            CommitOutcome::Committed(version) => self.apply(change, version),
            CommitOutcome::Conflict(_) => return Err(StepError::Conflict),
        }
        Ok(())
    }

    fn apply(&mut self, change: RowChanges, version: RowVersion) {
        if let Some(fleet) = change.fleet {
            self.fleet = (fleet, Some(version));
        }
        for (host, slot) in change.slots {
            self.slots.insert(host, (slot, Some(version)));
        }
        if let Some((name, count)) = change.replica_counts {
            self.replica_counts.insert(name, (count, Some(version)));
        }
    }

    fn changes_for(
        &self,
        grant: &LeaseGrant,
        step: &AssemblyStep,
        health: &std::collections::BTreeMap<HostId, HostHealth>,
    ) -> Result<RowChanges, StepError> {
        let fleet = &self.fleet.0;
        let mut change = RowChanges::default();
        match step {
            AssemblyStep::Free(host) => {
                let slot = self.slot(host);
                let slot = slot.release(EmptyProof::ReportedEmpty, grant.epoch)?;
                change.slots.push((host.clone(), slot));
            }
            AssemblyStep::Form { version, hosts } => {
                let number = fleet.next_number;
                let id = format!("{}.{}.{number}", version.model, self.fabric).parse()?;
                let plan = ReplicaPlan {
                    id,
                    incarnation: IncarnationNumber(1),
                    epoch: grant.epoch,
                    fabric: self.fabric.clone(),
                    hosts: hosts.clone(),
                    model: version.model.clone(),
                    version: version.version.clone(),
                    adapters: version.adapters.clone(),
                    role: ReplicaRole::Both,
                    draining: false,
                };
                change.slots = self.assigned_slots(&plan, health)?;
                change.replica_counts = Some(self.adjusted_count(&plan, 1));
                change.fleet = Some(fleet.with_replica(plan)?);
            }
            AssemblyStep::Reform {
                replica,
                hosts,
                adapters,
            } => {
                let old = self.plan(replica)?;
                let raised = old.incarnation.next();
                let plan = ReplicaPlan {
                    incarnation: raised.ok_or(FleetError::IncarnationNotRaised(old.id.clone()))?,
                    epoch: grant.epoch,
                    hosts: hosts.clone(),
                    adapters: adapters.clone(),
                    draining: false,
                    ..old.clone()
                };
                change.slots = self.assigned_slots(&plan, health)?;
                if old.draining {
                    change.replica_counts = Some(self.adjusted_count(&plan, 1));
                }
                change.fleet = Some(fleet.with_changed(plan)?);
            }
            AssemblyStep::Drain(replica, _) => change = self.drain_change(replica, true)?,
            AssemblyStep::Undrain(replica) => change = self.drain_change(replica, false)?,
            AssemblyStep::Dissolve(replica) => {
                let old = self.plan(replica)?;
                if !old.draining {
                    change.replica_counts = Some(self.adjusted_count(old, -1));
                }
                change.fleet = Some(fleet.without_replica(replica)?);
            }
        }
        Ok(change)
    }

    fn drain_change(&self, replica: &ReplicaId, draining: bool) -> Result<RowChanges, StepError> {
        let plan = ReplicaPlan {
            draining,
            ..self.plan(replica)?.clone()
        };
        let delta = if draining { -1 } else { 1 };
        Ok(RowChanges {
            replica_counts: Some(self.adjusted_count(&plan, delta)),
            fleet: Some(self.fleet.0.with_changed(plan)?),
            slots: Vec::new(),
        })
    }

    fn plan(&self, replica: &ReplicaId) -> Result<&ReplicaPlan, StepError> {
        let plan = self.fleet.0.plan(replica);
        plan.ok_or_else(|| StepError::Fleet(FleetError::Unknown(replica.clone())))
    }

    fn slot(&self, host: &HostId) -> HostSlot {
        self.slots
            .get(host)
            .map(|(slot, _)| slot.clone())
            .unwrap_or_default()
    }

    fn assigned_slots(
        &self,
        plan: &ReplicaPlan,
        health: &std::collections::BTreeMap<HostId, HostHealth>,
    ) -> Result<Vec<(HostId, HostSlot)>, StepError> {
        let mut slots = Vec::with_capacity(plan.hosts.len());
        for host in &plan.hosts {
            let slot = self.slot(host);
            let reported = health.get(host).and_then(|health| health.state.as_ref());
            let known = slot.assignment.as_ref().map(|assigned| assigned.boot);
            let boot = reported.map(|state| state.boot).or(known);
            let assignment = SlotAssignment {
                replica: plan.id.clone(),
                incarnation: plan.incarnation,
                boot: boot.unwrap_or_default(),
            };
            slots.push((host.clone(), slot.assign(assignment, plan.epoch)?));
        }
        Ok(slots)
    }

    fn adjusted_count(
        &self,
        plan: &ReplicaPlan,
        delta: i32,
    ) -> ((ModelName, VersionName), ReplicaCountRow) {
        let name = (plan.model.clone(), plan.version.clone());
        let current = self
            .replica_counts
            .get(&name)
            .map_or(0, |(row, _)| row.replicas);
        let replicas = current.saturating_add_signed(delta);
        (name, ReplicaCountRow { replicas })
    }
}

#[derive(Debug, Default)]
struct RowChanges {
    fleet: Option<FabricFleet>,
    slots: Vec<(HostId, HostSlot)>,
    replica_counts: Option<((ModelName, VersionName), ReplicaCountRow)>,
}

fn expectation(version: Option<RowVersion>) -> RowExpectation {
    version.map_or(RowExpectation::Absent, RowExpectation::Version)
}

fn to_value<R: Serialize>(row: &R) -> Result<serde_json::Value, StoreError> {
    serde_json::to_value(row).map_err(|error| StoreError::Malformed(error.to_string()))
}

async fn read_row<T: TableStore, R: Default + serde::de::DeserializeOwned>(
    table: &T,
    key: &str,
) -> Result<VersionedRow<R>, StoreError> {
    match table.read(key, None).await? {
        RowRead::Found(row) => {
            let content = serde_json::from_value(row.value)
                .map_err(|error| StoreError::Malformed(error.to_string()))?;
            Ok((content, Some(row.version)))
        }
        RowRead::Absent | RowRead::Unchanged => Ok((R::default(), None)),
    }
}
