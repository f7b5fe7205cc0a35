//! Cost of formatting one streamed token as a server-sent event with its resume token.

use std::hint::black_box;
use std::time::Instant;

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use domain::IncarnationNumber;
use entry::digest::TextDigest;
use entry::formatter::ResponseFormatter;
use entry::generation::{GenerationRequest, ResponseFormat};
use entry::sink::{EventSink, ResponseSink};
use entry::token::{StreamOffset, TokenScope, TokenSigner};
use tokio::sync::{mpsc, oneshot};

const TOKENS: u32 = 256;

fn request(format: ResponseFormat) -> GenerationRequest {
    GenerationRequest {
        id: "e0.0123456789abcdef.17".parse().expect("an id"),
        customer: "sandaga-traders".parse().expect("an id"),
        share: 1,
        model: "trader-help".parse().expect("an id"),
        version: None,
        adapter: None,
        prompt: "Which form renews a licence?".to_owned(),
        max_tokens: TOKENS,
        seed: 1,
        deadline: Instant::now(),
        format,
    }
}

/// Sends a stream of tokens through a sink and drains its events without waiting.
async fn feed(request: &GenerationRequest, signer: &TokenSigner) {
    let (events, mut read) = mpsc::channel(4);
    let (head, _begun) = oneshot::channel();
    let mut sink = EventSink::new(ResponseFormatter::new(request), events, head, false, false);
    let scope = TokenScope {
        request: request.id.clone(),
        customer: request.customer.clone(),
        attempt: "e0.0123456789abcdef.17.01234567.1".parse().expect("an id"),
        replica: "trader-help.12".parse().expect("an id"),
        incarnation: IncarnationNumber(3),
        content: request.content(),
    };
    sink.begin_attempt(signer.scope(&scope), StreamOffset::default());
    let mut offset = StreamOffset::default();
    let mut digest = TextDigest::default();
    for count in 1..=TOKENS {
        digest = digest.extended("licence ");
        offset.count = count;
        offset.digest = digest;
        let _ = sink.send_token("licence ".to_owned(), offset).await;
        while let Ok(event) = read.try_recv() {
            black_box(event);
        }
    }
}

fn event_cost(criterion: &mut Criterion) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    let signer = TokenSigner::new(Some(&"one key for all entries".into()));
    let mut group = criterion.benchmark_group("event");
    group.throughput(Throughput::Elements(u64::from(TOKENS)));
    for (name, format) in [
        ("chat", ResponseFormat::Chat),
        ("text", ResponseFormat::Text),
    ] {
        let request = request(format);
        group.bench_function(name, |bencher| {
            bencher.iter(|| runtime.block_on(feed(&request, &signer)));
        });
    }
    group.finish();
}

criterion_group!(benches, event_cost);
criterion_main!(benches);
