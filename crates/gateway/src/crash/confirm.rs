//! Detects crashed targets and records which requests ran there.
//!
//! A connection that breaks during a response is not proof of a crash: a link may have dropped it
//! or a router may have reset it. If the target then refuses connections, its process has exited,
//! and the requests that ran there are kept as evidence. Unresponsive targets and stalled replicas
//! are not counted: their host lost power or its network, whatever it was running.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use domain::{FastMap, HostId, PromptPartId};
use events::{EventCode, LogLine};
use serving::{RequestFeature, TargetProcess};
use web::ConnectionError;

use super::state::{InterruptedRequest, crashed_features};
use super::verdict::EvidenceSource;
use crate::node::GatewayNode;
use crate::tunnel::{ConnectLimits, connect_target};

/// Time to wait for the other connections to a crashed target to break as well.
const COLLECT_WINDOW: Duration = Duration::from_millis(40);

/// Timeout for the connection attempt that tests whether a target has crashed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(160);

/// Maximum number of request fingerprints in a log line; the line's `requests` field has the total.
const MAX_LOGGED_FINGERPRINTS: usize = 6;

/// Maximum number of prompt parts in a log line; the line's `part_count` field has the total.
const MAX_LOGGED_PARTS: usize = 10;

/// Records that the connection to a target broke while it ran a request.
pub fn record_interrupted(
    node: &Rc<GatewayNode>,
    process: TargetProcess,
    request: InterruptedRequest,
) {
    if node.crashes.interrupt(&process, request) {
        // The loads fall as the requests at the target break off.
        let was_overloaded = node.was_overloaded(&process);
        let node = Rc::clone(node);
        tokio::task::spawn_local(confirm_crash(node, process, was_overloaded));
    }
}

async fn confirm_crash(node: Rc<GatewayNode>, target: TargetProcess, was_overloaded: bool) {
    tokio::time::sleep(COLLECT_WINDOW).await;
    let exited = has_exited(&node, &target).await;
    let interrupted = node.crashes.take_interrupted(&target);
    if !exited {
        return;
    }
    log_crash(&node, &target, &interrupted, was_overloaded);
    node.metrics.record_crash();
    let at = node.evidence_time();
    if was_overloaded {
        node.update_crashes(EvidenceSource::OwnCrash, |detector| {
            detector.record_overload(target.clone(), at);
        });
        node.crashes.queue_overload(target, at);
        return;
    }
    let features = crashed_features(&interrupted);
    node.update_crashes(EvidenceSource::OwnCrash, |detector| {
        detector.record(target.clone(), at, &features);
    });
    node.crashes.queue_report(target, at, &features);
}

/// Whether a target's process has exited: its address refuses connections, or the registry lists a
/// newer process for the host.
pub async fn has_exited(node: &GatewayNode, target: &TargetProcess) -> bool {
    let known = node.registry(|registry| {
        let entry = registry.get(&target.host)?;
        Some((entry.address, entry.boot))
    });
    let Some((address, now)) = known else {
        return false;
    };
    if now != target.boot {
        return true;
    }
    refuses_connections(node, &target.host, address).await
}

/// Whether nothing listens at a target's address any more.
pub async fn refuses_connections(node: &GatewayNode, host: &HostId, address: SocketAddr) -> bool {
    // A partition may reset and refuse the connections of this node alone.
    let limits = ConnectLimits::both(CONNECT_TIMEOUT);
    let connected = connect_target(node, host, address, limits).await;
    matches!(connected, Err(ConnectionError::Refused))
}

/// A prompt part at a crashed target.
#[derive(Debug, Default)]
struct CrashedPart {
    requests: usize,
    /// Age of the oldest response with it; `None` if none had begun.
    oldest: Option<Duration>,
}

fn log_crash(
    node: &GatewayNode,
    target: &TargetProcess,
    requests: &[InterruptedRequest],
    was_overloaded: bool,
) {
    let named = requests
        .iter()
        .take(MAX_LOGGED_FINGERPRINTS)
        .map(|request| {
            let fingerprint = request.fingerprint.to_string();
            format!("{}:{}", &fingerprint[..8], age_text(request.response_age))
        });
    let named: Vec<String> = named.collect();
    let mut parts: FastMap<PromptPartId, CrashedPart> = FastMap::default();
    for request in requests {
        for part in request.shared_parts.iter() {
            let crashed = parts.entry(*part).or_default();
            crashed.requests += 1;
            crashed.oldest = crashed.oldest.max(request.response_age);
        }
    }
    let count = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
    let line = LogLine::new(EventCode::TargetEnded)
        .text("host", target.host.as_str())
        .number("boot", target.boot.0)
        .number("requests", count(requests.len()))
        .number("overloaded", u64::from(was_overloaded))
        .text("marks", &named.join(" "))
        .number("part_count", count(parts.len()))
        .text("parts", &describe_parts(node, parts).join(" "));
    node.log(&line);
}

/// Describes the parts that nothing speaks for first, as `id:requests:age:sound`: requests with the part,
/// milliseconds since the oldest response with it began, and since the newest sound answer with it began.
fn describe_parts(node: &GatewayNode, parts: FastMap<PromptPartId, CrashedPart>) -> Vec<String> {
    let now = node.evidence_time();
    let described = parts.into_iter().map(|(part, crashed)| {
        let sound = node.crashes.newest_sound(RequestFeature::Part(part));
        let sound_age = sound.map(|at| now.saturating_sub(at));
        (sound_age, part, crashed)
    });
    let mut described: Vec<_> = described.collect();
    described.sort_by_key(|(sound_age, part, _)| {
        (std::cmp::Reverse(sound_age.unwrap_or(Duration::MAX)), *part)
    });
    let texts = described.iter().take(MAX_LOGGED_PARTS);
    let texts = texts.map(|(sound_age, part, crashed)| {
        let (oldest, sound) = (age_text(crashed.oldest), age_text(*sound_age));
        format!("{part}:{}:{oldest}:{sound}", crashed.requests)
    });
    texts.collect()
}

fn age_text(age: Option<Duration>) -> String {
    age.map_or_else(|| "-".to_owned(), |age| age.as_millis().to_string())
}
