//! Tests of the estimate of how long callers waited before their requests arrived.

use std::time::Duration;

use shallotfork_balance::PriorWaitEstimator;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn shorter_deadline_counts_as_time_waited() {
    let mut estimator = PriorWaitEstimator::new(ms(3000));
    (0..100).for_each(|_| assert_eq!(estimator.estimate(ms(3000)), Duration::ZERO));
    assert!(estimator.estimate(ms(2400)) > ms(590));
    assert_eq!(estimator.estimate(ms(3000)), Duration::ZERO);
}

/// Guards against counting a spread of deadlines, evenly between 5.1 and 6 s, as time waited. Two
/// thirds of all requests then counted as late although no caller had waited, and after a loss of
/// all entries fresh requests waited behind them for seven seconds while there was room for all.
#[test]
fn deadline_spread_does_not_count_as_time_waited() {
    let mut estimator = PriorWaitEstimator::new(ms(5700));
    let deadlines = (0..4000).map(|number| ms(5100 + number * 373 % 900));
    let waited: Vec<Duration> = deadlines.map(|deadline| estimator.estimate(deadline)).collect();
    let converged = &waited[1000..];
    let wrong = converged.iter().filter(|waited| **waited > ms(100)).count();
    assert!(wrong < 60, "{wrong} of {}", converged.len());
    assert!(estimator.estimate(ms(3800)) > ms(1000), "a caller that has waited is detected");
}

/// Guards against missing callers that return after a second, when they are a third of all.
#[test]
fn returning_callers_are_detected() {
    let mut estimator = PriorWaitEstimator::new(ms(3000));
    for number in 0..3000 {
        let waited = estimator.estimate(if number % 3 == 0 { ms(2000) } else { ms(3000) });
        if number > 1000 && number % 3 == 0 {
            assert!(waited > ms(900), "{waited:?}");
        }
    }
}
