//! Targets that don't answer load probes.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

#[path = "support/slots.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::time::Duration;

use shallotfork_balance::Sharer;
use shallotfork_types::{Permille, TargetId};

use support::{at, expect_sent, id, pool, request_at};

const TARGET: &str = "mill";
const OTHER: &str = "other";

fn target_id() -> TargetId {
    id(TARGET)
}

fn sharers(count: usize) -> Vec<Sharer> {
    (0..count).map(|number| Sharer::new(&format!("vm-{number}"))).collect()
}

/// Guards against sending requests to a dead target because a single lost probe proves nothing.
#[test]
fn target_is_ejected_after_two_failed_probes() {
    let mut pool = pool(&[TARGET]);
    pool.record_failed_probe(&target_id(), Duration::ZERO, at(10));
    assert_eq!(pool.summary(at(11)).ejected, 0, "a single probe can be lost");
    pool.record_failed_probe(&target_id(), Duration::from_millis(2), at(70));
    assert_eq!(pool.summary(at(71)).ejected, 1);
}

/// Guards against sending a request to a target with an overdue probe answer while another target
/// answers.
#[test]
fn target_with_overdue_probe_is_passed_over_until_it_answers() {
    let mut pool = pool(&[TARGET, OTHER]);
    pool.record_unanswered_probe(&target_id());
    for _ in 0..2 {
        assert_eq!(expect_sent(pool.admit(request_at(60), at(60))).target, id(OTHER));
    }
    pool.record_probe_without_load(&target_id());
    assert_eq!(expect_sent(pool.admit(request_at(60), at(60))).target, target_id());
}

/// After a common start of all entries, three of them receive the requests of all waiting callers.
/// Busy for a tenth of a second, they read the probe answers of dozens of healthy targets too late.
/// Guards against ejecting those targets just when every slot is needed.
#[test]
fn failed_probes_are_ignored_under_scheduling_delay() {
    let mut pool = pool(&[TARGET]);
    for round in 1..10 {
        let now = at(round * 100);
        pool.record_unanswered_probe(&target_id());
        pool.record_failed_probe(&target_id(), Duration::from_millis(60), now);
    }
    assert_eq!(pool.summary(at(1000)).ejected, 0);
}

/// Guards against rejecting requests that healthy targets would serve, in a service whose targets
/// answer probes late.
#[test]
fn request_is_shed_as_full_only_if_probes_are_usually_prompt() {
    let mut pool = pool(&[TARGET]);
    let now = at(10);
    pool.set_sharers(sharers(40), Permille::new(1000), now);
    assert_eq!(pool.shed_full(now), None, "no probe has been answered");
    pool.record_prompt_probe();
    (0..2).for_each(|_| pool.record_unanswered_probe(&target_id()));
    assert!(pool.shed_full(now).is_some());
    (0..10).for_each(|_| pool.record_unanswered_probe(&target_id()));
    assert_eq!(pool.shed_full(now), None);
}

/// Guards against rejecting requests if few processes share the targets: their own count of free
/// slots is more reliable than four unanswered probes.
#[test]
fn request_is_not_shed_as_full_with_few_sharers() {
    let mut pool = pool(&[TARGET]);
    let now = at(10);
    pool.set_sharers(sharers(3), Permille::new(1000), now);
    pool.record_prompt_probe();
    assert_eq!(pool.shed_full(now), None);
}
