//! Who is refused first when targets are full: ranks, and customers beyond their share.

use std::time::Duration;

use domain::CustomerId;
use policy::admission::{AdmissionClass, CustomerShares};

/// Places of the target, and the longest queue that anybody accepts there: a replica of today.
const PLACES: usize = 26;
const QUEUE: f64 = 6.0;

/// Mean time that a request holds a place; answers of different lengths spread from a half of it
/// to one and a half.
const STAY: usize = 20;

fn customer(name: &str) -> CustomerId {
    name.parse().expect("a name")
}

/// One caller's stream of requests on a virtual clock of steps.
#[derive(Debug)]
struct Sender {
    customer: CustomerId,
    /// Requests in 10 steps.
    rate: usize,
    higher_ranks: usize,
    sent: usize,
    served: usize,
}

impl Sender {
    fn new(name: &str, rate: usize, higher_ranks: usize) -> Self {
        Self {
            customer: customer(name),
            rate,
            higher_ranks,
            sent: 0,
            served: 0,
        }
    }

    fn served_part(&self) -> f64 {
        count(self.served) / count(self.sent)
    }
}

fn count(value: usize) -> f64 {
    f64::from(u32::try_from(value).expect("a small count"))
}

/// Plays 2,000 steps of one target that serves by rank, then in the order of arrival.
fn play(senders: &mut [Sender]) {
    let mut shares = CustomerShares::default();
    let mut running: Vec<(usize, usize)> = Vec::new();
    let mut begun = 0;
    let mut waiting: Vec<(usize, usize)> = Vec::new();
    for step in 0..2_000_usize {
        let now = Duration::from_millis(50 * u64::try_from(step).expect("a small step"));
        running.retain(|(end, index)| {
            let runs = *end > step;
            if !runs {
                shares.record_ended(&senders[*index].customer);
            }
            runs
        });
        for (index, sender) in senders.iter_mut().enumerate() {
            let due = (step + 1) * sender.rate / 10 - step * sender.rate / 10;
            for _ in 0..due {
                sender.sent += 1;
                shares.record_arrival(&sender.customer, now);
                let class = AdmissionClass {
                    higher_ranks: sender.higher_ranks,
                    over_share: shares.is_over_share(&sender.customer, now),
                };
                let there = count(running.len() + waiting.len());
                if there >= count(PLACES) + QUEUE * class.queue_fraction() {
                    continue;
                }
                sender.served += 1;
                shares.record_sent(&sender.customer);
                waiting.push((sender.higher_ranks, index));
            }
        }
        waiting.sort_by_key(|(rank, _)| *rank);
        while running.len() < PLACES && !waiting.is_empty() {
            let (_, index) = waiting.remove(0);
            begun += 1;
            running.push((step + STAY / 2 + begun * 7 % (STAY + 1), index));
        }
    }
}

/// One customer sends four times what the target can serve, beside three small ones that need
/// less than a third of it. With one limit for all each is refused alike, and the small customers
/// lose three of four requests to a burst that is none of theirs.
#[test]
fn small_customers_served() {
    let mut senders = [
        Sender::new("large", 52, 0),
        Sender::new("small-1", 1, 0),
        Sender::new("small-2", 1, 0),
        Sender::new("small-3", 2, 0),
    ];
    play(&mut senders);
    for small in &senders[1..] {
        assert!(small.served_part() > 0.95, "{small:?}");
    }
    let all: usize = senders.iter().map(|sender| sender.served).sum();
    assert!(count(all) > 0.95 * 2_000.0 * count(PLACES) / count(STAY));
}

/// Urgent and less urgent requests of one customer, together twice what the target can serve. The
/// urgent ones alone would fit; refused alike, half of them would be turned away for work that
/// can wait.
#[test]
fn least_urgent_refused() {
    let mut senders = [Sender::new("desk", 12, 0), Sender::new("desk", 14, 1)];
    play(&mut senders);
    assert!(senders[0].served_part() > 0.95, "{senders:?}");
    assert!(senders[1].served > 0, "{senders:?}");
}

/// A customer that is alone has the whole target, whatever it sends.
#[test]
fn lone_customer_unbounded() {
    let mut shares = CustomerShares::default();
    let only = customer("only");
    for _ in 0..100 {
        shares.record_arrival(&only, Duration::ZERO);
        assert!(!shares.is_over_share(&only, Duration::ZERO));
        shares.record_sent(&only);
    }
}

/// Customers that left share nothing any more. Counted for ever, each that was here once would
/// halve what the others may use.
#[test]
fn absent_customer_forgotten() {
    let mut shares = CustomerShares::default();
    let (here, gone) = (customer("here"), customer("gone"));
    shares.record_arrival(&gone, Duration::ZERO);
    shares.record_arrival(&here, Duration::ZERO);
    shares.record_sent(&here);
    assert!(!shares.is_over_share(&here, Duration::ZERO), "one request");
    shares.record_sent(&here);
    shares.record_sent(&here);
    assert!(shares.is_over_share(&here, Duration::ZERO));
    assert!(!shares.is_over_share(&here, Duration::from_secs(11)));
}

/// Size is no part of the decision, so the largest prompts are refused as often as the smallest:
/// all that competes is the rank and the share, and a request alone of its kind loses nothing.
#[test]
fn parts_fall_with_rank() {
    let part = |higher_ranks, over_share| {
        let class = AdmissionClass {
            higher_ranks,
            over_share,
        };
        class.queue_fraction()
    };
    assert!((part(0, false) - 1.0).abs() < 1e-9);
    for rank in 0..9 {
        assert!(part(rank + 1, false) < part(rank, false));
        assert!(part(rank, true) < part(rank, false));
        assert!(part(rank + 1, true) > 0.0);
    }
}
