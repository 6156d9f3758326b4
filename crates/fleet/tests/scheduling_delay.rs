//! Entries without spare processor time, which send, process and answer heartbeats late.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

mod support;

use std::time::Duration;

use support::Model;

const SEEDS: std::ops::Range<u64> = 1..4;
/// Maximum scheduling delay of each step of a delayed entry. It exceeds the silence that is usually
/// allowed.
const MAX_DELAY_MS: u64 = 700;
const OBSERVED_MS: u64 = 20_000;
/// Number of suspicions of a delayed entry after which it is allowed the longest silence.
const SUSPICIONS_PER_ENTRY: usize = 3;

/// Number of requests per second that an entry can carry. Half of all entries are advertised.
const CAPACITY: u32 = 67;
const ENTRIES: usize = 141;
const DELAYED_ENTRIES: usize = 7;

fn running(seed: u64) -> Model {
    let mut model = Model::new(seed, 3, &[(ENTRIES, CAPACITY)]);
    model.start_all();
    model.run_for(5_000);
    model
}

/// Returns the advertised entries that rank last.
fn delayed_entries(model: &Model) -> Vec<usize> {
    let advertised = model.expected_advertised();
    advertised.iter().rev().take(DELAYED_ENTRIES).map(|vm| model.index_of(vm)).collect()
}

/// Guards against a fleet that takes delayed entries for lost and finds them again many times a
/// minute. Every change is propagated to all entries and moves callers.
#[test]
fn delayed_entries_are_not_suspected_repeatedly() {
    for seed in SEEDS {
        let mut model = running(seed);
        let delayed = delayed_entries(&model);
        model.max_delay_ms.extend(delayed.iter().map(|index| (*index, MAX_DELAY_MS)));
        let observer = (0..ENTRIES).find(|index| !delayed.contains(index)).unwrap();
        let suspicions = model.count_suspicions_by(observer, OBSERVED_MS);
        let most = delayed.len() * SUSPICIONS_PER_ENTRY;
        assert!(
            suspicions <= most,
            "seed {seed}: {suspicions} of {} delayed entries",
            delayed.len()
        );
    }
}

/// Guards against an entry that processes heartbeats late and takes all others for lost.
#[test]
fn a_delayed_entry_suspects_no_other() {
    for seed in SEEDS {
        let mut model = running(seed);
        let delayed = delayed_entries(&model)[0];
        model.max_delay_ms.insert(delayed, MAX_DELAY_MS);
        model.set_scheduling_delay(delayed, Duration::from_millis(MAX_DELAY_MS / 2));
        assert_eq!(model.count_suspicions_by(delayed, OBSERVED_MS), 0, "seed {seed}");
    }
}

/// Guards against delays that hide a loss, so that callers are sent to a lost entry for as long as
/// it counts as delayed.
#[test]
fn the_loss_of_delayed_entries_is_detected() {
    const LOSS_MAX_MS: u64 = 5_000;
    for seed in SEEDS {
        let mut model = running(seed);
        let delayed = delayed_entries(&model);
        model.max_delay_ms.extend(delayed.iter().map(|index| (*index, MAX_DELAY_MS)));
        model.run_for(OBSERVED_MS);
        model.kill(|index, _| delayed.contains(&index));
        assert!(model.converge(LOSS_MAX_MS).is_some(), "seed {seed}");
    }
}
