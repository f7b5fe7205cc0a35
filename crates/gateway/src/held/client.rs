//! What is held for one client connection.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Waker};

use bytes::{Buf, Bytes};
use domain::RequestId;
use events::{EventCode, LogLine};
use serving::held_bytes::{HolderCut, HolderKey};

use crate::node::GatewayNode;
use crate::usage::ConnectionUsage;

/// Memory that a piece of a body takes besides its bytes: its places in queues, its allocation and its
/// framing.
const PIECE_COST: usize = 128;

/// What of a request is read to its end before it is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadPhase {
    /// The head that the client sends.
    Head,
    /// The body that the client sends.
    Request,
    /// The response of a target.
    Response,
}

/// Counts what is held for a client connection until dropped. All of its state is used by the task of the
/// connection only, except that other clients' tasks cut it off.
#[derive(Debug)]
pub struct ClientHold {
    node: Rc<GatewayNode>,
    usage: Rc<ConnectionUsage>,
    key: Cell<HolderKey>,
    /// Id of the current request.
    request: RefCell<Option<RequestId>>,
    /// Task of the connection.
    task: RefCell<Option<Waker>>,
    /// What is being read to its end before it is passed on.
    read_phase: Cell<Option<ReadPhase>>,
    /// Whether something waits for room that no client can be cut off for.
    waits_for_room: Cell<bool>,
}

impl ClientHold {
    /// Creates the state of an accepted connection.
    #[must_use]
    pub fn new(node: &Rc<GatewayNode>, usage: &Rc<ConnectionUsage>) -> Rc<Self> {
        let key = node.held.ledger.borrow_mut().add(node.now());
        let client = Rc::new(Self {
            node: Rc::clone(node),
            usage: Rc::clone(usage),
            key: Cell::new(key),
            request: RefCell::default(),
            task: RefCell::default(),
            read_phase: Cell::default(),
            waits_for_room: Cell::default(),
        });
        node.held.add(key, &client);
        client
    }

    /// Sets the request that log lines name.
    pub fn set_request(&self, id: Option<&RequestId>) {
        *self.request.borrow_mut() = id.cloned();
    }

    /// Whether the client has been cut off.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        self.node.held.ledger.borrow().is_cut(self.key.get())
    }

    /// Whether the connection is to be closed. If the client was cut off while a body was read to its end, it
    /// gets a response instead.
    #[must_use]
    pub(super) fn must_close(&self) -> bool {
        matches!(self.read_phase.get(), None | Some(ReadPhase::Head)) && self.is_cut()
    }

    /// Counts the connection as not cut off again, after the body that was read was given up.
    pub fn restart(self: &Rc<Self>) {
        let held = &self.node.held;
        held.remove(self.key.get());
        let key = held.ledger.borrow_mut().add(self.node.now());
        self.key.set(key);
        held.add(key, self);
    }

    /// Sets what is being read to its end.
    pub fn set_read_phase(&self, phase: Option<ReadPhase>) {
        self.read_phase.set(phase);
        self.usage.set_receiving(phase == Some(ReadPhase::Request));
    }

    /// Whether all that is held is bounded.
    pub(super) fn is_bounded(&self) -> bool {
        self.node.held.ledger.borrow().is_bounded()
    }

    /// Whether anything is held for this client.
    pub(super) fn holds_any(&self) -> bool {
        self.node.held.ledger.borrow().bytes(self.key.get()) > 0
    }

    /// Cuts clients off until there is room; returns whether there is. This client may be among them.
    pub fn make_room(&self) -> bool {
        self.node.held.make_room(self.node.now())
    }

    /// Has the connection try again a little later.
    pub fn wait_for_room(&self) {
        self.waits_for_room.set(true);
    }

    /// Whether something has waited for room since the last call.
    pub(super) fn take_wait(&self) -> bool {
        self.waits_for_room.take()
    }

    /// Remembers the task of the connection, to wake it when the client is cut off.
    pub(super) fn set_task(&self, context: &Context<'_>) {
        let mut task = self.task.borrow_mut();
        if !task
            .as_ref()
            .is_some_and(|task| task.will_wake(context.waker()))
        {
            *task = Some(context.waker().clone());
        }
    }

    /// Counts bytes that are held from now on.
    pub fn hold(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        let (key, now) = (self.key.get(), self.node.now());
        self.node.held.ledger.borrow_mut().hold(key, bytes, now);
    }

    /// Counts bytes as no longer held.
    pub fn release(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.release_of(self.key.get(), bytes);
    }

    fn release_of(&self, key: HolderKey, bytes: usize) {
        let now = self.node.now();
        self.node.held.ledger.borrow_mut().release(key, bytes, now);
    }

    /// Counts a piece of a body that is about to be written to the client.
    pub(super) fn hold_piece(self: &Rc<Self>, bytes: Bytes) -> HeldBytes {
        let cost = bytes.len() + PIECE_COST;
        self.hold(cost);
        self.piece(bytes, cost)
    }

    /// A piece that is counted with `cost` bytes already.
    pub(super) fn piece(self: &Rc<Self>, bytes: Bytes, cost: usize) -> HeldBytes {
        HeldBytes {
            bytes,
            cost,
            key: self.key.get(),
            client: Rc::clone(self),
        }
    }

    /// Records that the client is cut off, and wakes the task of its connection.
    pub(super) fn record_cut(&self, cut: &HolderCut) {
        let what = match self.read_phase.get() {
            Some(ReadPhase::Head) => "head",
            Some(ReadPhase::Request) => "request",
            Some(ReadPhase::Response) => "target",
            None => "response",
        };
        self.node.metrics.record_slow_cut(what);
        let held = u64::try_from(cut.bytes).unwrap_or(u64::MAX);
        let request = self.request.borrow();
        let line = LogLine::new(EventCode::SlowReaderCut)
            .text("request", request.as_ref().map_or("", RequestId::as_str))
            .text("what", what)
            .number("held", held)
            .millis("untaken_ms", cut.untaken_for);
        self.node.log(&line);
        if let Some(task) = self.task.borrow().as_ref() {
            task.wake_by_ref();
        }
    }
}

impl Drop for ClientHold {
    fn drop(&mut self) {
        self.node.held.remove(self.key.get());
    }
}

/// A piece of a response body, counted until it is written to the client's socket or dropped.
#[derive(Debug)]
pub struct HeldBytes {
    bytes: Bytes,
    /// Bytes that it is still counted with.
    cost: usize,
    key: HolderKey,
    client: Rc<ClientHold>,
}

impl Buf for HeldBytes {
    fn remaining(&self) -> usize {
        self.bytes.len()
    }

    fn chunk(&self) -> &[u8] {
        &self.bytes
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
        // The rest of the cost is released when the piece is dropped.
        let released = count.min(self.cost);
        self.cost -= released;
        self.client.release_of(self.key, released);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.client.release_of(self.key, self.cost);
    }
}

/// Bytes that are held until dropped, whatever the client does: for its head and body while its request runs.
#[derive(Debug)]
pub struct FixedHold {
    bytes: usize,
    key: HolderKey,
    client: Rc<ClientHold>,
}

impl FixedHold {
    /// Counts `bytes` bytes.
    #[must_use]
    pub fn new(client: &Rc<ClientHold>, bytes: usize) -> Self {
        let key = client.key.get();
        if bytes > 0 {
            client.node.held.ledger.borrow_mut().hold_fixed(key, bytes);
        }
        Self {
            bytes,
            key,
            client: Rc::clone(client),
        }
    }
}

impl Drop for FixedHold {
    fn drop(&mut self) {
        if self.bytes > 0 {
            let mut ledger = self.client.node.held.ledger.borrow_mut();
            ledger.release_fixed(self.key, self.bytes);
        }
    }
}
