//! The simulated host list shows changes with a delay.

use std::time::{Duration, Instant};

use http::Method;
use standin::stack::{StackPlan, TestStack, WAIT_TIMEOUT};
use web::client::JsonResponse;
use wire::hostlist::HostListBody;

use crate::BINARY;

async fn is_leaving(stack: &TestStack) -> bool {
    let address = stack.hostlist.address;
    let list: JsonResponse<HostListBody> = stack
        .client
        .json(Method::GET, address, "/hosts", None::<&()>, WAIT_TIMEOUT)
        .await
        .expect("a list");
    list.value.hosts.iter().any(|host| host.leaving)
}

/// A host is marked as leaving, and the list shows it without the mark until the delay has passed.
#[tokio::test(flavor = "multi_thread")]
async fn mark_shown_after_delay() {
    let stack = StackPlan::new("list-delayed", BINARY)
        .engines(2)
        .entries(0)
        .hostlist_options(&["--lag-ms", "1500"])
        .start_without_records()
        .await;
    let marked = Instant::now();
    stack.set_leaving(&["h01"]);
    while !is_leaving(&stack).await {
        assert!(marked.elapsed() < WAIT_TIMEOUT, "the mark is never shown");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(
        marked.elapsed() >= Duration::from_millis(1500),
        "the mark is shown without delay"
    );
}
