//! Follows another node, which passes on the changes of the store.

use std::rc::Rc;
use std::time::Duration;

use domain::{EraVersion, FastMap, NodeId, RowVersion, StoreEra};
use events::{EventCode, LogLine};
use peers::DialedLink;
use peers::error::LinkError;
use peers::transport::{BulkTimeouts, with_timeout};
use serving::feed::{DeltaProof, FeedSample, FeedTiming};
use tokio::net::TcpStream;
use wire::feed::{
    FeedDelta, FeedLane, FeedPosition, FeedRequest, FeedResponse, FeedTable,
    MAX_FEED_RESPONSE_BYTES,
};
use wire::packed::decode_packed;
use wire::peer::encode_message;

use super::intake::FeedIntake;
use super::messages::decode_delta;
use super::pace::pause_after;
use super::provenance::{TableConfirmation, TableOrigin};
use super::state::{FeedMember, FeedSource};
use crate::node::GatewayNode;

/// Time for which a source is not asked again after it was unreachable.
const AVOID_UNREACHABLE: Duration = Duration::from_secs(3);

/// Time for which a source is not asked again after its data was too old.
const AVOID_STALE: Duration = Duration::from_millis(800);

/// Time for which a source is not asked again that has just started.
const AVOID_STARTING: Duration = Duration::from_millis(150);

/// Number of failures in a row up to which a source is avoided twice as long after each.
const MAX_AVOID_DOUBLINGS: u32 = 3;

/// Interval for looking for a source while there is none.
const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Least depth that counts for a node that follows one of another failure domain, which is a child
/// of that domain's root or the root.
const FALLBACK_DEPTH: u32 = 3;

/// Link to the source that is followed.
struct SourceLink {
    dialed: DialedLink,
    /// Since when the source has lacked changes that this node knows.
    behind_since: Option<Duration>,
}

/// Why a source can't be followed.
#[derive(Debug, thiserror::Error)]
enum FollowError {
    /// The link failed.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// It sent a change to a value that this node does not have.
    #[error("a change refers to a value that is not known here")]
    UnknownBase,
    /// It has not read the store yet, or not since the store was restored from a copy.
    #[error("it has not read the store yet")]
    NothingKnown,
    /// It knows an earlier era of the store only.
    #[error("its data is of an earlier era of the store")]
    EraEnded,
    /// Its data is not recent enough, or older than what this node knows.
    #[error("its data is too old: {0:?}")]
    Stale(FeedSample),
}

impl FollowError {
    fn avoid_time(&self) -> Duration {
        match self {
            // A source that can't be authenticated has restarted, and its new key is read at once.
            Self::Link(LinkError::Auth(_)) | Self::Stale(_) | Self::UnknownBase => AVOID_STALE,
            Self::NothingKnown | Self::EraEnded => AVOID_STARTING,
            Self::Link(_) => AVOID_UNREACHABLE,
        }
    }
}

/// Sources that failed, and until when each is not asked again.
#[derive(Default)]
struct AvoidedSources {
    sources: FastMap<NodeId, AvoidedSource>,
}

struct AvoidedSource {
    until: Duration,
    failures: u32,
}

impl AvoidedSources {
    fn contains(&self, source: &NodeId, now: Duration) -> bool {
        let avoided = self.sources.get(source);
        avoided.is_some_and(|avoided| now < avoided.until)
    }

    /// Avoids a source, for longer with each failure in a row.
    fn avoid(&mut self, source: NodeId, now: Duration, error: &FollowError, timing: FeedTiming) {
        let avoided = self.sources.entry(source).or_insert(AvoidedSource {
            until: now,
            failures: 0,
        });
        let factor = 1 << avoided.failures.min(MAX_AVOID_DOUBLINGS);
        let time = error.avoid_time() * factor;
        let most = match error {
            FollowError::Link(_) => time,
            _ => timing.max_avoid_stale(),
        };
        avoided.until = now + time.min(most);
        avoided.failures += 1;
    }

    fn forgive(&mut self, source: &NodeId) {
        self.sources.remove(source);
    }
}

/// Follows the best source for a lane while there is one; never returns.
pub async fn follow_sources(intake: Rc<FeedIntake>, lane: FeedLane) {
    let node = Rc::clone(&intake.node);
    let timing = node.feed_timing(lane);
    let mut link: Option<SourceLink> = None;
    let mut avoided = AvoidedSources::default();
    let mut succeeded_at = Duration::ZERO;
    loop {
        let Some((source, kind)) = choose_source(&node, lane, &avoided) else {
            link = None;
            node.feed.set_source(lane, FeedSource::Store);
            tokio::time::sleep(SOURCE_CHECK_INTERVAL).await;
            continue;
        };
        let asked_at = node.now();
        match follow_once(&intake, lane, &mut link, &source, kind).await {
            Ok(applied_in) => {
                succeeded_at = node.now();
                avoided.forgive(&source.node);
                // The store may have taken this node back while the source held the request.
                let is_taken_back = node.feed.has_answered_since(lane, asked_at);
                if kind != FeedSource::Fallback || !is_taken_back {
                    node.feed.set_source(lane, kind);
                }
                let pause = pause_after(applied_in, timing.max_pause());
                tokio::time::sleep(pause).await;
            }
            Err(error) => {
                link = None;
                log_source_lost(&intake, lane, &source, &error);
                if matches!(error, FollowError::Link(LinkError::Auth(_))) {
                    node.feed.key_changed.notify_one();
                }
                let now = node.now();
                // The node reads the store meanwhile, so that it is as recent as without a source.
                if now.saturating_sub(succeeded_at) > timing.search_time() {
                    node.feed.set_source(lane, FeedSource::Store);
                }
                avoided.avoid(source.node, now, &error, timing);
            }
        }
    }
}

/// The preferred source that is not avoided: one of the own failure domain, or while the store turns
/// this node away, one of another.
fn choose_source(
    node: &GatewayNode,
    lane: FeedLane,
    avoided: &AvoidedSources,
) -> Option<(FeedMember, FeedSource)> {
    if !may_follow(node) {
        return None;
    }
    let now = node.now();
    let is_possible = |source: &FeedMember| !avoided.contains(&source.node, now);
    let sources = node.feed.sources(&node.settings.node);
    if let Some(source) = sources.into_iter().find(is_possible) {
        return Some((source, FeedSource::Tree));
    }
    if !node.feed.needs_fallback(lane) {
        return None;
    }
    let fallback = node.feed.fallbacks().into_iter().find(is_possible)?;
    Some((fallback, FeedSource::Fallback))
}

/// Whether a source may be asked. At a restart of all nodes each reads the tables itself: whole tables
/// for eight followers would fill a node's link for seconds.
fn may_follow(node: &GatewayNode) -> bool {
    let is_read = node.feed.copy(FeedTable::Registry).borrow().is_read();
    is_read || node.settings.first_start || node.feed.is_cut_off()
}

/// Asks a source for changes once; returns the time that it took to apply them.
async fn follow_once(
    intake: &FeedIntake,
    lane: FeedLane,
    link: &mut Option<SourceLink>,
    source: &FeedMember,
    kind: FeedSource,
) -> Result<Duration, FollowError> {
    let is_linked = link
        .as_ref()
        .is_some_and(|link| *link.dialed.peer() == source.node);
    let timing = intake.node.feed_timing(lane);
    let mut wait = timing.follow_wait();
    if !is_linked {
        // A new source must show at once whether its data is recent.
        wait = Duration::ZERO;
        let dialed = with_timeout(timing.follow_slack(), open_link(intake, source)).await?;
        *link = Some(SourceLink {
            dialed,
            behind_since: None,
        });
    }
    let Some(link) = link else {
        return Ok(Duration::ZERO);
    };
    let request = build_request(intake, lane, wait);
    let timeouts = BulkTimeouts {
        start: wait + timing.follow_slack(),
        pause: timing.follow_slack(),
        whole: wait + timing.transfer_timeout(),
    };
    let payload = encode_message(&request).map_err(LinkError::from)?;
    let sent_at = intake.node.now();
    let response = link
        .dialed
        .request_bulk::<MAX_FEED_RESPONSE_BYTES>(lane.path(), payload, timeouts)
        .await?;
    let response: FeedResponse =
        decode_packed::<_, MAX_FEED_RESPONSE_BYTES>(&response).map_err(LinkError::from)?;
    let answered_at = intake.node.now();
    let held = Duration::from_millis(u64::from(response.held_ms));
    take_response(intake, lane, link, response, kind, sent_at + held)?;
    if !is_linked {
        log_followed(intake, lane, source);
    }
    Ok(intake.node.now().saturating_sub(answered_at))
}

async fn open_link(intake: &FeedIntake, source: &FeedMember) -> Result<DialedLink, LinkError> {
    let stream = TcpStream::connect(source.address).await?;
    stream.set_nodelay(true)?;
    let own = &intake.node.settings.node;
    DialedLink::open(stream, &source.key, own, Some(&source.node)).await
}

fn build_request(intake: &FeedIntake, lane: FeedLane, wait: Duration) -> FeedRequest {
    let era = intake.node.eras.current();
    let position = |table| {
        let known = intake.node.feed.copy(table).borrow().latest();
        let known = known.and_then(|known| known.within(era));
        FeedPosition {
            table,
            era: era.0,
            known: known.map(|version| version.0),
        }
    };
    FeedRequest {
        wait_ms: super::messages::encode_millis(wait),
        tables: lane.tables().iter().copied().map(position).collect(),
    }
}

/// Takes in a response if the source's data is recent enough. It was built at `built_at` at the
/// earliest.
fn take_response(
    intake: &FeedIntake,
    lane: FeedLane,
    link: &mut SourceLink,
    response: FeedResponse,
    kind: FeedSource,
    built_at: Duration,
) -> Result<(), FollowError> {
    let node = &intake.node;
    let now = node.now();
    let age_of = |delta: &FeedDelta| Duration::from_millis(u64::from(delta.age_ms));
    let is_behind = |delta: &FeedDelta| {
        let copy = node.feed.copy(delta.table).borrow();
        let version = EraVersion::new(StoreEra(delta.era), RowVersion(delta.version));
        copy.is_ahead_of(version)
    };
    let is_needed = |delta: &&FeedDelta| delta.table != FeedTable::Nodes;
    let needed = || response.tables.iter().filter(is_needed);
    if needed().next().is_none() {
        return Err(FollowError::NothingKnown);
    }
    for delta in &response.tables {
        let shown_by = format_args!("node {}", link.dialed.peer());
        if !node.eras.observe_node(StoreEra(delta.era), shown_by) {
            return Err(FollowError::EraEnded);
        }
    }
    let behind_since = link.behind_since.unwrap_or(now);
    link.behind_since = needed().any(is_behind).then_some(behind_since);
    let sample = FeedSample {
        age: needed().map(age_of).max().unwrap_or(Duration::MAX),
        is_cut_off: response.is_cut_off,
        behind_for: link
            .behind_since
            .map_or(Duration::ZERO, |since| now.saturating_sub(since)),
    };
    if let Some(failed_ms_ago) = response.failed_ms_ago {
        let ago = Duration::from_millis(u64::from(failed_ms_ago));
        if let Some(failed_at) = now.checked_sub(ago) {
            node.feed
                .outages
                .borrow_mut()
                .record_others_failure(failed_at);
        }
    }
    let depth = node.feed.depth(&node.settings.node);
    let depth = match kind {
        FeedSource::Fallback => depth.max(FALLBACK_DEPTH),
        FeedSource::Store | FeedSource::Tree => depth,
    };
    if !sample.is_usable(node.feed_timing(lane), depth) {
        return Err(FollowError::Stale(sample));
    }
    node.feed.record_lane_contact(lane);
    for delta in response.tables {
        let confirmation = TableConfirmation {
            proof: DeltaProof {
                confirmed_at: now.saturating_sub(age_of(&delta)),
                proved_at: proof_age(&delta).map(|age| built_at.saturating_sub(age)),
            },
            origin: TableOrigin::Node(link.dialed.peer().clone()),
        };
        let table = delta.table;
        let decoded = decode_delta(&node.feed.copy(table).borrow(), delta);
        let decoded = decoded.ok_or(FollowError::UnknownBase)?;
        intake.take(table, decoded, confirmation);
    }
    Ok(())
}

/// Age of a source's proof, rounded up.
fn proof_age(delta: &FeedDelta) -> Option<Duration> {
    let age = delta.proof_age_ms?;
    Some(Duration::from_millis(u64::from(age) + 1))
}

fn log_followed(intake: &FeedIntake, lane: FeedLane, source: &FeedMember) {
    intake.node.log(
        &LogLine::new(EventCode::FeedFollowed)
            .text("source", source.node.as_str())
            .text("lane", lane.name()),
    );
}

fn log_source_lost(intake: &FeedIntake, lane: FeedLane, source: &FeedMember, error: &FollowError) {
    intake.node.log(
        &LogLine::new(EventCode::FeedSourceLost)
            .text("source", source.node.as_str())
            .text("lane", lane.name())
            .text("reason", &error.to_string()),
    );
}
