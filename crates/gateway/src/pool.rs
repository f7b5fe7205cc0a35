//! Idle connections to targets.

use std::cell::RefCell;
use std::time::Duration;

use domain::{FastMap, HostId};
use serving::TargetEntry;
use tokio::time::Instant;
use web::{HttpLink, LinkError};

/// Longest wait for a connection. Targets stand within a millisecond; one that is gone answers
/// nothing at all, and the request should go elsewhere while its caller still waits.
const CONNECT_LIMIT: Duration = Duration::from_millis(350);

/// How long a connection is kept whose target did not say how long it may be idle.
const DEFAULT_IDLE: Duration = Duration::from_secs(3);

/// Taken off what a target allows, so that it does not close a connection under a request.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Idle connections kept for one target: a node's part of a full replica. The requests in progress
/// and these, of all nodes, stay within what a target takes.
const MAX_IDLE: usize = 6;

#[derive(Debug)]
struct IdleLink {
    link: HttpLink,
    until: Instant,
}

/// Idle connections by target.
#[derive(Debug, Default)]
pub struct LinkPool {
    idle: RefCell<FastMap<HostId, Vec<IdleLink>>>,
}

impl LinkPool {
    /// An idle connection that is still good, or a new one.
    ///
    /// # Errors
    ///
    /// [`LinkError`] of the new connection; nothing was sent.
    pub async fn take(&self, target: &TargetEntry) -> Result<HttpLink, LinkError> {
        if let Some(link) = self.take_idle(&target.id) {
            return Ok(link);
        }
        self.connect(target).await
    }

    /// A new connection.
    ///
    /// # Errors
    ///
    /// [`LinkError`]; nothing was sent.
    pub async fn connect(&self, target: &TargetEntry) -> Result<HttpLink, LinkError> {
        HttpLink::connect(target.address, CONNECT_LIMIT).await
    }

    /// The connection that was used last: the others may then grow old and close.
    fn take_idle(&self, id: &HostId) -> Option<HttpLink> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(id)?;
        let now = Instant::now();
        while let Some(last) = links.pop() {
            if last.until > now && last.link.is_open() {
                return Some(last.link);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn keep(&self, id: &HostId, link: HttpLink, allowed: Option<Duration>) {
        let allowed = allowed.unwrap_or(DEFAULT_IDLE);
        let Some(time) = allowed.checked_sub(IDLE_MARGIN) else {
            return;
        };
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(id.clone()).or_default();
        if links.len() >= MAX_IDLE {
            links.remove(0);
        }
        links.push(IdleLink {
            link,
            until: Instant::now() + time,
        });
    }

    /// Closes the connections to a target.
    pub fn forget(&self, id: &HostId) {
        self.idle.borrow_mut().remove(id);
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for links in idle.values_mut() {
            links.retain(|idle| idle.until > now);
        }
        idle.retain(|_, links| !links.is_empty());
    }
}
