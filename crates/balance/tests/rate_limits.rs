//! Compliance of a whole fleet of processes with a target's rate limit.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

#[path = "support/slots.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod fleet;

use std::time::Duration;

use shallotfork_balance::{Admission, Sharer, ShedReason};
use shallotfork_types::{Mono, RequestRate};

use fleet::{FULL_SHARE, Fleet};
use support::{answered, at, expect_sent, id, named_pool, request_at};

const TARGET: &str = "mill";
const SEEDS: std::ops::Range<u64> = 1..4;
/// Service time of a request.
const SERVICE_TIME_MS: u64 = 40;
const SIMULATED_MS: u64 = 40_000;
/// Requests sent sooner than this after the limit is set are not counted.
const GRACE_MS: u64 = 3_000;
/// Length of the sliding window in which requests are counted.
const WINDOW_MS: u64 = 4_000;

fn rate(text: &str) -> RequestRate {
    text.parse().unwrap()
}

/// Returns the number of requests tolerated in a window: 1.5 times the limit, plus 5.
fn allowed_in_window(limit: RequestRate) -> usize {
    (1.5 * limit.per_s() * WINDOW_MS as f64 / 1000.0) as usize + 5
}

fn limited_fleet(seed: u64, count: usize, sharers: usize, limit: RequestRate) -> Fleet {
    Fleet::new(seed, count, sharers, SERVICE_TIME_MS, |name| {
        let mut pool = named_pool(name, &[TARGET]);
        pool.set_rate_limit(&id(TARGET), Some(limit), at(0));
        pool
    })
}

/// Guards against processes that each comply with a rate limit but exceed it in total.
#[test]
fn fleet_keeps_rate_limit_while_sharers_change() {
    for seed in SEEDS {
        for (count, sharers) in [(1, 1), (15, 3), (40, 15)] {
            for limit in ["0.2", "1", "1.9", "2.5", "7", "40"].map(rate) {
                let mut fleet = limited_fleet(seed, count, sharers, limit);
                fleet.run(SIMULATED_MS, 5_000);
                let max = fleet.max_sends_in_window(GRACE_MS, WINDOW_MS);
                let case = format!("seed {seed}, {sharers} of {count}, {limit} a second: {max}");
                assert!(max <= allowed_in_window(limit), "{case}");
            }
        }
    }
}

/// Guards against complying with a limit by sending far less than it allows.
#[test]
fn rate_limit_is_used_up() {
    for (count, sharers) in [(1, 1), (15, 3), (40, 15)] {
        for limit in ["0.5", "1", "2.5", "7"].map(rate) {
            let mut fleet = limited_fleet(1, count, sharers, limit);
            fleet.run(SIMULATED_MS, SIMULATED_MS);
            let allowed = limit.per_s() * SIMULATED_MS as f64 / 1000.0;
            let sends = fleet.sends.len() as f64;
            assert!(sends >= 0.8 * allowed, "{sharers} of {count}: {sends} of {allowed}");
        }
    }
}

/// Guards against queueing requests at a process that no longer has a share of the limit.
#[test]
fn process_without_share_sheds_at_once() {
    let mut pool = named_pool("vm-1", &[TARGET]);
    pool.set_sharers(vec![Sharer::new("vm-0")], FULL_SHARE, at(0));
    pool.set_rate_limit(&id(TARGET), Some(rate("1")), at(0));
    let Admission::Shed(shed) = pool.admit(request_at(0), at(0)) else {
        panic!("expected a rejection")
    };
    assert_eq!(shed.reason, ShedReason::NoTarget);
    assert!(shed.retry_after > Duration::ZERO);
    pool.set_sharers(vec![Sharer::new("vm-1")], FULL_SHARE, at(0));
    expect_sent(pool.admit(request_at(2_000), at(2_000)));
}

/// Guards against enforcing a removed limit, and against sending under a limit of zero.
#[test]
fn removed_limit_is_not_enforced_and_zero_limit_admits_nothing() {
    let mut pool = named_pool("vm-0", &[TARGET]);
    let later: Mono = at(100_000);
    pool.set_rate_limit(&id(TARGET), Some(RequestRate::ZERO), at(0));
    assert!(matches!(pool.admit(request_at(100_000), later), Admission::Shed(_)));
    pool.set_rate_limit(&id(TARGET), None, later);
    expect_sent(pool.admit(request_at(100_000), later));
}

/// Guards against exceeding a target's rate limit, and against probing that target, while another
/// one has free slots.
#[test]
fn other_targets_take_load_beyond_rate_limit() {
    let mut pool = named_pool("vm-0", &[TARGET, "press"]);
    pool.set_rate_limit(&id(TARGET), Some(rate("1")), at(0));
    for now_ms in [0, 100, 200, 300] {
        let assignment = expect_sent(pool.admit(request_at(now_ms), at(now_ms)));
        assert_eq!(assignment.target, id("press"));
        pool.finish(assignment.attempt, answered(), None, at(now_ms + 50));
    }
    assert!(!pool.needs_probe(&id(TARGET), at(2_000)));
}
