//! Prompts of very different lengths on a few replicas, sent by several nodes.
//!
//! The load is that of a desk whose prompts have 1,420 tokens in the mean and up to 5,900: 64 of them
//! a second on six replicas that read 50,700 tokens a second, which is a third of their time. A first
//! token is due after 300 ms, and a pass of a full replica takes 50 ms beside its reading, so a
//! request that finds more than 200 ms of unread prompts at its head is late.

use std::time::Duration;

use cases::properties;
use serving::choose::TargetCandidate;
use serving::hashing::stable_hash;
use serving::{ChoiceLimits, PromptBacklog, TargetLoad, choose_target};

const HEADS: usize = 6;
const NODES: usize = 8;
const READ_RATE: f64 = 50_700.0;
const PROMPTS: u64 = 4000;
const LATE_WAIT: Duration = Duration::from_millis(200);

/// A number between 0 and 1 for the `number`th draw of a kind.
fn draw(kind: &str, number: u64) -> f64 {
    let hash = stable_hash(&(kind, number)) >> 32;
    f64::from(u32::try_from(hash).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
}

fn tokens(number: u64) -> u32 {
    // Most are short and some very long, as prompts with an attached paper are.
    let long = draw("long", number) < 0.15;
    let part = draw("tokens", number);
    let tokens = if long {
        3000.0 + 2900.0 * part
    } else {
        300.0 + 1600.0 * part
    };
    // Far within the range of the type.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let tokens = tokens as u32;
    tokens
}

fn choice(unread: Option<Duration>) -> TargetCandidate {
    TargetCandidate {
        load: TargetLoad::default(),
        slots: 26,
        prefill_wait: unread,
        in_flight_limit: 60,
    }
}

const LIMITS: ChoiceLimits = ChoiceLimits {
    queue_limit: 4.0,
    nodes: NODES,
};

/// Part of the prompts that find too much unread at their head, where nodes are told of each other's
/// prompts, and where they go by chance.
fn late_part(told: bool) -> f64 {
    let mut heads = [PromptBacklog::default(); HEADS];
    let mut now = Duration::ZERO;
    let mut late = 0_u32;
    for number in 0..PROMPTS {
        now += Duration::from_secs_f64(-draw("pause", number).max(1e-9).ln() / 64.0);
        let mut order: Vec<usize> = (0..HEADS).collect();
        order.sort_by_key(|head| stable_hash(&(number, *head)));
        let waits = order.iter().map(|head| heads[*head].wait(now, READ_RATE));
        let choices: Vec<TargetCandidate> =
            waits.map(|wait| choice(told.then_some(wait))).collect();
        let chosen = choose_target(&choices, LIMITS, now).expect("room");
        let head = &mut heads[order[chosen]];
        late += u32::from(head.wait(now, READ_RATE) > LATE_WAIT);
        head.add(tokens(number), now, READ_RATE);
    }
    f64::from(late) / 4000.0
}

/// Without hints one prompt in ten or so waits behind others while a head beside it has nothing to
/// read; callers see their first token after half a second. With hints it must be rare.
#[test]
fn hints_spread_prompts() {
    let (by_chance, told) = (late_part(false), late_part(true));
    assert!(told < 0.01, "{told} of the prompts are late");
    assert!(by_chance > 5.0 * told, "{by_chance} by chance");
}

/// The head that has the least to read takes a prompt, however the draw goes.
#[test]
fn least_unread_first() {
    let millis = Duration::from_millis;
    let choices = [
        choice(Some(millis(90))),
        choice(Some(millis(20))),
        choice(Some(millis(40))),
    ];
    assert_eq!(choose_target(&choices, LIMITS, Duration::ZERO), Ok(1));
}

properties! {
    /// What is unread only shrinks while nothing comes, and is gone once it would be read.
    fn unread_runs_out(tokens: u32, first_ms: u16, second_ms: u16) -> bool {
        let mut unread = PromptBacklog::default();
        unread.add(tokens, Duration::ZERO, READ_RATE);
        let first = Duration::from_millis(u64::from(first_ms));
        let second = first + Duration::from_millis(u64::from(second_ms));
        let shrinks = unread.remaining_tokens(second, READ_RATE) <= unread.remaining_tokens(first, READ_RATE);
        let end = unread.wait(Duration::ZERO, READ_RATE) + Duration::from_millis(1);
        shrinks && unread.remaining_tokens(end, READ_RATE) == 0.0
    }
}
