//! Cost of one entry: CPU time per request and token, memory per open stream.

use std::path::Path;
use std::time::{Duration, Instant};

use eyre::OptionExt;
use futures::future::try_join_all;
use http_body_util::BodyExt;
use tokio::task::JoinHandle;

use super::RoundSpread;
use super::chat::{open_entry_stream, read_stream_times};
use super::path::ENTRY_TOKEN_MARKER;
use super::process::{cpu_seconds, resident_kib};
use crate::stack::{StackPlan, TestStack};

/// Number of concurrent streams.
const CONCURRENT_STREAMS: usize = 64;

/// Duration of one round.
const ROUND_DURATION: Duration = Duration::from_secs(4);

/// Tokens of a long response, so that the cost of tokens dominates that of the request.
const LONG_RESPONSE_TOKENS: u32 = 256;

/// Numbers of open streams at which memory is read.
const OPEN_STREAMS: [usize; 3] = [100, 600, 1_100];

/// Streams that are opened concurrently.
const OPEN_BATCH: usize = 50;

/// Engine options with which the engine is never the bottleneck.
const UNCONSTRAINED_ENGINE: [&str; 6] = [
    "--slots",
    "4096",
    "--stream-us",
    "0",
    "--report-lag-ms",
    "0",
];

/// Runs the measurements and prints the results.
///
/// # Errors
///
/// Returns an error if a stream fails or `/proc` can't be read.
pub async fn run(binary: &Path, rounds: usize) -> eyre::Result<()> {
    let stack = StackPlan::new("measure-cost", binary)
        .entries(1)
        .step_us(2_000)
        .engine_options(&UNCONSTRAINED_ENGINE)
        .start()
        .await;
    let idle = measure_idle(&stack).await?;
    println!(
        "\none entry, {rounds} rounds of {ROUND_DURATION:?} with {CONCURRENT_STREAMS} concurrent streams;"
    );
    println!("per second of CPU time, median round (lowest to highest)");
    println!("  idle: {:.2}% of a core", idle * 100.0);
    let mut token_rates = Vec::new();
    let mut request_rates = Vec::new();
    for _ in 0..rounds {
        let long = measure_rate(&stack, LONG_RESPONSE_TOKENS).await?;
        token_rates.push(long.tokens / long.cpu);
        let short = measure_rate(&stack, 1).await?;
        request_rates.push(short.requests / short.cpu);
    }
    println!("  tokens: {:.0}", RoundSpread::of(&token_rates));
    println!(
        "  requests of one token: {:.0}",
        RoundSpread::of(&request_rates)
    );
    drop(stack);
    let mut slopes = Vec::new();
    for _ in 0..rounds {
        slopes.push(measure_memory(binary).await?);
    }
    println!("\nmemory of one entry per open stream, {rounds} new entries,");
    println!("from {OPEN_STREAMS:?} open streams");
    println!("  KiB per stream: {:.1}", RoundSpread::of(&slopes));
    Ok(())
}

/// Work of one round and the CPU time in seconds that the entry spent on it.
struct RoundWork {
    requests: f64,
    tokens: f64,
    cpu: f64,
}

async fn measure_idle(stack: &TestStack) -> eyre::Result<f64> {
    let before = cpu_seconds(stack.entries[0].pid())?;
    tokio::time::sleep(ROUND_DURATION).await;
    Ok((cpu_seconds(stack.entries[0].pid())? - before) / ROUND_DURATION.as_secs_f64())
}

async fn measure_rate(stack: &TestStack, max_tokens: u32) -> eyre::Result<RoundWork> {
    let before = cpu_seconds(stack.entries[0].pid())?;
    let end = Instant::now() + ROUND_DURATION;
    let callers = (0..CONCURRENT_STREAMS).map(|_| request_until(stack, max_tokens, end));
    let completed: u32 = try_join_all(callers).await?.into_iter().sum();
    let cpu = cpu_seconds(stack.entries[0].pid())? - before;
    Ok(RoundWork {
        requests: f64::from(completed),
        tokens: f64::from(completed) * f64::from(max_tokens),
        cpu,
    })
}

async fn request_until(stack: &TestStack, max_tokens: u32, end: Instant) -> eyre::Result<u32> {
    let entry = stack.entries[0].address;
    let mut completed = 0;
    while Instant::now() < end {
        let response = open_entry_stream(stack, entry, max_tokens).await?;
        read_stream_times(response, ENTRY_TOKEN_MARKER, max_tokens, Instant::now()).await?;
        completed += 1;
    }
    Ok(completed)
}

/// Opens an increasing number of streams at a new entry; returns the KiB per stream between the
/// first and the last reading.
async fn measure_memory(binary: &Path) -> eyre::Result<f64> {
    let stack = StackPlan::new("measure-memory", binary)
        .entries(1)
        .step_us(250_000)
        .engine_options(&UNCONSTRAINED_ENGINE)
        .start()
        .await;
    let mut open: Vec<JoinHandle<()>> = Vec::new();
    let mut readings = Vec::new();
    for count in OPEN_STREAMS {
        while open.len() < count {
            let batch = (0..OPEN_BATCH).map(|_| open_stream(&stack));
            open.extend(try_join_all(batch).await?);
        }
        let resident = resident_kib(stack.entries[0].pid())?;
        readings.push((f64::from(u32::try_from(count)?), resident));
    }
    for task in open {
        task.abort();
    }
    let (first, last) = (readings[0], readings[readings.len() - 1]);
    Ok((last.1 - first.1) / (last.0 - first.0))
}

/// Opens one stream and keeps reading it in the background. Once the first token has arrived, the
/// entry has allocated everything that the stream needs.
async fn open_stream(stack: &TestStack) -> eyre::Result<JoinHandle<()>> {
    let entry = stack.entries[0].address;
    let mut response = open_entry_stream(stack, entry, 10_000).await?;
    let first = response.body_mut().frame().await;
    first.ok_or_eyre("the stream ended before its first token")??;
    Ok(tokio::spawn(drain(response)))
}

async fn drain(response: http::Response<hyper::body::Incoming>) {
    let mut body = response.into_body();
    while let Some(Ok(_)) = body.frame().await {}
}
