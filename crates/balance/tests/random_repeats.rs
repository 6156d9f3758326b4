//! Repeats while all targets of a service reject 55 in 100 requests at random for 8 s, under 1.5
//! times the usual load.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

#[path = "support/random_numbers.rs"]
mod random_numbers;
#[path = "support/rejecting.rs"]
mod rejecting;
#[path = "support/rejection_results.rs"]
mod rejection_results;

use std::time::Duration;

use quickcheck::QuickCheck;
use rejecting::{RepeatRule, Simulation, Variant};
use rejection_results::Results;
use shallotfork_balance::{RepeatAllocation, RepeatClass, RetryAllowance};
use shallotfork_types::{Mono, Permille};

/// The limit on repeats of all entries together, in each window of ten seconds.
const BUDGET_SHARE: f64 = 0.2;
const BUDGET_SLACK: f64 = 208.0;
const SEEDS: [u64; 3] = [1, 2, 3];

fn run(name: &str, variant: Variant, seed: u64) -> Results {
    let results = Simulation::run(variant, seed);
    let ranks: Vec<String> =
        (0..3).map(|rank| format!("{:.3}", results.in_time_share_of(rank))).collect();
    println!(
        "{name}, seed {seed}: in time {:.3} (ranks {}), rejected {}, repeats {:?}, refused {}, \
         ejections {}, part of the budget {:.2}, retry-after {:?} ms",
        results.in_time_share(),
        ranks.join(" "),
        results.rejected,
        results.repeats_by_second(),
        results.refused(),
        results.ejections,
        results.max_budget_use(BUDGET_SHARE, BUDGET_SLACK),
        results.retry_after_ms.first().zip(results.retry_after_ms.last()),
    );
    results
}

fn old() -> Variant {
    Variant::new(false, RepeatRule::FirstCome)
}

fn new(rule: RepeatRule) -> Variant {
    Variant::new(true, rule)
}

/// Guards against treating random rejections as lack of capacity and spending the repeats within
/// the first two seconds, on requests whose callers return by themselves.
#[test]
fn more_requests_are_served_in_time_than_by_old_rule() {
    for seed in SEEDS {
        let before = run("old", old(), seed);
        let after = run("new", new(RepeatRule::Ranked), seed);
        assert!(after.in_time_share() > before.in_time_share() + 0.025);
        assert!(after.in_time_share_of(0) > before.in_time_share_of(0) + 0.04);
        assert!(before.ejections > 1000);
        assert_eq!(after.ejections, 0);
        for results in [&before, &after] {
            assert!(results.max_budget_use(BUDGET_SHARE, BUDGET_SLACK) <= 1.0);
        }
        let repeats = after.repeats_by_second();
        let total: usize = repeats.iter().sum();
        assert!(repeats.iter().all(|second| *second * 4 < total && *second * 20 > total));
    }
}

/// Guards against an order of repeats that serves fewer requests in time, or fewer of the first
/// rank, than another one with the same allowance.
#[test]
fn returned_callers_first_serves_more_than_other_orders() {
    let seed = SEEDS[0];
    let ranked = run("returned, then rank", new(RepeatRule::Ranked), seed);
    let others = [
        ("first come", RepeatRule::FirstCome),
        ("first sends, then rank", RepeatRule::FirstSendsAhead),
        ("rank", RepeatRule::RankOnly),
    ];
    for (name, rule) in others {
        let other = run(name, new(rule), seed);
        assert!(ranked.in_time_share() > other.in_time_share() + 0.01, "{name}");
    }
    let unranked = run("returned only", new(RepeatRule::ReturnedOnly), seed);
    assert!(ranked.in_time_share() > unranked.in_time_share() - 0.01);
    assert!(ranked.in_time_share_of(0) > unranked.in_time_share_of(0) + 0.02);
}

/// Guards against exceeding the limit in any window, whatever the order of requests and classes.
#[test]
fn ranked_repeats_keep_limit_in_every_window() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let allowance = RetryAllowance { share: Permille::new(200), extra: 3 };
        let mut allocation = RepeatAllocation::new(Duration::from_secs(1));
        let (mut now, mut requests, mut repeats) = (0u64, Vec::new(), Vec::new());
        for (action, gap_ms) in steps {
            now += u64::from(gap_ms);
            let at = Mono::from_millis(now);
            let (rank, is_late) = (u32::from(action / 8), action % 2 == 1);
            let class = match action % 4 {
                0 => {
                    allocation.record_request(at);
                    requests.push(now);
                    continue;
                }
                1 => RepeatClass::Returned { rank, is_late },
                2 => RepeatClass::First { rank, is_late },
                _ => RepeatClass::Hedge,
            };
            if allocation.try_acquire_ranked(class, allowance, at) {
                repeats.push(now);
            }
        }
        let within = |times: &[u64], from: u64, to: u64| {
            times.iter().filter(|time| (from..to).contains(*time)).count()
        };
        repeats.iter().all(|from| {
            // Requests of up to one window earlier count as well.
            let counted = within(&requests, from.saturating_sub(1000), from + 1000);
            within(&repeats, *from, from + 1000) <= counted / 5 + 3
        })
    }
    QuickCheck::new().tests(400).quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

/// Time until the demand of each class has been measured.
const DEMAND_MEASURED_AFTER_MS: u64 = 3_000;

/// Returns the repeats granted to each class within ten seconds, which begin `begin_ms` after the
/// first repeat is asked for. The classes ask in turn, each at the given rate; 100 requests a second
/// sustain 20 repeats.
fn granted(asks_per_s: &[(RepeatClass, u64)], begin_ms: u64) -> Vec<usize> {
    let allowance = RetryAllowance { share: Permille::new(200), extra: 0 };
    let mut allocation = RepeatAllocation::new(Duration::from_secs(10));
    (0..1000).for_each(|step| allocation.record_request(Mono::from_millis(step * 10)));
    let mut granted = vec![0; asks_per_s.len()];
    for now_ms in 10_000..20_000 + begin_ms {
        let now = Mono::from_millis(now_ms);
        if now_ms % 10 == 0 {
            allocation.record_request(now);
        }
        for (granted, (class, per_s)) in granted.iter_mut().zip(asks_per_s) {
            if now_ms % (1000 / per_s) == 0 {
                let is_granted = allocation.try_acquire_ranked(*class, allowance, now);
                let is_counted = now_ms >= 10_000 + begin_ms;
                *granted += usize::from(is_granted && is_counted);
            }
        }
    }
    granted
}

/// Guards against leaving repeats unused that no request of a higher class needs.
#[test]
fn repeats_not_needed_by_higher_classes_go_to_lower_ones() {
    let returned = |rank| RepeatClass::Returned { rank, is_late: false };
    let first = RepeatClass::First { rank: 0, is_late: false };
    let few = granted(&[(returned(0), 5), (returned(1), 5), (first, 20)], 0);
    assert_eq!(few[..2], [50, 50]);
    assert!(few[2] > 50, "{few:?}");
}

/// Guards against serving a lower class while a higher one asks for all repeats.
#[test]
fn higher_classes_displace_lower_ones() {
    let returned = |rank, is_late| RepeatClass::Returned { rank, is_late };
    let first = RepeatClass::First { rank: 0, is_late: false };
    let granted = |classes: &[(RepeatClass, u64)]| granted(classes, DEMAND_MEASURED_AFTER_MS);
    let many = granted(&[(returned(0, false), 50), (returned(1, false), 50), (first, 50)]);
    let total: usize = many.iter().sum();
    assert!(many[0] * 10 >= total * 9, "{many:?}");
    let late = granted(&[(returned(0, false), 50), (returned(0, true), 50), (first, 50)]);
    assert!(late[0] * 10 >= late.iter().sum::<usize>() * 9, "{late:?}");
}
