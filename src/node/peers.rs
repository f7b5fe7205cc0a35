//! Wiring of what nodes know of each other: configuration, membership and links.

use std::net::SocketAddr;

use control::config::{ConfigFollower, ConfigKeeper, follow_config};
use control::members::{Member, MemberBook, MemberKeeper, MemberState};
use eyre::WrapErr;
use platform::http::HttpTable;
use tokio::net::TcpListener;

use super::NodeContext;

/// A bound listener for peers, with what is shared with them.
pub struct PeerListener {
    #[expect(dead_code, reason = "links are accepted on it once they stand")]
    listener: TcpListener,
    book: MemberBook,
    members: MemberKeeper<HttpTable>,
}

/// Binds the listener for peers.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn bind(context: &NodeContext) -> eyre::Result<PeerListener> {
    let settings = &context.settings;
    let wanted = SocketAddr::new(settings.listen.ip(), 0);
    let listener = TcpListener::bind(wanted)
        .await
        .wrap_err_with(|| format!("can't listen for peers on {wanted}"))?;
    let own = Member {
        node: settings.node.clone(),
        address: listener.local_addr()?,
        domain: settings.domain.clone(),
        region: settings.region.clone(),
    };
    let book = MemberBook::new(MemberState::new(own, settings.members.limits()));
    let members = MemberKeeper::builder()
        .table(context.table.clone())
        .book(book.clone())
        .recorder(context.recorder.clone())
        .settings(settings.members)
        .build();
    Ok(PeerListener {
        listener,
        book,
        members,
    })
}

impl PeerListener {
    /// Starts the tasks.
    pub fn start(&self, context: &NodeContext) {
        let settings = &context.settings;
        let keeper = ConfigKeeper::start(
            settings.config.rule(),
            self.book.clone(),
            context.config_sender.clone(),
            context.recorder.clone(),
        );
        let follower = ConfigFollower::builder()
            .table(context.table.clone())
            .objects(context.objects.clone())
            .keeper(keeper)
            .members(self.book.clone())
            .recorder(context.recorder.clone())
            .settings(settings.config)
            .build();
        tokio::spawn(follow_config(follower));
        tokio::spawn(self.members.clone().write_forever());
        tokio::spawn(self.members.clone().beat_forever());
        tokio::spawn(self.members.clone().list_forever());
    }

    /// Says goodbye to the other nodes.
    pub async fn leave(&self) {
        self.members.leave().await;
    }
}
