//! What the node holds for clients: counting it, reading streams on while their clients are behind, and
//! cutting clients off at the bound.

mod client;
mod client_body;
mod read_body;

use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::Duration;

use domain::FastMap;
use serving::held_bytes::{HeldLedger, HolderKey, held_bound};

pub use client::{ClientHold, FixedHold, HeldBytes, ReadPhase};
pub use client_body::{ROOM_RETRY_INTERVAL, ReadAhead, RelayedStream};
pub use read_body::HeldBody;

/// Why a body that is read to its end is given up.
pub const TOO_MUCH_HELD: &str = "too many bytes held for slow clients";

/// Held bytes of a node, and the client connections that they are held for.
#[derive(Debug)]
pub struct HeldState {
    ledger: RefCell<HeldLedger>,
    clients: RefCell<FastMap<HolderKey, Weak<ClientHold>>>,
}

impl HeldState {
    /// Creates the state of a node whose process has this memory, in MB; without it nothing is bounded.
    #[must_use]
    pub fn new(memory_mb: Option<f64>) -> Self {
        Self {
            ledger: RefCell::new(HeldLedger::new(held_bound(memory_mb))),
            clients: RefCell::default(),
        }
    }

    /// Bytes held now, and the most held for one client.
    #[must_use]
    pub fn totals(&self) -> (usize, usize) {
        let ledger = self.ledger.borrow();
        (ledger.total(), ledger.largest())
    }

    /// Cuts clients off until there is room; returns whether there is. There is none if all clients keep up.
    fn make_room(&self, now: Duration) -> bool {
        loop {
            let mut ledger = self.ledger.borrow_mut();
            if ledger.has_room() {
                return true;
            }
            let Some(cut) = ledger.cut_next(now) else {
                return false;
            };
            drop(ledger);
            let client = self.clients.borrow().get(&cut.key).and_then(Weak::upgrade);
            if let Some(client) = client {
                client.record_cut(&cut);
            }
        }
    }

    fn add(&self, key: HolderKey, client: &Rc<ClientHold>) {
        self.clients.borrow_mut().insert(key, Rc::downgrade(client));
    }

    fn remove(&self, key: HolderKey) {
        self.ledger.borrow_mut().remove(key);
        self.clients.borrow_mut().remove(&key);
    }
}
