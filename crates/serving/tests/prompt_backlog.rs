//! Target selection for prompts of very different lengths, sent by several nodes to a few replicas.
//!
//! Prompts have 1,420 tokens on average and up to 5,900. 64 of them arrive per second at six
//! replicas that prefill 50,700 tokens per second, which takes a third of their time. A first token
//! is due after 300 ms, and a decode pass of a full replica takes 50 ms on top of the prefill, so a
//! request that finds a prefill backlog of more than 200 ms at its head is late.

use std::time::Duration;

use cases::properties;
use serving::choose::TargetCandidate;
use serving::hashing::stable_hash;
use serving::{ChoiceLimits, PromptBacklog, TargetLoad, choose_target};

const HEADS: usize = 6;
const NODES: usize = 8;
const PREFILL_RATE: f64 = 50_700.0;
const PROMPTS: u64 = 4000;
const LATE_WAIT: Duration = Duration::from_millis(200);

/// Returns a pseudo-random number between 0 and 1 for the `number`th draw of a kind.
fn draw(kind: &str, number: u64) -> f64 {
    let hash = stable_hash(&(kind, number)) >> 32;
    f64::from(u32::try_from(hash).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
}

fn tokens(number: u64) -> u32 {
    // Most prompts are short, and some are very long because of an attached document.
    let long = draw("long", number) < 0.15;
    let part = draw("tokens", number);
    let tokens = if long {
        3000.0 + 2900.0 * part
    } else {
        300.0 + 1600.0 * part
    };
    // The values are far within the range of the type.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let tokens = tokens as u32;
    tokens
}

fn candidate(prefill_wait: Option<Duration>) -> TargetCandidate {
    TargetCandidate {
        load: TargetLoad::default(),
        slots: 26,
        prefill_wait,
        in_flight_limit: 60,
    }
}

const LIMITS: ChoiceLimits = ChoiceLimits {
    queue_limit: 4.0,
    nodes: NODES,
};

/// Returns the fraction of prompts that find too long a prefill backlog at their head, either with
/// hints about the prompts of other nodes or with a random choice.
fn late_fraction(with_hints: bool) -> f64 {
    let mut heads = [PromptBacklog::default(); HEADS];
    let mut now = Duration::ZERO;
    let mut late = 0_u32;
    for number in 0..PROMPTS {
        now += Duration::from_secs_f64(-draw("pause", number).max(1e-9).ln() / 64.0);
        let mut order: Vec<usize> = (0..HEADS).collect();
        order.sort_by_key(|head| stable_hash(&(number, *head)));
        let waits = order
            .iter()
            .map(|head| heads[*head].wait(now, PREFILL_RATE));
        let candidates: Vec<TargetCandidate> = waits
            .map(|wait| candidate(with_hints.then_some(wait)))
            .collect();
        let chosen = choose_target(&candidates, LIMITS, now).expect("a target has capacity");
        let head = &mut heads[order[chosen]];
        late += u32::from(head.wait(now, PREFILL_RATE) > LATE_WAIT);
        head.add(tokens(number), now, PREFILL_RATE);
    }
    f64::from(late) / 4000.0
}

/// Without hints, about one prompt in ten waits behind others while another head has no backlog,
/// and its client gets the first token after half a second. With hints this must be rare.
#[test]
fn hints_spread_prompts() {
    let (random, hinted) = (late_fraction(false), late_fraction(true));
    assert!(hinted < 0.01, "{hinted} of the prompts are late");
    assert!(random > 5.0 * hinted, "{random} late without hints");
}

/// The head with the shortest prefill wait is chosen, wherever it is in the order.
#[test]
fn shortest_wait_chosen() {
    let millis = Duration::from_millis;
    let candidates = [
        candidate(Some(millis(90))),
        candidate(Some(millis(20))),
        candidate(Some(millis(40))),
    ];
    assert_eq!(choose_target(&candidates, LIMITS, Duration::ZERO), Ok(1));
}

properties! {
    /// Without new prompts the backlog only shrinks, and it is empty once it would be prefilled.
    fn backlog_runs_out(tokens: u32, first_ms: u16, second_ms: u16) -> bool {
        let mut backlog = PromptBacklog::default();
        backlog.add(tokens, Duration::ZERO, PREFILL_RATE);
        let first = Duration::from_millis(u64::from(first_ms));
        let second = first + Duration::from_millis(u64::from(second_ms));
        let shrinks = backlog.remaining_tokens(second, PREFILL_RATE)
            <= backlog.remaining_tokens(first, PREFILL_RATE);
        let end = backlog.wait(Duration::ZERO, PREFILL_RATE) + Duration::from_millis(1);
        shrinks && backlog.remaining_tokens(end, PREFILL_RATE) == 0.0
    }
}
