//! Intervals between heartbeats.

use std::time::Duration;

use shallotfork_fleet::{local_interval_periods, propagation_delay};

#[test]
fn larger_failure_domains_use_longer_intervals() {
    assert_eq!([0, 1, 20, 21, 42, 120, 1000].map(local_interval_periods), [1, 1, 1, 2, 3, 6, 6]);
}

/// Guards against exceeding the two seconds that users allow for a change.
#[test]
fn changes_reach_a_large_failure_domain_in_time() {
    assert!(propagation_delay(1000) < Duration::from_millis(1500));
}
