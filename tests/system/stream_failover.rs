//! A host of a replica dies while the replica has streams.

use futures::future::join_all;
use standin::stack::{StackPlan, TestStack};

use crate::BINARY;
use crate::event_stream_client::{EventStream, complete_text, completion_request, open_stream};

const STREAMS: u64 = 12;
const TOKENS: u32 = 400;

/// Starts streams on both replicas and kills the host with this rank of one of them. Every stream
/// must be complete.
async fn expect_failover(stack: &mut TestStack, rank: usize) {
    let expected = complete_text(stack, 0, &completion_request(0, TOKENS)).await;
    let mut streams = Vec::new();
    for seed in 0..STREAMS {
        let entry = usize::try_from(seed).expect("a small number") % stack.entries.len();
        let mut stream = open_stream(stack, entry, &completion_request(seed, TOKENS), None).await;
        stream.read_words(3).await;
        streams.push(stream);
    }
    let replicas = stack.replica_engines().await;
    let (_, engines) = replicas.iter().next().expect("a replica");
    stack.engines[engines[rank]].kill();
    join_all(streams.iter_mut().map(EventStream::read_all)).await;
    for stream in &streams {
        assert_eq!(stream.final_event, "[DONE]", "{}", stream.text);
        let words = stream.text.split_whitespace().count();
        assert_eq!(words, TOKENS as usize, "{}", stream.text);
    }
    assert_eq!(
        streams[0].text, expected,
        "the text differs from that of a run without the loss"
    );
}

/// The leader of a replica dies and all connections to it break. Clients must get the rest of their
/// streams, with the same text as without the loss.
#[tokio::test(flavor = "multi_thread")]
async fn leader_killed() {
    let mut stack = StackPlan::new("leader-killed", BINARY).start().await;
    expect_failover(&mut stack, 0).await;
}

/// Another host of a replica dies. No connection breaks; the streams stall until the engine notices
/// the loss. Clients must not have to wait for that.
#[tokio::test(flavor = "multi_thread")]
async fn member_killed() {
    let mut stack = StackPlan::new("member-killed", BINARY).start().await;
    expect_failover(&mut stack, 2).await;
}
