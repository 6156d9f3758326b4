//! Targets that do not answer when they are asked for their pace.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

#[path = "support/slots.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::time::Duration;

use shallotfork_types::{Permille, TargetId};

use support::{ask, at, id, pool, sent};

const MILL: &str = "mill";
const OTHER: &str = "other";

fn mill() -> TargetId {
    id(MILL)
}

fn sharers(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("vm-{number}")).collect()
}

/// Guards against requests that are sent to a dead target because one lost question proves nothing.
#[test]
fn a_target_whose_questions_fail_twice_is_left_out() {
    let mut pool = pool(&[MILL]);
    pool.record_failed_probe(&mill(), Duration::ZERO, at(10));
    assert_eq!(pool.summary(at(11)).ejected, 0, "an answer can be lost");
    pool.record_failed_probe(&mill(), Duration::from_millis(2), at(70));
    assert_eq!(pool.summary(at(71)).ejected, 1);
}

/// Guards against sending a request to a target that has not answered its question yet, while another
/// one answers.
#[test]
fn a_target_that_owes_an_answer_is_passed_over_until_it_answers() {
    let mut pool = pool(&[MILL, OTHER]);
    pool.record_unanswered_probe(&mill());
    for _ in 0..2 {
        assert_eq!(sent(pool.admit(ask(60), at(60))).target, id(OTHER));
    }
    pool.record_probe_without_load(&mill());
    assert_eq!(sent(pool.admit(ask(60), at(60))).target, mill());
}

/// All entries start at once, and three of them get every caller who has waited. Busy for a tenth
/// of a second, they find the answers of dozens of sound targets too late, and left these out just
/// when every slot was needed.
#[test]
fn silence_that_a_busy_process_only_seems_to_hear_counts_for_nothing() {
    let mut pool = pool(&[MILL]);
    for asked in 1..10 {
        let now = at(asked * 100);
        pool.record_unanswered_probe(&mill());
        pool.record_failed_probe(&mill(), Duration::from_millis(60), now);
    }
    assert_eq!(pool.summary(at(1000)).ejected, 0);
}

/// Guards against refusals of requests that sound targets would have served, where these answer
/// questions late.
#[test]
fn a_request_is_refused_as_full_only_where_targets_usually_answer_soon() {
    let mut pool = pool(&[MILL]);
    let now = at(10);
    pool.set_sharers(sharers(40), Permille::new(1000), now);
    assert_eq!(pool.shed_full(now), None, "nothing is known");
    pool.record_prompt_probe();
    (0..2).for_each(|_| pool.record_unanswered_probe(&mill()));
    assert!(pool.shed_full(now).is_some());
    (0..10).for_each(|_| pool.record_unanswered_probe(&mill()));
    assert_eq!(pool.shed_full(now), None);
}

/// Guards against refusals where few processes share the targets: one that counts a free slot knows
/// better than four unanswered questions.
#[test]
fn no_request_is_refused_as_full_where_few_processes_share_the_targets() {
    let mut pool = pool(&[MILL]);
    let now = at(10);
    pool.set_sharers(sharers(3), Permille::new(1000), now);
    pool.record_prompt_probe();
    assert_eq!(pool.shed_full(now), None);
}
