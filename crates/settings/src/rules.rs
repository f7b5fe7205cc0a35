//! Rules between settings: each fine alone, harmful together.

use domain::FindingList;

use crate::field::time_text;
use crate::node::NodeSettings;

/// Polls of the head that must fit into the time after which a node steps out of service.
const POLLS_IN_CONFIRM: u64 = 3;

/// Renewals that must fit into a lease's time to live: one lost answer must not lose the lease.
const BEATS_IN_TTL: u64 = 2;

/// Heartbeats that must fit into the time after which a silent node counts as dead.
const BEATS_IN_DEATH: u64 = 3;

/// Checks the rules between settings.
///
/// # Errors
///
/// Every breach, with the setting to change.
pub fn check_rules(settings: &NodeSettings) -> Result<(), FindingList> {
    let mut findings = FindingList::default();
    let mut at_least = |place: &str, value: u64, least: u64, why: &str| {
        if value < least {
            let problem = format!("{} is too short: {why}", time_text(value));
            findings.add(
                place,
                problem,
                format!("write at least {}", time_text(least)),
            );
        }
    };
    at_least(
        "config.confirm",
        settings.config.confirm_ms,
        POLLS_IN_CONFIRM * settings.config.poll_ms,
        "a node would leave service after one lost answer of the table",
    );
    at_least(
        "leases.ttl",
        settings.leases.ttl_ms,
        BEATS_IN_TTL * settings.leases.beat_ms,
        "one lost answer of the table would lose the lease",
    );
    at_least(
        "members.dead",
        settings.members.dead_ms,
        BEATS_IN_DEATH * settings.members.beat_ms,
        "a node would count as dead after one lost heartbeat",
    );
    at_least(
        "assembly.rest",
        settings.assembly.rest_ms,
        settings.entry.evidence_ms + 1,
        "a host would join another replica while entries still trust evidence of the old one",
    );
    at_least(
        "entry.evidence",
        settings.entry.evidence_ms,
        settings.watch.silence_ms + settings.watch.timeout_ms,
        "service would stop whenever one probe is missed",
    );
    at_least(
        "housekeeping.claim_retention",
        settings.housekeeping.claim_retention_ms,
        100 * settings.ledger.send_limit_ms,
        "a claim could be cleaned up while its claimant may still send",
    );
    let longest = settings.leases.ttl_ms / 2;
    if settings.budget.longest_open_ms > longest {
        let problem = "the table would be left alone until leases run out";
        findings.add(
            "budget.longest_open",
            problem,
            format!("write at most {}", time_text(longest)),
        );
    }
    let tls = &settings.tls;
    if tls.certificate_file.is_some() != tls.key_file.is_some() {
        let problem = "only one of certificate and key is named";
        findings.add(
            "tls",
            problem,
            "name both certificate_file and key_file, or neither",
        );
    }
    findings.into_result(())
}
