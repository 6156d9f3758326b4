//! How late a process does its work.

use std::time::Duration;

use shallotfork_measure::SchedulingDelay;
use shallotfork_types::Mono;

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_process_without_work_is_not_late() {
    assert_eq!(SchedulingDelay::new().at(Mono::from_millis(5000)), Duration::ZERO);
}

#[test]
fn one_long_wait_tells_at_once() {
    let mut lateness = SchedulingDelay::new();
    lateness.record(MS, Mono::from_millis(1000));
    lateness.record(600 * MS, Mono::from_millis(1600));
    assert!(lateness.at(Mono::from_millis(1600)) > 500 * MS);
}

#[test]
fn short_waits_take_it_back_within_half_a_second() {
    let mut lateness = SchedulingDelay::new();
    lateness.record(600 * MS, Mono::from_millis(1000));
    for at_ms in 1001..1500 {
        lateness.record(MS, Mono::from_millis(at_ms));
    }
    assert!(lateness.at(Mono::from_millis(1500)) < 10 * MS);
}

/// Guards against a process that is asked no more, and takes itself to be late for ever.
#[test]
fn lateness_is_forgotten_without_work() {
    let mut lateness = SchedulingDelay::new();
    lateness.record(600 * MS, Mono::from_millis(1000));
    assert_eq!(lateness.at(Mono::from_millis(2000)), Duration::ZERO);
}
