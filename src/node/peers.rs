//! Wiring of what nodes know of each other: configuration, membership and links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use control::config::{ConfigFollower, ConfigHandle, ConfigKeeper, follow_config};
use control::members::{Member, MemberBook, MemberKeeper, MemberState};
use eyre::WrapErr;
use peers::{LinkParts, NoEvidence, PeerHub, PeerTraffic, SharedKey, accept_links, keep_links};
use platform::http::HttpTable;
use settings::NodeSettings;
use settings::node::peer_key;
use tokio::net::TcpListener;

use super::NodeContext;

/// A bound listener for peers, with what is shared with them.
pub struct PeerListener {
    listener: TcpListener,
    book: MemberBook,
    members: MemberKeeper<HttpTable>,
    config: ConfigHandle,
}

/// The running links.
pub struct PeerTasks {
    hub: PeerHub<NoEvidence>,
    members: MemberKeeper<HttpTable>,
}

/// Time that a node that stops gives its peers to hear of it.
const GOODBYE_LIMIT: Duration = Duration::from_millis(300);

/// Binds the listener for peers. `admin` is the address at which operators find this node.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn bind(context: &NodeContext, admin: Option<SocketAddr>) -> eyre::Result<PeerListener> {
    let settings = &context.settings;
    let any_port = SocketAddr::new(settings.listen.ip(), 0);
    let wanted = settings.peers.listen.unwrap_or(any_port);
    let listener = TcpListener::bind(wanted)
        .await
        .wrap_err_with(|| format!("can't listen for peers on {wanted}"))?;
    let own = Member {
        node: settings.node.clone(),
        address: listener.local_addr()?,
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        admin,
    };
    let book = MemberBook::new(MemberState::new(own, settings.members.limits()));
    let members = MemberKeeper::builder()
        .table(context.table.clone())
        .book(book.clone())
        .recorder(context.recorder.clone())
        .settings(settings.members)
        .build();
    let config = ConfigKeeper::start(
        settings.config.rule(),
        book.clone(),
        context.config_sender.clone(),
        context.recorder.clone(),
    );
    Ok(PeerListener {
        listener,
        book,
        members,
        config,
    })
}

fn shared_key(settings: &NodeSettings) -> eyre::Result<Option<SharedKey>> {
    let Some(text) = peer_key(&settings.peers)? else {
        return Ok(None);
    };
    Ok(Some(SharedKey::new(text.expose())?))
}

impl PeerListener {
    /// Starts the tasks.
    ///
    /// # Errors
    ///
    /// When the shared key can't be read or is too short.
    pub fn start(self, context: &NodeContext) -> eyre::Result<PeerTasks> {
        let settings = &context.settings;
        let key = shared_key(settings)?;
        let follower = ConfigFollower::builder()
            .table(context.table.clone())
            .objects(context.objects.clone())
            .keeper(self.config.clone())
            .members(self.book.clone())
            .recorder(context.recorder.clone())
            .settings(settings.config)
            .build();
        tokio::spawn(follow_config(follower));
        tokio::spawn(self.members.clone().write_forever());
        tokio::spawn(self.members.clone().beat_forever());
        tokio::spawn(self.members.clone().list_forever());
        let hub = PeerHub {
            config: self.config,
            book: self.book,
            evidence: NoEvidence,
            recorder: context.recorder.clone(),
            traffic: PeerTraffic::default(),
            wake: Arc::default(),
        };
        if let Some(key) = key {
            let parts = LinkParts {
                hub: hub.clone(),
                key,
                settings: settings.peers.clone(),
                recorder: context.recorder.clone(),
            };
            tokio::spawn(accept_links(self.listener, parts.clone()));
            tokio::spawn(keep_links(parts));
        }
        Ok(PeerTasks {
            hub,
            members: self.members,
        })
    }
}

impl PeerTasks {
    /// The configuration in force, and how well it is known.
    pub fn config(&self) -> &ConfigHandle {
        &self.hub.config
    }

    /// The membership.
    pub fn book(&self) -> &MemberBook {
        &self.hub.book
    }

    /// Says goodbye to the other nodes.
    pub async fn leave(&self) {
        tokio::join!(self.hub.say_goodbye(GOODBYE_LIMIT), self.members.leave());
    }
}
