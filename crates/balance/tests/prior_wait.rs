//! How long callers had waited before they came.

use std::time::Duration;

use shallotfork_balance::PriorWaitEstimator;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn where_all_begin_alike_what_lacks_is_time_waited() {
    let mut patience = PriorWaitEstimator::new(ms(3000));
    (0..100).for_each(|_| assert_eq!(patience.estimate(ms(3000)), Duration::ZERO));
    assert!(patience.estimate(ms(2400)) > ms(590));
    assert_eq!(patience.estimate(ms(3000)), Duration::ZERO);
}

/// Deadlines between 5.1 and 6 s, evenly. Nobody has waited, and yet two thirds of all requests
/// were taken for late ones; after a loss of all entries fresh requests waited behind them for
/// seven seconds, while there was room for everybody.
#[test]
fn a_spread_of_deadlines_is_not_taken_for_time_waited() {
    let mut patience = PriorWaitEstimator::new(ms(5700));
    let deadlines = (0..4000).map(|number| ms(5100 + number * 373 % 900));
    let waited: Vec<Duration> = deadlines.map(|deadline| patience.estimate(deadline)).collect();
    let settled = &waited[1000..];
    let wrong = settled.iter().filter(|waited| **waited > ms(100)).count();
    assert!(wrong < 60, "{wrong} of {}", settled.len());
    assert!(patience.estimate(ms(3800)) > ms(1000), "but one that has waited is told");
}

/// A third of all callers have come back after a second.
#[test]
fn those_who_come_back_are_told_from_those_who_begin() {
    let mut patience = PriorWaitEstimator::new(ms(3000));
    for number in 0..3000 {
        let waited = patience.estimate(if number % 3 == 0 { ms(2000) } else { ms(3000) });
        if number > 1000 && number % 3 == 0 {
            assert!(waited > ms(900), "{waited:?}");
        }
    }
}
