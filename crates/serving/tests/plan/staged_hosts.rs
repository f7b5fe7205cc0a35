//! Staging of second models: which hosts get one, and how it helps when hosts are lost.
//!
//! The scenario is that two hosts of replicas are lost every three seconds in fabric domains of
//! nine hosts, while a load from the weight store takes twelve to sixteen seconds and all replicas
//! are full.

use serving::MemberState;
use serving::plan::{HostState, PlanStep, spare_prefix};

use crate::fixtures::{Domain, formed, host, member, warm};

/// A host with one model in memory and the other staged.
fn warm_and_staged(id: &str, model: &str, other: &str) -> HostState {
    HostState {
        staged: vec![other.parse().expect("a model")],
        ..warm(id, model)
    }
}

/// Returns the hosts that the steps stage models on, with these models.
fn staged(steps: &[PlanStep]) -> Vec<(&str, &str)> {
    let mut staged = Vec::new();
    for step in steps {
        if let PlanStep::Stage { host, model } = step {
            staged.push((host.as_str(), model.as_str()));
        }
    }
    staged
}

/// Before the first request, when loads are quick, each host stages the model that it does not
/// have.
#[test]
fn each_host_staged() {
    let hosts = vec![
        member("a", "small", "r-1", 0, MemberState::Open),
        member("b", "small", "r-1", 1, MemberState::Ready),
        warm("c", "large"),
    ];
    let steps = Domain::new(hosts).staging().plan();
    assert_eq!(
        staged(&steps),
        [("a", "large"), ("b", "large"), ("c", "small")]
    );
}

/// A host that still loads its first model stages none, since that load would remove it again.
/// Neither does a host that was told to stage a model, or that has one staged.
#[test]
fn joining_host_stages_none() {
    let mut joining = host("a");
    joining.membership = member("a", "small", "r-1", 0, MemberState::Joining).membership;
    let mut already_staging = warm("b", "large");
    already_staging.staging = Some("small".parse().expect("a model"));
    let done = warm_and_staged("c", "large", "small");
    let steps = Domain::new(vec![joining, already_staging, done])
        .staging()
        .plan();
    assert_eq!(staged(&steps), Vec::new());
}

/// While clients wait, the weight store is left to urgent loads.
#[test]
fn none_staged_under_load() {
    let steps = Domain::new(vec![warm("a", "large")]).plan();
    assert_eq!(staged(&steps), Vec::new());
}

/// A replica of the large model loses two hosts at once, and its domain has one spare of each
/// model. With one model per host, no replica of four hosts could be formed for many seconds, and
/// clients of the model would be refused. With a second one staged, the spare of the small model
/// joins.
#[test]
fn any_spare_joins() {
    let mut hosts = vec![
        member("a", "large", "r-1", 0, MemberState::Open),
        member("b", "large", "r-1", 1, MemberState::Ready),
        warm_and_staged("x", "large", "small"),
        warm_and_staged("y", "small", "large"),
    ];
    for host in &mut hosts[..2] {
        host.staged = vec!["small".parse().expect("a model")];
    }
    let steps = Domain::new(hosts).plan();
    assert_eq!(formed(&steps), [["a", "b", "x", "y"]]);
}

/// A spare with a model in memory is not told to load the staged one, which would replace it.
#[test]
fn warm_spare_left_alone() {
    let hosts = vec![warm_and_staged("x", "small", "large")];
    let steps = Domain::new(hosts).plan();
    assert!(
        !steps
            .iter()
            .any(|step| matches!(step, PlanStep::Warm { .. }))
    );
}

/// A domain has lost its large replica and has three hosts left that have both models, and the
/// fleet has more coverage of the small model. If they formed small replicas of two hosts each,
/// there would never be four free hosts for the large model, and its clients would be refused
/// permanently while small replicas are half idle.
#[test]
fn large_model_not_starved() {
    let hosts = vec![
        member("a", "small", "r-1", 0, MemberState::Open),
        member("b", "small", "r-1", 1, MemberState::Ready),
        warm_and_staged("x", "large", "small"),
        warm_and_staged("y", "large", "small"),
        warm_and_staged("z", "large", "small"),
    ];
    let fleet = |large: usize, small: usize| {
        let mut domain = Domain::new(hosts.clone());
        domain
            .fleet_replicas
            .insert("large".parse().expect("a model"), large);
        domain
            .fleet_replicas
            .insert("small".parse().expect("a model"), small);
        domain
    };
    assert_eq!(formed(&fleet(4, 7).plan()), Vec::<Vec<&str>>::new());
    // If the fleet has less coverage of the small model, hosts that would otherwise be idle serve
    // it.
    assert_eq!(formed(&fleet(6, 3).plan()).len(), 1);
}

/// A second host comes to a domain while the first one is still loading. The name of its group
/// tells which model that is, so the second host loads the same model and both can form a replica.
#[test]
fn ongoing_loads_counted() {
    let mut loading = host("a");
    loading.membership = member("a", "small", "r-1", 0, MemberState::Joining).membership;
    let prefix = spare_prefix(&"small".parse().expect("a model"));
    if let Some(membership) = &mut loading.membership {
        membership.replica = format!("{prefix}n-1").parse().expect("a replica");
    }
    let steps = Domain::new(vec![loading, host("b")]).plan();
    let warmed = steps.iter().find_map(|step| match step {
        PlanStep::Warm { model, .. } => Some(model.as_str()),
        _ => None,
    });
    assert_eq!(warmed, Some("small"));
}
