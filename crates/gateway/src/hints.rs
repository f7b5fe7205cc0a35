//! Telling other nodes what was just sent to a head, and how loaded it says it is.
//!
//! Several nodes send to the same replicas, and each hears of a head's load only with its own
//! answers. Without hints two nodes send long prompts to the same head within one pass, and each
//! stream there misses its pauses; callers see text that stops for a third of a second. And a node
//! that last heard of a head a third of a second ago lets requests in that will be late.
//!
//! A hint is one datagram to each other node: worth something for about a hundred milliseconds,
//! never sent again, and never waited for. A stream between the nodes would deliver it late behind a
//! lost packet, when it is wrong. Only the choice of a target rests on it, and whether a node that can't
//! reach a head leaves its replica alone because it answers others. A lost or forged one makes these
//! worse and breaks no promise.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use domain::HostId;
use serde::{Deserialize, Serialize};
use serving::hashing::stable_hash;
use tokio::net::UdpSocket;

use crate::node::GatewayNode;

/// Nodes to which hints are sent at most. A node of today sends about twenty requests a second, so
/// that is 600 datagrams of some 10 bytes; in a larger fleet each node's part of a replica's
/// requests is too small for its hints to matter, and their number would grow with the fleet.
const MOST_LISTENERS: usize = 15;

/// Largest datagram that is read, in bytes; a hint takes about 10.
const MAX_HINT_BYTES: usize = 64;

/// Most prompt tokens that one hint may tell of: above the context of any model, so that a forged
/// one can't keep a head from being chosen for long.
const MOST_TOKENS: u32 = 200_000;

/// Stands for a host's id in hints, where each byte is sent to every node. Two hosts with the same
/// mark would be taken for each other; among 1,500 that is one pair in four thousand fleets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostHash(u32);

impl From<&HostId> for HostHash {
    fn from(id: &HostId) -> Self {
        Self(u32::try_from(stable_hash(&id.as_str()) >> 32).unwrap_or(u32::MAX))
    }
}

/// What a node tells the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadHint {
    /// A request is on its way to a head.
    Sent {
        /// The head.
        head: HostHash,
        /// Tokens of its prompt.
        tokens: u32,
    },
    /// A head said how much runs and waits there.
    Reported {
        /// The head.
        head: HostHash,
        /// Requests running and waiting.
        requests: u32,
        /// Whether it said so with the beginning of an answer, so that its replica moves.
        served: bool,
    },
    /// The store tells of ended targets what other nodes should read now. What is said against a
    /// request stands in the store alone, where no stranger writes.
    EndsWritten,
}

impl LoadHint {
    /// The datagram that tells it; nothing where it can't be written.
    #[must_use]
    pub fn encode(self) -> Option<Vec<u8>> {
        bincode::serde::encode_to_vec(self, bincode::config::standard()).ok()
    }
}

/// Where hints are sent from and to.
#[derive(Debug, Default)]
pub struct HintLine {
    socket: Option<Rc<UdpSocket>>,
    listeners: RefCell<Vec<SocketAddr>>,
    /// All other nodes, also where they are too many to be told of loads.
    everyone: RefCell<Vec<SocketAddr>>,
}

impl HintLine {
    /// A line that sends from `socket`; without one, nobody is told.
    #[must_use]
    pub fn new(socket: Option<UdpSocket>) -> Self {
        Self {
            socket: socket.map(Rc::new),
            listeners: RefCell::default(),
            everyone: RefCell::default(),
        }
    }

    /// Address at which this node hears hints.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.socket.as_ref()?.local_addr().ok()
    }

    /// How many nodes are told.
    #[must_use]
    pub fn listeners(&self) -> usize {
        self.listeners.borrow().len()
    }

    /// Takes the addresses of the other nodes.
    pub fn set_listeners(&self, listeners: Vec<SocketAddr>) {
        let few = listeners.len() <= MOST_LISTENERS;
        self.everyone.borrow_mut().clone_from(&listeners);
        *self.listeners.borrow_mut() = if few { listeners } else { Vec::new() };
    }

    /// Tells the other nodes, where they are few.
    pub fn tell(&self, hint: LoadHint) {
        self.send(hint, &self.listeners.borrow());
    }

    /// Tells all other nodes; for what is seldom.
    pub fn tell_everyone(&self, hint: LoadHint) {
        self.send(hint, &self.everyone.borrow());
    }

    fn send(&self, hint: LoadHint, listeners: &[SocketAddr]) {
        let Some(socket) = &self.socket else { return };
        let Some(bytes) = hint.encode() else { return };
        for listener in listeners {
            // A hint that the system can't take now is out of date when it could be sent again.
            drop(socket.try_send_to(&bytes, *listener));
        }
    }
}

/// Hears the hints of other nodes, for ever.
pub async fn hear_hints(node: Rc<GatewayNode>) {
    let Some(socket) = node.hints.socket.clone() else {
        return;
    };
    let mut buffer = [0; MAX_HINT_BYTES];
    loop {
        // An error tells of an earlier datagram to a node that is gone; there is nothing to mend.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            tokio::task::yield_now().await;
            continue;
        };
        match decode_hint(&buffer[..length]) {
            Some(LoadHint::Sent { head, tokens }) => node.hear_sent(head, tokens.min(MOST_TOKENS)),
            Some(LoadHint::Reported {
                head,
                requests,
                served,
            }) => node.hear_report(head, requests, served),
            Some(LoadHint::EndsWritten) => node.ends_written.notify_one(),
            None => {}
        }
    }
}

/// A hint; nothing for bytes that are none, such as those of another version of the program.
fn decode_hint(bytes: &[u8]) -> Option<LoadHint> {
    let config = bincode::config::standard().with_limit::<MAX_HINT_BYTES>();
    let decoded = bincode::serde::decode_from_slice(bytes, config);
    decoded.ok().map(|(hint, _)| hint)
}
