//! Caring for replicas: planning, waiting for one's turn, and taking the steps.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use adapter::orders::HostOrder;
use domain::{FabricId, FastMap, HostId, ModelName, ReplicaId};
use events::{EventCode, EventLine};
use serving::plan::{
    FabricLayout, FabricSituation, HostSituation, PlanStep, SPARE_PREFIX, lay_out, plan_fabric,
};
use serving::rank::{rendezvous_rank, stable_hash};
use serving::{ServiceShape, TargetEntry, TargetState};

use crate::node::GatewayNode;
use crate::orders::{OrderDesk, OrderEnd, PlannedOrder, key, settle_order};

/// Longest time between two plans; changes of the registry lead to one at once.
const PLAN_PAUSE: Duration = Duration::from_millis(100);

/// Time that each node leaves to the one before it. Orders are answered within milliseconds and
/// their effect stands in the registry soon after, so a step that still waits was not taken.
const TURN: Duration = Duration::from_millis(350);

/// Turns counted at most; of many nodes the later ones act at about the same time, and the
/// engines refuse all but one.
const MAX_TURNS: u32 = 8;

/// Quiet time after the last new host before replicas are formed at the first start. Hosts
/// register over the first seconds, and a plan on the first few forms the wrong replicas.
const GATHER_TIME: Duration = Duration::from_millis(700);

/// Age of what is known of the registry at which the node leaves planning to others.
const STALE_REGISTRY: Duration = Duration::from_millis(3500);

/// Window over which weight loads are counted.
const LOAD_WINDOW: Duration = Duration::from_secs(5);

/// Time for which a head that was told to open may go on reporting itself as ready.
const OPENING_TIME: Duration = Duration::from_millis(900);

/// Time within which the effect of an order stands in the registry.
const EFFECT_TIME: Duration = Duration::from_millis(150);

/// Pause after an order that was refused or not answered. What refused it is on its way to the
/// registry; asking again at once only costs calls.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Cares for the replicas of all services.
pub async fn care_for_replicas(node: Rc<GatewayNode>) {
    let care = Rc::new(ReplicaCare {
        node: Rc::clone(&node),
        desk: OrderDesk::default(),
        waiting: std::cell::RefCell::default(),
        formed: Cell::new(0),
        loads: std::cell::RefCell::default(),
    });
    loop {
        let changed = node.changed.notified();
        // A pause lets several changes that come together lead to one plan.
        drop(tokio::time::timeout(PLAN_PAUSE, changed).await);
        tokio::time::sleep(Duration::from_millis(5)).await;
        care.plan();
    }
}

struct ReplicaCare {
    node: Rc<GatewayNode>,
    desk: OrderDesk,
    /// Steps that wait for this node's turn, with the time since when.
    waiting: std::cell::RefCell<FastMap<PlanStep, Duration>>,
    formed: Cell<u64>,
    loads: std::cell::RefCell<Vec<Duration>>,
}

impl ReplicaCare {
    fn plan(self: &Rc<Self>) {
        let node = &self.node;
        let Some(config) = node.config() else { return };
        if node.is_stopping() || node.registry_age() > STALE_REGISTRY {
            return;
        }
        let mut steps = Vec::new();
        for service in config.services.values() {
            if service.models.is_empty() {
                continue;
            }
            self.plan_service(service, &mut steps);
        }
        self.take_turns(steps);
    }

    fn plan_service(&self, service: &ServiceShape, steps: &mut Vec<(FabricId, PlanStep)>) {
        let fabrics = self.fabrics(service);
        let counts: BTreeMap<FabricId, usize> = fabrics
            .iter()
            .map(|(fabric, hosts)| {
                let staying = hosts.iter().filter(|host| !host.leaving);
                (fabric.clone(), staying.count())
            })
            .collect();
        let layout: FabricLayout = lay_out(&counts, &service.models);
        let spent = self.node.spent();
        let lead = self.node.is_lead_time();
        for (fabric, hosts) in &fabrics {
            let Some(wanted) = layout.get(fabric) else {
                continue;
            };
            let situation = FabricSituation {
                models: &service.models,
                wanted,
                hosts,
                spent: &spent,
                may_load_members: lead || !any_weights(hosts),
            };
            for step in plan_fabric(&situation) {
                steps.push((fabric.clone(), step));
            }
        }
    }

    fn fabrics(&self, service: &ServiceShape) -> BTreeMap<FabricId, Vec<HostSituation>> {
        let node = &self.node;
        let mut fabrics: BTreeMap<FabricId, Vec<HostSituation>> = BTreeMap::new();
        node.registry(|registry| {
            for entry in registry.targets() {
                let Some(fabric) = &entry.fabric else { continue };
                if entry.service != service.name {
                    continue;
                }
                let situation = self.situation(entry);
                fabrics.entry(fabric.clone()).or_default().push(situation);
            }
        });
        for hosts in fabrics.values_mut() {
            hosts.sort_by(|left, right| left.id.cmp(&right.id));
        }
        fabrics
    }

    fn situation(&self, entry: &TargetEntry) -> HostSituation {
        HostSituation {
            id: entry.id.clone(),
            silent: self.node.silent_for(&entry.id),
            leaving: entry.state == TargetState::Draining,
            ordered: self.desk.is_open(&entry.id),
            loaded: entry.loaded.clone(),
            staged: entry.staged.clone(),
            membership: entry.membership.clone(),
            unchanged: self.node.membership_age(&entry.id),
        }
    }

    /// Takes the steps whose turn has come. A step of this node's own making goes at once: the
    /// others have not seen yet what it leads to.
    fn take_turns(self: &Rc<Self>, steps: Vec<(FabricId, PlanStep)>) {
        let now = self.node.now();
        let mut waiting = self.waiting.borrow_mut();
        let mut still: FastMap<PlanStep, Duration> = FastMap::default();
        let mut due = Vec::new();
        for (fabric, step) in steps {
            let since = waiting.get(&step).copied().unwrap_or(now);
            if now.saturating_sub(since) < self.turn(&fabric, &step) {
                still.insert(step, since);
                continue;
            }
            due.push(step);
        }
        *waiting = still;
        drop(waiting);
        for step in due {
            self.begin(step);
        }
    }

    fn turn(&self, fabric: &FabricId, step: &PlanStep) -> Duration {
        let node = &self.node;
        let own = node.settings.node.as_str();
        let made_here = match step {
            PlanStep::Open { replica, .. } | PlanStep::Close { replica, .. } => {
                replica.as_str().contains(&self.tag())
            }
            PlanStep::Form { .. } | PlanStep::Warm { .. } => false,
        };
        if made_here {
            return Duration::ZERO;
        }
        let nodes = node.nodes();
        let rank = rendezvous_rank(own, nodes.iter().map(String::as_str), fabric.as_str());
        let rank = u32::try_from(rank).unwrap_or(MAX_TURNS).min(MAX_TURNS);
        // Until the others are known, nodes take turns by chance.
        let rank = if nodes.is_empty() {
            let chance = stable_hash(&(own, fabric.as_str())) % u64::from(MAX_TURNS);
            u32::try_from(chance).unwrap_or(0)
        } else {
            rank
        };
        let turn = TURN * rank;
        match step {
            PlanStep::Form { .. } | PlanStep::Warm { .. } if node.is_lead_time() => {
                // The wait counts from the last new host: all have waited since their start.
                let quiet = node.hosts_unchanged();
                if quiet < GATHER_TIME + turn { Duration::MAX } else { turn }
            }
            PlanStep::Form { .. } | PlanStep::Warm { .. } => turn,
            // Whoever formed or closed a replica goes on with it at once.
            PlanStep::Open { .. } | PlanStep::Close { .. } => turn + TURN,
        }
    }

    /// Marks the names that this process gives.
    fn tag(&self) -> String {
        let settings = &self.node.settings;
        format!("{:08x}", stable_hash(&settings.node.as_str()) & 0xffff_ffff)
    }

    fn begin(self: &Rc<Self>, step: PlanStep) {
        let hosts = step_hosts(&step);
        if !self.desk.reserve(&hosts) {
            return;
        }
        if !self.may_load(&step) {
            self.desk.release(&hosts);
            return;
        }
        let line = EventLine::new(EventCode::StepTaken)
            .text("step", &step_text(&step))
            .millis("registry_age_ms", self.node.registry_age());
        self.node.log(&line);
        let care = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let hold = care.take(step).await;
            tokio::time::sleep(hold).await;
            care.desk.release(&hosts);
            care.node.changed.notify_waiters();
        });
    }

    /// Whether loads that a step may need stay within this node's part of the limit.
    fn may_load(&self, step: &PlanStep) -> bool {
        let PlanStep::Warm { host, model } = step else {
            return true;
        };
        if self.node.is_lead_time() {
            return true;
        }
        let cold = self.node.registry(|registry| {
            registry.get(host).is_none_or(|entry| !entry.has_weights(model))
        });
        if !cold {
            return true;
        }
        let now = self.node.now();
        let mut loads = self.loads.borrow_mut();
        loads.retain(|at| now.saturating_sub(*at) < LOAD_WINDOW);
        if loads.len() >= self.load_limit() {
            return false;
        }
        loads.push(now);
        true
    }

    fn load_limit(&self) -> usize {
        let Some(config) = self.node.config() else {
            return 1;
        };
        let rates = config.services.values().map(|service| service.loads_per_second);
        let rate = rates.fold(0.0, f64::max);
        let nodes = f64::from(u32::try_from(self.node.node_count()).unwrap_or(u32::MAX));
        let part = rate * LOAD_WINDOW.as_secs_f64() / nodes;
        // At least one, so that a spare is loaded at all; whole numbers below 2^32 fit.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let part = part.clamp(1.0, 1e6) as usize;
        part
    }

    /// Takes a step; returns how long its hosts are left alone afterwards.
    async fn take(&self, step: PlanStep) -> Duration {
        match step {
            PlanStep::Open {
                head,
                replica,
                epoch,
            } => {
                let order = HostOrder::Open {
                    replica: replica.clone(),
                    epoch,
                };
                let end = self.give(&head, order, Some((replica, epoch))).await;
                hold_after(end, OPENING_TIME)
            }
            PlanStep::Close {
                head,
                replica,
                epoch,
                mode,
            } => {
                let order = HostOrder::Close {
                    replica: replica.clone(),
                    epoch,
                    mode,
                };
                let end = self.give(&head, order, Some((replica, epoch))).await;
                hold_after(end, EFFECT_TIME)
            }
            PlanStep::Form { model, members } => {
                let end = self.form(model, members, "r-").await;
                hold_after(end, EFFECT_TIME)
            }
            PlanStep::Warm { host, model } => {
                let end = self.form(model, vec![host], SPARE_PREFIX).await;
                hold_after(end, EFFECT_TIME)
            }
        }
    }

    async fn give(
        &self,
        host: &HostId,
        order: HostOrder,
        expected: Option<(ReplicaId, u64)>,
    ) -> OrderEnd {
        let planned = PlannedOrder {
            host: host.clone(),
            order,
            expected,
        };
        settle_order(&self.node, &self.desk, &planned).await
    }

    /// Joins hosts to a new replica. Hosts that were heads go first: once a head has left its old
    /// replica, nobody can open that one again, and its members are free.
    async fn form(&self, model: ModelName, members: Vec<HostId>, prefix: &str) -> OrderEnd {
        let name = self.new_name(prefix).zip(self.node.registry_version());
        let Some((replica, version)) = name else {
            return OrderEnd::Stale;
        };
        // Versions of the store only grow, for all nodes alike, and an epoch that was taken at one
        // is above each that stood in the registry by then.
        let epoch = version.0;
        let end = self.join_all(model, members, replica.clone(), epoch).await;
        if end != OrderEnd::Done {
            self.node.give_up_replica(&replica, epoch);
        }
        end
    }

    async fn join_all(
        &self,
        model: ModelName,
        members: Vec<HostId>,
        replica: ReplicaId,
        epoch: u64,
    ) -> OrderEnd {
        let join = HostOrder::Join {
            replica,
            epoch,
            model,
            members: members.clone(),
        };
        let mut heads = Vec::new();
        let mut others = Vec::new();
        for member in &members {
            match self.place(member, &members) {
                MemberPlace::Head(key) => heads.push((member.clone(), key)),
                place => others.push((member.clone(), place)),
            }
        }
        for (host, expected) in heads {
            let end = self.join_head(&host, expected, &join).await;
            if end != OrderEnd::Done {
                return end;
            }
        }
        let joins = others
            .into_iter()
            .map(|(host, place)| self.join_member(host, place, &join));
        let ends = futures::future::join_all(joins).await;
        let failed = ends.into_iter().find(|end| *end != OrderEnd::Done);
        failed.unwrap_or(OrderEnd::Done)
    }

    /// Joins the head of an old replica. An engine that opens still reports itself as ready, so it
    /// leaves first: joined at once, it could be serving and belong to two replicas.
    async fn join_head(
        &self,
        host: &HostId,
        old: (ReplicaId, u64),
        join: &HostOrder,
    ) -> OrderEnd {
        if old.0.as_str().starts_with(SPARE_PREFIX) {
            return self.give(host, join.clone(), Some(old)).await;
        }
        let end = self.leave(host, &old).await;
        if end != OrderEnd::Done {
            return end;
        }
        self.give(host, join.clone(), None).await
    }

    async fn join_member(&self, host: HostId, place: MemberPlace, join: &HostOrder) -> OrderEnd {
        let expected = match place {
            MemberPlace::Free => None,
            MemberPlace::Head(key) | MemberPlace::FreedMember(key) => Some(key),
            MemberPlace::MemberOf(key, head) => {
                let end = self.leave(&head, &key).await;
                if end != OrderEnd::Done {
                    return end;
                }
                Some(key)
            }
            MemberPlace::Orphan(key) => {
                let end = self.leave(&host, &key).await;
                if end != OrderEnd::Done {
                    return end;
                }
                None
            }
        };
        self.give(&host, join.clone(), expected).await
    }

    async fn leave(&self, host: &HostId, old: &(ReplicaId, u64)) -> OrderEnd {
        let order = HostOrder::Leave {
            replica: old.0.clone(),
            epoch: old.1,
        };
        self.give(host, order, Some(old.clone())).await
    }

    fn place(&self, host: &HostId, joined: &[HostId]) -> MemberPlace {
        self.node.registry(|registry| {
            let entry = registry.get(host);
            let membership = entry.and_then(|entry| entry.membership.as_ref());
            let Some(membership) = membership else {
                return MemberPlace::Free;
            };
            if membership.rank == 0 {
                return MemberPlace::Head(key(membership));
            }
            let old = key(membership);
            let head = self.node.head_of(&old);
            let entry = head.as_ref().and_then(|head| registry.get(head));
            let Some(entry) = entry.filter(|entry| !self.node.is_suspect(&entry.id)) else {
                return MemberPlace::Orphan(old);
            };
            let stays = entry.membership.as_ref().is_some_and(|now| key(now) == old);
            if !stays || joined.contains(&entry.id) {
                return MemberPlace::FreedMember(old);
            }
            MemberPlace::MemberOf(old, entry.id.clone())
        })
    }

    fn new_name(&self, prefix: &str) -> Option<ReplicaId> {
        let number = self.formed.get() + 1;
        self.formed.set(number);
        // The start of the process stands in the name: a restarted node counts from 1 again.
        let started = std::process::id();
        let wall = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |wall| wall.as_millis());
        let tag = self.tag();
        let name = format!("{prefix}{tag}-{:x}-{number}", (wall as u64) ^ u64::from(started));
        name.parse().ok()
    }
}

enum MemberPlace {
    /// In no replica.
    Free,
    /// Head of a replica.
    Head((ReplicaId, u64)),
    /// Member of a replica whose head is still in it. The head leaves first, so that nobody opens
    /// the old replica while its members join another one.
    MemberOf((ReplicaId, u64), HostId),
    /// Member of a replica whose head left it, or joins the same new one before.
    FreedMember((ReplicaId, u64)),
    /// Member of a replica whose head is gone. It leaves before it joins: should the head live
    /// after all, its replica stands still rather than share a host with another one.
    Orphan((ReplicaId, u64)),
}

fn hold_after(end: OrderEnd, done: Duration) -> Duration {
    match end {
        OrderEnd::Done => done,
        OrderEnd::Stale | OrderEnd::Silent => RETRY_PAUSE,
    }
}

fn any_weights(hosts: &[HostSituation]) -> bool {
    hosts
        .iter()
        .any(|host| host.loaded.is_some() || !host.staged.is_empty())
}

fn step_hosts(step: &PlanStep) -> Vec<HostId> {
    match step {
        PlanStep::Open { head, .. } | PlanStep::Close { head, .. } => vec![head.clone()],
        PlanStep::Form { members, .. } => members.clone(),
        PlanStep::Warm { host, .. } => vec![host.clone()],
    }
}

fn step_text(step: &PlanStep) -> String {
    match step {
        PlanStep::Open { head, replica, .. } => format!("open {replica} at {head}"),
        PlanStep::Close {
            head,
            replica,
            mode,
            ..
        } => format!("close {replica} at {head}, {mode:?}"),
        PlanStep::Form { model, members } => {
            let members: Vec<&str> = members.iter().map(HostId::as_str).collect();
            format!("form {model} of {}", members.join(" "))
        }
        PlanStep::Warm { host, model } => format!("warm {model} on {host}"),
    }
}
