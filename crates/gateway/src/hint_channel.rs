//! Load hints: tells other nodes about prompts sent to replica heads and the load that heads
//! report.
//!
//! Several nodes send to the same replicas, and each learns a head's load only from its own
//! responses. Without hints, two nodes can send long prompts to the same head within one batch
//! step, which stalls every stream there for about a third of a second. A node whose load data is a
//! third of a second old also admits requests that will be late.
//!
//! A hint is a single datagram to each other node. It is useful for about a hundred milliseconds,
//! so it is never resent or waited for; a stream would deliver it late after a lost packet, when it
//! is out of date. Hints affect only target selection and whether a node that can't reach a head
//! leaves its replica alone because it serves other nodes. Lost or forged hints degrade these
//! decisions without affecting correctness.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use domain::HostId;
use serde::{Deserialize, Serialize};
use serving::hashing::stable_hash;
use tokio::net::UdpSocket;

/// Maximum number of nodes that hints are sent to. A node sends about twenty requests per second,
/// so this is 600 datagrams of some 10 bytes. In a larger deployment each node's share of a
/// replica's requests is too small for its hints to matter, and their number would grow with the
/// deployment.
pub const MAX_HINT_PEERS: usize = 15;

/// Hash of a host id, sent in hints in place of the id to save bytes. Hosts with the same hash
/// would be mistaken for each other; with 1,500 hosts there is one such pair in four thousand
/// deployments.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostHash(u32);

impl From<&HostId> for HostHash {
    fn from(id: &HostId) -> Self {
        Self(u32::try_from(stable_hash(&id.as_str()) >> 32).unwrap_or(u32::MAX))
    }
}

/// What was heard of one head.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadHint {
    /// The head.
    pub head: HostHash,
    /// What was heard.
    pub report: HintReport,
}

/// What was heard of a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HintReport {
    /// It reported its load.
    Load {
        /// Number of requests running and queued there.
        requests: u32,
        /// Whether the report came with a successful response.
        served: bool,
    },
    /// It does not respond, or its requests make no progress.
    Silent,
}

/// A hint sent to other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadHint {
    /// A request was sent to a head.
    Sent {
        /// Head that the request was sent to.
        head: HostHash,
        /// Number of prompt tokens of the request.
        tokens: u32,
    },
    /// A head reported its load.
    Reported {
        /// Head that reported the load.
        head: HostHash,
        /// Number of requests running and queued there.
        requests: u32,
        /// Whether the report came with a successful response, which shows that the replica makes
        /// progress.
        served: bool,
    },
    /// The store has new crash records that other nodes should read now. The evidence itself is
    /// only in the store, where outsiders can't write.
    #[serde(rename = "EndsWritten")]
    CrashRecordsWritten,
    /// What one node heard of a head, for a node that passes it on.
    Heard(HeadHint),
    /// What nodes of the sender's failure domain or of others heard of heads.
    DomainBatch(Vec<HeadHint>),
    /// What nodes of another failure domain heard of heads, for a node that passes it on.
    OtherBatch(Vec<HeadHint>),
    /// A target states a limit on the requests of all nodes, or no longer does.
    Limit {
        /// The target.
        target: HostHash,
        /// Thousandths of requests per second; `None` once it states none.
        milli_rate: Option<u32>,
    },
}

impl LoadHint {
    /// Encodes the hint as a datagram; `None` if encoding fails.
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        bincode::serde::encode_to_vec(self, bincode::config::standard()).ok()
    }
}

/// Nodes that collect the loads of a large deployment. All are empty in a small one.
#[derive(Debug, Default)]
pub struct LoadCollectors {
    /// Other nodes that collect the loads reported to this failure domain.
    pub own: Vec<SocketAddr>,
    /// Whether this node is one of them.
    pub is_collector: bool,
    /// Other nodes of this failure domain, if this node collects loads.
    pub domain: Vec<SocketAddr>,
    /// Nodes that collect the loads of the other failure domains, if this node collects loads.
    pub others: Vec<SocketAddr>,
}

/// UDP socket for hints and the addresses they are sent to.
#[derive(Debug, Default)]
pub struct HintChannel {
    socket: Option<Rc<UdpSocket>>,
    peers: RefCell<Vec<SocketAddr>>,
    /// All other nodes, including when there are too many for load hints.
    all_peers: RefCell<Vec<SocketAddr>>,
    collectors: RefCell<LoadCollectors>,
}

impl HintChannel {
    /// Creates a channel that sends from `socket`; without a socket nothing is sent.
    #[must_use]
    pub fn new(socket: Option<UdpSocket>) -> Self {
        Self {
            socket: socket.map(Rc::new),
            peers: RefCell::default(),
            all_peers: RefCell::default(),
            collectors: RefCell::default(),
        }
    }

    /// Socket on which hints of other nodes arrive.
    #[must_use]
    pub fn socket(&self) -> Option<Rc<UdpSocket>> {
        self.socket.clone()
    }

    /// Address at which this node receives hints.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.socket.as_ref()?.local_addr().ok()
    }

    /// Number of nodes that receive load hints; 0 if there are more than `MAX_HINT_PEERS`.
    #[must_use]
    pub fn peer_count(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Sets the addresses of the other nodes; beyond `MAX_HINT_PEERS`, none gets load hints.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) {
        let is_small = peers.len() <= MAX_HINT_PEERS;
        self.all_peers.borrow_mut().clone_from(&peers);
        *self.peers.borrow_mut() = if is_small { peers } else { Vec::new() };
    }

    /// Sends a hint to the other nodes, unless there are too many of them.
    pub fn send(&self, hint: LoadHint) {
        self.send_to(hint, &self.peers.borrow());
    }

    /// Sends a hint to all other nodes, however many; only for rare hints.
    pub fn broadcast(&self, hint: LoadHint) {
        self.send_to(hint, &self.all_peers.borrow());
    }

    /// Sets the nodes that collect the loads of a large deployment.
    pub fn set_collectors(&self, collectors: LoadCollectors) {
        *self.collectors.borrow_mut() = collectors;
    }

    /// Whether nodes collect the loads of a large deployment and pass them on.
    #[must_use]
    pub fn has_collectors(&self) -> bool {
        !self.collectors.borrow().own.is_empty() || self.is_collector()
    }

    /// Whether this node collects the loads reported to its failure domain.
    #[must_use]
    pub fn is_collector(&self) -> bool {
        self.collectors.borrow().is_collector
    }

    /// Sends a reported load to the nodes that collect them.
    pub fn send_to_collectors(&self, hint: LoadHint) {
        self.send_to(hint, &self.collectors.borrow().own);
    }

    /// Sends a batch of loads to the other nodes of the failure domain.
    pub fn send_to_domain(&self, hint: LoadHint) {
        self.send_to(hint, &self.collectors.borrow().domain);
    }

    /// Sends a batch of loads to the nodes that collect those of other failure domains.
    pub fn send_to_others(&self, hint: LoadHint) {
        self.send_to(hint, &self.collectors.borrow().others);
    }

    // Hints are moved in, as they are built for one sending.
    #[allow(clippy::needless_pass_by_value)]
    fn send_to(&self, hint: LoadHint, peers: &[SocketAddr]) {
        let Some(socket) = &self.socket else { return };
        let Some(bytes) = hint.encode() else { return };
        for peer in peers {
            // A hint that can't be sent now would be out of date later.
            drop(socket.try_send_to(&bytes, *peer));
        }
    }
}
