//! Keeps the node's links: makes the chosen ones, drops the others, avoids peers that failed.

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

/// The choice is made anew so often; a change of members is never urgent here.
const CHOOSE_PERIOD: Duration = Duration::from_millis(500);

/// Where a link goes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum LinkPlace {
    /// To a member.
    Member(NodeId),
    /// To an address from the settings, whoever answers there.
    Seed(SocketAddr),
}

struct LinkEnd {
    place: LinkPlace,
    error: LinkError,
}

/// Keeps the node's links until the task is dropped.
pub async fn maintain_links<E: EvidenceExchange>(context: LinkContext<E>) {
    let mut keeper = LinkKeeper {
        context,
        running: FastMap::default(),
        tasks: JoinSet::new(),
        avoided: FastMap::default(),
    };
    let mut ticks = tokio::time::interval(CHOOSE_PERIOD);
    loop {
        tokio::select! {
            _ = ticks.tick() => keeper.choose(Instant::now()),
            Some(ended) = keeper.tasks.join_next() => {
                if let Ok(ended) = ended {
                    keeper.note_end(ended, Instant::now());
                }
            }
        }
    }
}

struct LinkKeeper<E> {
    context: LinkContext<E>,
    running: FastMap<LinkPlace, AbortHandle>,
    tasks: JoinSet<LinkEnd>,
    avoided: FastMap<LinkPlace, Instant>,
}

impl<E: EvidenceExchange> LinkKeeper<E> {
    fn choose(&mut self, now: Instant) {
        self.avoided.retain(|_, until| *until > now);
        let view = self.context.gossip.membership.view(now);
        let avoided: FastSet<NodeId> = self
            .avoided
            .keys()
            .filter_map(|place| match place {
                LinkPlace::Member(node) => Some(node.clone()),
                LinkPlace::Seed(_) => None,
            })
            .collect();
        let own = self.context.gossip.membership.own();
        let degree = self.context.settings.degree;
        let mut wanted: FastMap<LinkPlace, SocketAddr> = FastMap::default();
        for member in select_peers(&own, &view, degree, &avoided) {
            wanted.insert(LinkPlace::Member(member.node), member.address);
        }
        if wanted.is_empty() {
            for seed in &self.context.settings.seeds {
                let place = LinkPlace::Seed(*seed);
                if *seed == own.address || self.avoided.contains_key(&place) {
                    continue;
                }
                wanted.insert(place, *seed);
            }
        }
        self.running.retain(|place, task| {
            let keep = wanted.contains_key(place);
            if !keep {
                task.abort();
            }
            keep
        });
        for (place, address) in wanted {
            self.start(place, address);
        }
    }

    fn start(&mut self, place: LinkPlace, address: SocketAddr) {
        if self.running.contains_key(&place) {
            return;
        }
        let context = self.context.clone();
        let target = place.clone();
        let task = self.tasks.spawn(async move {
            let expected = match &target {
                LinkPlace::Member(node) => Some(node),
                LinkPlace::Seed(_) => None,
            };
            let ended = run_link(&context, address, expected).await;
            let error = match ended {
                Ok(never) => match never {},
                Err(error) => error,
            };
            LinkEnd {
                place: target,
                error,
            }
        });
        self.running.insert(place, task);
    }

    /// A peer whose link failed is avoided for a while, and another takes its place: retried at
    /// once, a frozen peer would hold the place and a returning one be run over.
    fn note_end(&mut self, ended: LinkEnd, now: Instant) {
        let until = now + jittered(self.context.settings.avoid_duration());
        self.running.remove(&ended.place);
        let detail = format!("{:?}: {}", ended.place, ended.error);
        self.context
            .recorder
            .note(EventCode::PeerLost, EventSubject::default(), detail);
        self.avoided.insert(ended.place, until);
    }
}
