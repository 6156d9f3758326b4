//! How often heartbeats are exchanged.

use shallotfork_fleet::{far_periods, near_periods};

#[test]
fn a_larger_failure_domain_sends_no_more_to_its_first_entries() {
    assert_eq!([0, 1, 20, 21, 42, 120, 1000].map(near_periods), [1, 1, 1, 2, 3, 6, 6]);
}

/// The platform turned all three readers away in silence. Heartbeats to other failure domains came
/// at every sixth period, so that the entries next in turn heard of it up to 0.9 s later: a new route
/// was still answered with 404 two seconds after its acknowledgement.
#[test]
fn other_failure_domains_are_heard_at_every_period_while_something_is_amiss() {
    assert_eq!([1, 3].map(|near| far_periods(near, true)), [1, 1]);
    assert_eq!([1, 3, 6].map(|near| far_periods(near, false)), [6, 6, 6]);
}
