//! Tests of the scheduling delay.

use std::time::Duration;

use shallotfork_measure::SchedulingDelay;
use shallotfork_types::Mono;

const MS: Duration = Duration::from_millis(1);

#[test]
fn delay_is_zero_without_work() {
    assert_eq!(SchedulingDelay::new().at(Mono::from_millis(5000)), Duration::ZERO);
}

#[test]
fn one_long_wait_raises_the_delay_at_once() {
    let mut delay = SchedulingDelay::new();
    delay.record(MS, Mono::from_millis(1000));
    delay.record(600 * MS, Mono::from_millis(1600));
    assert!(delay.at(Mono::from_millis(1600)) > 500 * MS);
}

#[test]
fn short_waits_reduce_the_delay_within_half_a_second() {
    let mut delay = SchedulingDelay::new();
    delay.record(600 * MS, Mono::from_millis(1000));
    for at_ms in 1001..1500 {
        delay.record(MS, Mono::from_millis(at_ms));
    }
    assert!(delay.at(Mono::from_millis(1500)) < 10 * MS);
}

/// Guards against a process that receives no more requests and counts as overloaded forever.
#[test]
fn delay_expires_without_work() {
    let mut delay = SchedulingDelay::new();
    delay.record(600 * MS, Mono::from_millis(1000));
    assert_eq!(delay.at(Mono::from_millis(2000)), Duration::ZERO);
}
