//! How often heartbeats are exchanged.

use std::time::Duration;

use shallotfork_fleet::{near_periods, propagation_delay};

#[test]
fn a_larger_failure_domain_sends_no_more_to_its_first_entries() {
    assert_eq!([0, 1, 20, 21, 42, 120, 1000].map(near_periods), [1, 1, 1, 2, 3, 6, 6]);
}

#[test]
fn a_change_reaches_a_large_failure_domain_within_the_users_two_seconds() {
    assert!(propagation_delay(1000) < Duration::from_millis(1500));
}
