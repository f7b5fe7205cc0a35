//! A host of a replica dies while the replica's streams run.

use futures::future::join_all;
use standin::stack::{StackPlan, TestStack};

use crate::PRODUCT;
use crate::event_stream::{EventStream, open_stream, question, undisturbed_text};

const STREAMS: u64 = 12;
const TOKENS: u32 = 400;

/// Runs streams on both replicas, kills one host in the midst of them and reads all to the end.
async fn kill_rank(stack: &mut TestStack, rank: usize) {
    let expected = undisturbed_text(stack, 0, &question(0, TOKENS)).await;
    let mut streams = Vec::new();
    for seed in 0..STREAMS {
        let entry = usize::try_from(seed).expect("few") % stack.entries.len();
        let mut stream = open_stream(stack, entry, &question(seed, TOKENS), None).await;
        stream.read_words(3).await;
        streams.push(stream);
    }
    let replicas = stack.replica_engines().await;
    let (_, engines) = replicas.iter().next().expect("a replica");
    stack.engines[engines[rank]].kill();
    join_all(streams.iter_mut().map(EventStream::read_all)).await;
    for stream in &streams {
        assert_eq!(stream.closing, "[DONE]", "{}", stream.text);
        let words = stream.text.split_whitespace().count();
        assert_eq!(words, TOKENS as usize, "{}", stream.text);
    }
    assert_eq!(
        streams[0].text, expected,
        "the answer of an undisturbed run"
    );
}

/// The host that answers for a replica is lost: every connection to it breaks. A trader in the
/// midst of an answer must get the rest of it, and the same text as without the loss.
#[tokio::test(flavor = "multi_thread")]
async fn leader_killed() {
    let mut stack = StackPlan::new("leader-killed", PRODUCT).start().await;
    kill_rank(&mut stack, 0).await;
}

/// Another host of a replica is lost: no connection breaks, the streams just stand still until the
/// engine itself notices. Traders must not wait for that.
#[tokio::test(flavor = "multi_thread")]
async fn member_killed() {
    let mut stack = StackPlan::new("member-killed", PRODUCT).start().await;
    kill_rank(&mut stack, 2).await;
}
