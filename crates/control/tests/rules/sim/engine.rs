//! In-memory engines that die, restart, lose orders and get them late.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use domain::{AttemptId, BootNumber, HostId, LeaseEpoch};
use target::engine::TokenStream;
use target::{EngineClient, OrderOutcome, StreamStart};
use web::ClientError;
use wire::engine::{
    EngineLoad, EngineOrder, EngineState, ResumeRequest, StreamEvent, StreamRequest,
};

use super::SeededRng;

/// One engine.
#[derive(Debug, Clone)]
pub struct FakeHost {
    /// The state that it reports.
    pub state: EngineState,
    /// Whether it responds.
    pub alive: bool,
    highest_epoch: LeaseEpoch,
}

/// Engines by address. Clones share them.
#[derive(Debug, Clone)]
pub struct FakeEngines {
    inner: Arc<Mutex<EnginesInner>>,
}

#[derive(Debug)]
struct EnginesInner {
    hosts: BTreeMap<SocketAddr, FakeHost>,
    rng: SeededRng,
    fencing: bool,
    lost_orders: u64,
    late: Vec<(SocketAddr, EngineOrder)>,
}

impl FakeEngines {
    /// Creates `count` engines named `h0`, `h1` and so on. `lost_orders` percent of their orders
    /// are lost, half of which arrive late.
    pub fn new(seed: u64, count: u16, fencing: bool, lost_orders: u64) -> Self {
        let mut hosts = BTreeMap::new();
        for number in 0..count {
            let state = EngineState {
                host: host_name(number),
                boot: BootNumber(1),
                assignment: None,
                ready: false,
                leaving: false,
                load: EngineLoad::default(),
            };
            let host = FakeHost {
                state,
                alive: true,
                highest_epoch: LeaseEpoch(0),
            };
            hosts.insert(host_address(number), host);
        }
        let inner = EnginesInner {
            hosts,
            rng: SeededRng::new(seed ^ 0x5bd1_e995),
            fencing,
            lost_orders,
            late: Vec::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    fn inner(&self) -> MutexGuard<'_, EnginesInner> {
        self.inner.lock().expect("lock is not poisoned")
    }

    /// Changes one engine.
    pub fn change(&self, number: u16, change: impl FnOnce(&mut FakeHost)) {
        let mut inner = self.inner();
        change(
            inner
                .hosts
                .get_mut(&host_address(number))
                .expect("host exists"),
        );
    }

    /// Restarts one engine: it returns empty with a new boot number.
    pub fn restart(&self, number: u16) {
        self.change(number, |host| {
            host.alive = true;
            host.state.boot = host.state.boot.next().expect("few restarts");
            host.state.assignment = None;
            host.state.ready = false;
            host.highest_epoch = LeaseEpoch(0);
        });
    }

    /// The state of one engine, whether or not it responds.
    pub fn state_of(&self, number: u16) -> EngineState {
        self.inner().hosts[&host_address(number)].state.clone()
    }

    /// The states of all engines that respond.
    pub fn states(&self) -> Vec<EngineState> {
        let inner = self.inner();
        inner
            .hosts
            .values()
            .filter(|host| host.alive)
            .map(|host| host.state.clone())
            .collect()
    }

    /// Delivers one late order, if there is any.
    pub fn deliver_late_order(&self) {
        let mut inner = self.inner();
        if let Some((address, order)) = inner.late.pop() {
            inner.apply_order(address, order);
        }
    }

    /// Stops losing orders.
    pub fn stop_losing_orders(&self) {
        self.inner().lost_orders = 0;
    }
}

impl EnginesInner {
    fn apply_order(&mut self, address: SocketAddr, order: EngineOrder) -> Option<OrderOutcome> {
        let fencing = self.fencing;
        let host = self.hosts.get_mut(&address)?;
        if !host.alive {
            return None;
        }
        if fencing && order.epoch < host.highest_epoch {
            return Some(OrderOutcome::Fenced(host.state.clone()));
        }
        host.highest_epoch = host.highest_epoch.max(order.epoch);
        host.state.ready = order.assignment.is_some();
        host.state.assignment = order.assignment;
        Some(OrderOutcome::Done(host.state.clone()))
    }
}

/// Name of the host with this number.
pub fn host_name(number: u16) -> HostId {
    format!("h{number}").parse().expect("valid id")
}

/// Address of the host with this number.
pub fn host_address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 40_000 + number))
}

/// Streams are not used in these tests.
#[derive(Debug)]
pub struct NoStream;

impl TokenStream for NoStream {
    async fn next_event(&mut self, _: Duration) -> Result<Option<StreamEvent>, ClientError> {
        Ok(None)
    }
}

impl EngineClient for FakeEngines {
    type Stream = NoStream;

    async fn state(&self, address: SocketAddr, _: Duration) -> Result<EngineState, ClientError> {
        tokio::task::yield_now().await;
        let inner = self.inner();
        let host = inner.hosts.get(&address).filter(|host| host.alive);
        let host = host.ok_or(ClientError::TimedOut(address))?;
        Ok(host.state.clone())
    }

    async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        _: Duration,
    ) -> Result<OrderOutcome, ClientError> {
        tokio::task::yield_now().await;
        let mut inner = self.inner();
        let lost_orders = inner.lost_orders;
        if inner.rng.chance(lost_orders) {
            if inner.rng.chance(50) {
                inner.late.push((address, order.clone()));
            }
            return Err(ClientError::TimedOut(address));
        }
        let outcome = inner.apply_order(address, order.clone());
        outcome.ok_or(ClientError::TimedOut(address))
    }

    async fn start(
        &self,
        address: SocketAddr,
        _: &StreamRequest,
        _: Duration,
    ) -> Result<StreamStart<NoStream>, ClientError> {
        Err(ClientError::NotConnected(address))
    }

    async fn resume(
        &self,
        address: SocketAddr,
        _: &AttemptId,
        _: ResumeRequest,
        _: Duration,
    ) -> Result<StreamStart<NoStream>, ClientError> {
        Err(ClientError::NotConnected(address))
    }

    async fn cancel(&self, _: SocketAddr, _: &AttemptId, _: Duration) -> Result<(), ClientError> {
        Ok(())
    }
}
