//! Resumes the stream of a lost or stalled target at another one.

use std::time::Duration;

use domain::HostId;
use events::EventCode;
use http::StatusCode;
use serving::eventless_time::EventlessTime;
use serving::retry_budget::RetryPurpose;
use serving::{PoisonVerdict, RouteKind};

use super::StreamRelay;
use crate::attempt_connection::ConnectionReuse;
use crate::attempt_outcome::AttemptOutcome;
use crate::send::send_attempt;
use crate::target_response::TargetResponse;

/// Maximum number of attempts to find another target for a stream.
const MAX_FAILOVER_ATTEMPTS: u32 = 6;

/// Delay between failover attempts. The neighbors of a lost replica are briefly full with its
/// streams.
const FAILOVER_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time limit for the other target's response to begin. Clients abandon a stream after a pause of
/// two seconds.
const FAILOVER_TIMEOUT: Duration = Duration::from_millis(1800);

impl StreamRelay {
    /// Tries to resume a stream from a stalled replica at another target. If that fails, the stream
    /// stays where it is, since the rest of the response may still come.
    pub(super) async fn fail_over_stalled(&mut self) {
        if let Err(reason) = self.fail_over("replica stalled").await {
            self.waits_for_stalled = true;
            let line = self
                .log_line(EventCode::StreamStays)
                .text("reason", &reason);
            self.node.log(&line);
        }
    }

    /// How long the client will still wait for the next event.
    ///
    /// The response is already late and partly delivered. If the queue limit for new requests
    /// applied here, a stream whose replica was lost would find the other replicas full and lose
    /// the rest, whereas a new request can be retried by its client.
    fn max_wait(&self) -> Duration {
        let last_activity = self.last_event_at.max(self.request.arrived);
        let silent = self.node.now().saturating_sub(last_activity);
        let left = FAILOVER_TIMEOUT.saturating_sub(silent);
        left.max(self.request.target_latency)
    }

    /// What another attempt is for: a stream whose response has begun without an event can start anew at
    /// its client.
    fn retry_purpose(&self) -> RetryPurpose {
        if self.splitter.last_id().is_some() {
            RetryPurpose::Resume
        } else {
            RetryPurpose::Start
        }
    }

    /// Resumes the stream at another target after the last complete event.
    pub(super) async fn fail_over(&mut self, trigger: &str) -> Result<(), String> {
        if self.request.kind != (RouteKind::Streaming { resumable: true }) {
            return Err("stream is not resumable".to_owned());
        }
        let mut reason = "no attempts left".to_owned();
        for attempt in 0..MAX_FAILOVER_ATTEMPTS {
            if self.attempts >= self.request.max_attempts {
                return Err(reason);
            }
            if attempt > 0 {
                tokio::time::sleep(FAILOVER_RETRY_DELAY).await;
            }
            if self.node.crashes.verdict(&self.request) != PoisonVerdict::Clear {
                return Err("request is suspected of crashing targets".to_owned());
            }
            let max_wait = self.max_wait();
            let selected =
                self.request
                    .select_target(&self.node, &self.config, &self.tried, max_wait);
            let target = match selected {
                Ok(target) => target,
                Err(error) => {
                    reason = error.to_string();
                    continue;
                }
            };
            let taken = self
                .node
                .take_retry(&self.request, self.retry_purpose(), trigger);
            let Some(ticket) = taken else {
                return Err("retry budget exhausted".to_owned());
            };
            let time_left = self.request.time_left(self.node.now());
            let limit = time_left.min(FAILOVER_TIMEOUT);
            self.tried.insert(target.id.clone());
            let after = self.splitter.last_id();
            let reuse = ConnectionReuse::now(&self.node);
            let outcome =
                send_attempt(&self.node, &self.request, &target, after, reuse, limit).await;
            match outcome {
                AttemptOutcome::Responded(response) if response.status == StatusCode::OK => {
                    self.adopt(trigger, *response);
                    return Ok(());
                }
                AttemptOutcome::Responded(response) => {
                    self.attempts += 1;
                    reason = format!("failover target returned {}", response.status);
                }
                AttemptOutcome::Unsent(cause) => {
                    self.node.return_retry(&self.request, ticket, &cause);
                    reason = cause;
                }
                AttemptOutcome::Barred(barrier) => {
                    reason = barrier.to_string();
                    self.node.return_retry(&self.request, ticket, &reason);
                }
                AttemptOutcome::NotExecuted(status) => reason = format!("not executed: {status}"),
                AttemptOutcome::Ambiguous(cause) => {
                    self.attempts += 1;
                    reason = cause;
                }
                AttemptOutcome::TimedOut => {
                    self.attempts += 1;
                    "failover target timed out".clone_into(&mut reason);
                }
            }
        }
        Err(reason)
    }

    /// Goes on with the response of another target.
    fn adopt(&mut self, trigger: &str, response: TargetResponse) {
        self.attempts += 1;
        self.loss_signal = self.node.loss_signal(&response.host);
        self.last_host = Some(response.host.clone());
        self.log_failover(trigger, &response.host);
        // Drops the incomplete event of the failed target; it must not be joined with data from the
        // new one.
        self.splitter.drop_partial();
        self.eventless = EventlessTime::default();
        self.is_sound = false;
        self.source = Some(response);
    }

    fn log_failover(&self, trigger: &str, host: &HostId) {
        let line = self
            .log_line(EventCode::StreamMoved)
            .text("to", host.as_str())
            .text("reason", trigger);
        self.node.log(&line);
    }
}
