//! Compliance of a whole fleet of processes with a target's rate limit.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

#[path = "support/slots.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallotfork_balance::{Admission, Assignment, ShedReason, SlotPool};
use shallotfork_types::{Mono, RequestRate};

use support::{answered, ask, at, id, named_pool, sent};

const TARGET: &str = "mill";
const SEEDS: std::ops::Range<u64> = 1..4;
const STEP_MS: u64 = 10;
/// Service time of a request.
const SERVICE_TIME_MS: u64 = 40;
const SIMULATED_MS: u64 = 40_000;
/// Requests sent sooner than this after the limit is set are not counted.
const GRACE_MS: u64 = 3_000;
/// Length of the sliding window in which requests are counted.
const WINDOW_MS: u64 = 4_000;
/// Upper bound of the delay after which a process learns of a fleet change.
const VIEW_DELAY_MAX_MS: u64 = 1_000;

fn rate(text: &str) -> RequestRate {
    text.parse().unwrap()
}

/// The number of requests tolerated in a window: 1.5 times the limit, plus 5.
fn allowed_in_window(limit: RequestRate) -> usize {
    (1.5 * limit.per_s() * WINDOW_MS as f64 / 1000.0) as usize + 5
}

struct Process {
    name: String,
    pool: SlotPool,
    running: Vec<(u64, Assignment)>,
    /// A fleet change that this process has not learned of yet: when it does, and the new sharers.
    pending_view: Option<(u64, Vec<String>)>,
}

struct Fleet {
    processes: Vec<Process>,
    /// Names of the processes that callers are sent to.
    sharers: Vec<String>,
    rng: StdRng,
    sends_ms: Vec<u64>,
}

impl Fleet {
    fn new(seed: u64, count: usize, sharers: usize, limit: RequestRate) -> Self {
        let names: Vec<String> = (0..count).map(|number| format!("vm-{number}")).collect();
        let sharers = names[..sharers].to_vec();
        let process = |name: &String| {
            let mut pool = named_pool(name, &[TARGET]);
            pool.set_sharers(sharers.clone(), at(0));
            pool.set_rate_limit(&id(TARGET), Some(limit), at(0));
            Process { name: name.clone(), pool, running: Vec::new(), pending_view: None }
        };
        let processes = names.iter().map(process).collect();
        Self { processes, sharers, rng: StdRng::seed_from_u64(seed), sends_ms: Vec::new() }
    }

    /// Replaces one of the sharers by another process. Each process learns of it after its own
    /// random delay.
    fn replace_sharer(&mut self, now_ms: u64) {
        let others: Vec<&Process> =
            self.processes.iter().filter(|p| !self.sharers.contains(&p.name)).collect();
        if others.is_empty() {
            return;
        }
        let new = others[self.rng.random_range(0..others.len())].name.clone();
        let place = self.rng.random_range(0..self.sharers.len());
        self.sharers[place] = new;
        for process in &mut self.processes {
            let learned_ms = now_ms + self.rng.random_range(0..VIEW_DELAY_MAX_MS);
            process.pending_view = Some((learned_ms, self.sharers.clone()));
        }
    }

    /// Has every process send as much as its pool admits.
    fn step(&mut self, now_ms: u64) {
        for process in &mut self.processes {
            if let Some((_, view)) =
                process.pending_view.take_if(|(learned_ms, _)| *learned_ms <= now_ms)
            {
                process.pool.set_sharers(view, at(now_ms));
            }
            let ended = process.running.extract_if(.., |(ends_ms, _)| *ends_ms <= now_ms);
            for (_, assignment) in ended {
                process.pool.finish(assignment.attempt, answered(), None, at(now_ms));
            }
            if let Admission::Send(assignment) = process.pool.admit(ask(now_ms), at(now_ms)) {
                process.pool.sending(assignment.attempt, at(now_ms));
                process.running.push((now_ms + SERVICE_TIME_MS, assignment));
                self.sends_ms.push(now_ms);
            }
        }
    }

    fn run(&mut self, replace_every_ms: u64) {
        for now_ms in (0..SIMULATED_MS).step_by(STEP_MS as usize) {
            if now_ms > 0 && now_ms.is_multiple_of(replace_every_ms) {
                self.replace_sharer(now_ms);
            }
            self.step(now_ms);
        }
    }

    fn max_sends_in_window(&self) -> usize {
        let begins = self.sends_ms.iter().filter(|at_ms| **at_ms >= GRACE_MS);
        let in_window = |begin: &u64| {
            self.sends_ms.iter().filter(|at| (*begin..begin + WINDOW_MS).contains(at)).count()
        };
        begins.map(in_window).max().unwrap_or(0)
    }
}

/// Guards against processes that each comply with a rate limit but exceed it in total.
#[test]
fn all_processes_together_keep_to_a_rate_limit_while_the_fleet_changes() {
    for seed in SEEDS {
        for (count, sharers) in [(1, 1), (15, 3), (40, 15)] {
            for limit in ["0.2", "1", "1.9", "2.5", "7", "40"].map(rate) {
                let mut fleet = Fleet::new(seed, count, sharers, limit);
                fleet.run(5_000);
                let max = fleet.max_sends_in_window();
                let case = format!("seed {seed}, {sharers} of {count}, {limit} a second: {max}");
                assert!(max <= allowed_in_window(limit), "{case}");
            }
        }
    }
}

/// Guards against complying with a limit by sending far less than it allows.
#[test]
fn a_target_with_a_rate_limit_is_used_up_to_it() {
    for (count, sharers) in [(1, 1), (15, 3), (40, 15)] {
        for limit in ["0.5", "1", "2.5", "7"].map(rate) {
            let mut fleet = Fleet::new(1, count, sharers, limit);
            fleet.run(SIMULATED_MS);
            let allowed = limit.per_s() * SIMULATED_MS as f64 / 1000.0;
            let sends = fleet.sends_ms.len() as f64;
            assert!(sends >= 0.8 * allowed, "{sharers} of {count}: {sends} of {allowed}");
        }
    }
}

/// Guards against queueing requests at a process that has no share of the limit any more.
#[test]
fn a_request_is_refused_at_once_if_the_process_has_no_share_of_any_limit() {
    let mut pool = named_pool("vm-1", &[TARGET]);
    pool.set_sharers(vec!["vm-0".to_owned()], at(0));
    pool.set_rate_limit(&id(TARGET), Some(rate("1")), at(0));
    let Admission::Shed(shed) = pool.admit(ask(0), at(0)) else { panic!("expected a refusal") };
    assert_eq!(shed.reason, ShedReason::NoTarget);
    assert!(shed.retry_after > Duration::ZERO);
    pool.set_sharers(vec!["vm-1".to_owned()], at(0));
    sent(pool.admit(ask(2_000), at(2_000)));
}

/// Guards against enforcing a removed limit, and against sending under a limit of zero.
#[test]
fn a_removed_limit_is_not_enforced_and_a_limit_of_zero_admits_nothing() {
    let mut pool = named_pool("vm-0", &[TARGET]);
    let later: Mono = at(100_000);
    pool.set_rate_limit(&id(TARGET), Some(RequestRate::ZERO), at(0));
    assert!(matches!(pool.admit(ask(100_000), later), Admission::Shed(_)));
    pool.set_rate_limit(&id(TARGET), None, later);
    sent(pool.admit(ask(100_000), later));
}

/// Guards against sending to a target beyond its limit, and checking its pace, while another target
/// has free slots.
#[test]
fn other_targets_take_the_load_beyond_a_rate_limit() {
    let mut pool = named_pool("vm-0", &[TARGET, "press"]);
    pool.set_rate_limit(&id(TARGET), Some(rate("1")), at(0));
    for now_ms in [0, 100, 200, 300] {
        let assignment = sent(pool.admit(ask(now_ms), at(now_ms)));
        assert_eq!(assignment.target, id("press"));
        pool.finish(assignment.attempt, answered(), None, at(now_ms + 50));
    }
    assert!(!pool.wants_check(&id(TARGET), at(2_000)));
}
