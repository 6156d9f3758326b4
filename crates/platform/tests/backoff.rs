//! Tests of the delays between calls to the platform after failures.

use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use shallotfork_platform::{Backoff, BackoffConfig};

#[test]
fn delays_grow_to_maximum_and_differ_between_seeds() {
    fn delays_stay_within_bounds(seed: u64, failures: u8) -> bool {
        let config = BackoffConfig::default();
        let mut backoff = Backoff::new(config.clone(), seed);
        let mut upper_bound = config.initial_delay;
        for _ in 0..failures {
            let delay = backoff.next_delay();
            if delay < upper_bound / 2 || delay > upper_bound {
                return false;
            }
            upper_bound = (upper_bound * 2).min(config.max_delay);
        }
        backoff.reset();
        backoff.next_delay() <= config.initial_delay
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, 3))
        .quickcheck(delays_stay_within_bounds as fn(u64, u8) -> bool);
    let delay = |seed| Backoff::new(BackoffConfig::default(), seed).next_delay();
    assert_ne!(delay(1), delay(2));
    assert!(delay(1) < Duration::from_secs(1));
}
