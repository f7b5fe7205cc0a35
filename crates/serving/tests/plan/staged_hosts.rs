//! A second model on each host: which hosts get one, and what it is good for when hosts are lost.
//!
//! The load: two hosts of replicas are lost every three seconds in fabric domains of nine, while a
//! load from the weight store takes twelve to sixteen seconds and callers fill all replicas.

use serving::MemberState;
use serving::plan::{HostState, PlanStep, spare_prefix};

use crate::kit::{Domain, formed, host, member, warm};

/// A host that holds one model in memory and the other one staged.
fn universal(id: &str, model: &str, other: &str) -> HostState {
    HostState {
        staged: vec![other.parse().expect("a model")],
        ..warm(id, model)
    }
}

fn staged(steps: &[PlanStep]) -> Vec<(&str, &str)> {
    let mut staged = Vec::new();
    for step in steps {
        if let PlanStep::Stage { host, model } = step {
            staged.push((host.as_str(), model.as_str()));
        }
    }
    staged
}

/// Before the first caller loads are quick: each host gets the model that it does not hold.
#[test]
fn each_host_staged() {
    let hosts = vec![
        member("a", "small", "r-1", 0, MemberState::Open),
        member("b", "small", "r-1", 1, MemberState::Ready),
        warm("c", "large"),
    ];
    let steps = Domain::of(hosts).staging().plan();
    assert_eq!(
        staged(&steps),
        [("a", "large"), ("b", "large"), ("c", "small")]
    );
}

/// A host whose first load is under way is left alone: that load would drop what was staged before.
#[test]
fn joining_host_waits() {
    let mut joining = host("a");
    joining.membership = member("a", "small", "r-1", 0, MemberState::Joining).membership;
    let mut told = warm("b", "large");
    told.staging = Some("small".parse().expect("a model"));
    let done = universal("c", "large", "small");
    let steps = Domain::of(vec![joining, told, done]).staging().plan();
    assert_eq!(staged(&steps), Vec::new());
}

/// While callers wait, the weight store is left to loads that somebody needs.
#[test]
fn none_under_load() {
    let steps = Domain::of(vec![warm("a", "large")]).plan();
    assert_eq!(staged(&steps), Vec::new());
}

/// A replica of the large model loses two hosts at once, and its domain has one spare of each
/// model. With one model a host no replica of four can be formed for many seconds, and callers of
/// that model are refused; here the spare of the small model steps in.
#[test]
fn any_spare_steps_in() {
    let mut hosts = vec![
        member("a", "large", "r-1", 0, MemberState::Open),
        member("b", "large", "r-1", 1, MemberState::Ready),
        universal("x", "large", "small"),
        universal("y", "small", "large"),
    ];
    for host in &mut hosts[..2] {
        host.staged = vec!["small".parse().expect("a model")];
    }
    let steps = Domain::of(hosts).plan();
    assert_eq!(formed(&steps), [["a", "b", "x", "y"]]);
}

/// A spare that has a model in memory stays as it is: a join for the other one would drop it.
#[test]
fn warm_spare_left_alone() {
    let hosts = vec![universal("x", "small", "large")];
    let steps = Domain::of(hosts).plan();
    assert!(
        !steps
            .iter()
            .any(|step| matches!(step, PlanStep::Warm { .. }))
    );
}

/// A domain has lost its large replica and has three hosts left that hold both models; the fleet has
/// more of the small model already. If they formed small replicas, each of two hosts, the large one
/// would never find its fourth host: callers of the large model are refused for the rest of the day
/// beside small replicas that stand half idle.
#[test]
fn large_model_not_starved() {
    let hosts = vec![
        member("a", "small", "r-1", 0, MemberState::Open),
        member("b", "small", "r-1", 1, MemberState::Ready),
        universal("x", "large", "small"),
        universal("y", "large", "small"),
        universal("z", "large", "small"),
    ];
    let fleet = |large: usize, small: usize| {
        let mut domain = Domain::of(hosts.clone());
        domain
            .fleet
            .insert("large".parse().expect("a model"), large);
        domain
            .fleet
            .insert("small".parse().expect("a model"), small);
        domain
    };
    assert_eq!(formed(&fleet(4, 7).plan()), Vec::<Vec<&str>>::new());
    // Where the fleet lacks the small model more, hosts that would serve nobody serve it.
    assert_eq!(formed(&fleet(6, 3).plan()).len(), 1);
}

/// Two hosts come to a domain one after the other while the first one still loads. The name of its
/// group tells which model that is, so the second loads towards the same replica.
#[test]
fn loads_under_way_count() {
    let mut loading = host("a");
    loading.membership = member("a", "small", "r-1", 0, MemberState::Joining).membership;
    let prefix = spare_prefix(&"small".parse().expect("a model"));
    if let Some(membership) = &mut loading.membership {
        membership.replica = format!("{prefix}n-1").parse().expect("a replica");
    }
    let steps = Domain::of(vec![loading, host("b")]).plan();
    let warmed = steps.iter().find_map(|step| match step {
        PlanStep::Warm { model, .. } => Some(model.as_str()),
        _ => None,
    });
    assert_eq!(warmed, Some("small"));
}
