//! Waits after failures.

use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use shallotfork_platform::{Backoff, BackoffConfig};

#[test]
fn waits_grow_to_the_maximum_and_differ_between_processes() {
    fn bounded(seed: u64, failures: u8) -> bool {
        let config = BackoffConfig::default();
        let mut backoff = Backoff::new(config.clone(), seed);
        let mut longest = config.initial_delay;
        for _ in 0..failures {
            let wait = backoff.next_delay();
            if wait < longest / 2 || wait > longest {
                return false;
            }
            longest = (longest * 2).min(config.max_delay);
        }
        backoff.reset();
        backoff.next_delay() <= config.initial_delay
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, 3))
        .quickcheck(bounded as fn(u64, u8) -> bool);
    let wait = |seed| Backoff::new(BackoffConfig::default(), seed).next_delay();
    assert_ne!(wait(1), wait(2));
    assert!(wait(1) < Duration::from_secs(1));
}
