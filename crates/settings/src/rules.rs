//! Checks of combinations of settings whose values are valid individually but not together.

use domain::FindingList;

use crate::field::format_millis;
use crate::node::NodeSettings;

/// Minimum number of polls within `config.confirm`, after which a node stops serving.
const MIN_POLLS_PER_CONFIRM: u64 = 3;

/// Minimum number of renewals within `leases.ttl`: one lost response must not lose the lease.
const MIN_RENEWALS_PER_TTL: u64 = 2;

/// Minimum number of heartbeats within `members.dead`, after which a silent node is considered
/// dead.
const MIN_HEARTBEATS_PER_DEAD: u64 = 3;

/// Checks the combinations of settings.
///
/// # Errors
///
/// All violations, each with the setting to change.
pub fn check_rules(settings: &NodeSettings) -> Result<(), FindingList> {
    let mut findings = FindingList::default();
    let mut require_min = |path: &str, value: u64, minimum: u64, reason: &str| {
        if value < minimum {
            let problem = format!("{} is too short: {reason}", format_millis(value));
            findings.add(
                path,
                problem,
                format!("write at least {}", format_millis(minimum)),
            );
        }
    };
    require_min(
        "config.confirm",
        settings.config.confirm_ms,
        MIN_POLLS_PER_CONFIRM * settings.config.poll_ms,
        "a node would stop serving after one lost response of the table",
    );
    require_min(
        "leases.ttl",
        settings.leases.ttl_ms,
        MIN_RENEWALS_PER_TTL * settings.leases.beat_ms,
        "one lost response of the table would lose the lease",
    );
    require_min(
        "members.dead",
        settings.members.dead_ms,
        MIN_HEARTBEATS_PER_DEAD * settings.members.beat_ms,
        "a node would be considered dead after one lost heartbeat",
    );
    require_min(
        "assembly.rest",
        settings.assembly.rest_ms,
        settings.entry.evidence_ms + 1,
        "a host could join another replica while entry nodes still use health evidence of the old one",
    );
    require_min(
        "entry.evidence",
        settings.entry.evidence_ms,
        settings.watch.silence_ms + settings.watch.timeout_ms,
        "requests would no longer be dispatched after one missed probe",
    );
    require_min(
        "housekeeping.claim_retention",
        settings.housekeeping.claim_retention_ms,
        100 * settings.ledger.send_limit_ms,
        "a claim could be deleted while its call may still be sent",
    );
    let max_open = settings.leases.ttl_ms / 2;
    if settings.budget.longest_open_ms > max_open {
        let problem = "the circuit breaker could stay open until leases expire";
        findings.add(
            "budget.longest_open",
            problem,
            format!("write at most {}", format_millis(max_open)),
        );
    }
    let tls = &settings.tls;
    if tls.certificate_file.is_some() != tls.key_file.is_some() {
        let problem = "only one of certificate and key is set";
        findings.add(
            "tls",
            problem,
            "set both certificate_file and key_file, or neither",
        );
    }
    findings.into_result(())
}
