//! Link management: opens links to selected peers, closes others, and avoids peers that failed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use control::config::poll::jittered;
use domain::{FastMap, FastSet, NodeId};
use events::{EventCode, EventSubject};
use tokio::task::{AbortHandle, JoinSet};

use crate::error::LinkError;
use crate::evidence::EvidenceExchange;
use crate::link::{LinkContext, run_link};
use crate::select::select_peers;

/// Interval at which peers are selected again; reacting to membership changes isn't urgent.
const SELECTION_INTERVAL: Duration = Duration::from_millis(500);

/// The remote end of a link.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum LinkEndpoint {
    /// A known member.
    Member(NodeId),
    /// A seed address from the settings; any node may respond there.
    Seed(SocketAddr),
}

struct EndedLink {
    endpoint: LinkEndpoint,
    error: LinkError,
}

/// Maintains the node's links until the task is dropped.
pub async fn maintain_links<E: EvidenceExchange>(context: LinkContext<E>) {
    let mut manager = LinkManager {
        context,
        running: FastMap::default(),
        tasks: JoinSet::new(),
        avoided: FastMap::default(),
    };
    let mut ticker = tokio::time::interval(SELECTION_INTERVAL);
    loop {
        tokio::select! {
            _ = ticker.tick() => manager.update_links(Instant::now()),
            Some(ended) = manager.tasks.join_next() => {
                if let Ok(ended) = ended {
                    manager.handle_link_end(ended, Instant::now());
                }
            }
        }
    }
}

struct LinkManager<E> {
    context: LinkContext<E>,
    running: FastMap<LinkEndpoint, AbortHandle>,
    tasks: JoinSet<EndedLink>,
    avoided: FastMap<LinkEndpoint, Instant>,
}

impl<E: EvidenceExchange> LinkManager<E> {
    fn update_links(&mut self, now: Instant) {
        self.avoided.retain(|_, until| *until > now);
        let view = self.context.gossip.membership.view(now);
        let avoided: FastSet<NodeId> = self
            .avoided
            .keys()
            .filter_map(|endpoint| match endpoint {
                LinkEndpoint::Member(node) => Some(node.clone()),
                LinkEndpoint::Seed(_) => None,
            })
            .collect();
        let own = self.context.gossip.membership.own();
        let degree = self.context.settings.degree;
        let mut selected: FastMap<LinkEndpoint, SocketAddr> = FastMap::default();
        for member in select_peers(&own, &view, degree, &avoided) {
            selected.insert(LinkEndpoint::Member(member.node), member.address);
        }
        if selected.is_empty() {
            for seed in &self.context.settings.seeds {
                let endpoint = LinkEndpoint::Seed(*seed);
                if *seed == own.address || self.avoided.contains_key(&endpoint) {
                    continue;
                }
                selected.insert(endpoint, *seed);
            }
        }
        self.running.retain(|endpoint, task| {
            let keep = selected.contains_key(endpoint);
            if !keep {
                task.abort();
            }
            keep
        });
        for (endpoint, address) in selected {
            self.start_link(endpoint, address);
        }
    }

    fn start_link(&mut self, endpoint: LinkEndpoint, address: SocketAddr) {
        if self.running.contains_key(&endpoint) {
            return;
        }
        let context = self.context.clone();
        let remote = endpoint.clone();
        let task = self.tasks.spawn(async move {
            let expected = match &remote {
                LinkEndpoint::Member(node) => Some(node),
                LinkEndpoint::Seed(_) => None,
            };
            let ended = run_link(&context, address, expected).await;
            let error = match ended {
                Ok(never) => match never {},
                Err(error) => error,
            };
            EndedLink {
                endpoint: remote,
                error,
            }
        });
        self.running.insert(endpoint, task);
    }

    /// Avoids a peer for a while after its link failed, so that another peer is selected instead.
    /// With an immediate retry, a suspended peer would never be replaced by another, and a peer
    /// that comes back would be flooded with connections.
    fn handle_link_end(&mut self, ended: EndedLink, now: Instant) {
        let until = now + jittered(self.context.settings.avoid_duration());
        self.running.remove(&ended.endpoint);
        let detail = format!("{:?}: {}", ended.endpoint, ended.error);
        self.context
            .recorder
            .record(EventCode::PeerLost, EventSubject::default(), detail);
        self.avoided.insert(ended.endpoint, until);
    }
}
