//! Entries without processor time to spare, which answer late and read late.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

mod support;

use std::time::Duration;

use support::Model;

const SEEDS: std::ops::Range<u64> = 1..4;
/// A step of a late entry waits up to this long: more than the silence that is usually allowed.
const LATE_MS: u64 = 700;
const OBSERVED_MS: u64 = 20_000;
/// Suspicions of one late entry after which it is allowed as much silence as any is.
const SUSPICIONS_EACH: usize = 3;

/// Requests that an entry can carry; half of all entries are named to callers.
const SMALL: u32 = 67;
const ENTRIES: usize = 141;
const LATE: usize = 7;

fn running(seed: u64) -> Model {
    let mut model = Model::new(seed, 3, &[(ENTRIES, SMALL)]);
    model.start_all();
    model.run_for(5_000);
    model
}

/// Entries that callers are sent to, though none of the first ones.
fn late_ones(model: &Model) -> Vec<usize> {
    let named = model.expected();
    named.iter().rev().take(LATE).map(|vm| model.index_of(vm)).collect()
}

/// Guards against a fleet that takes entries which are late for lost and finds them again many times a
/// minute: every change is told to all entries, and each moves callers.
#[test]
fn entries_that_are_late_are_not_taken_for_lost_again_and_again() {
    for seed in SEEDS {
        let mut model = running(seed);
        let late = late_ones(&model);
        model.late_ms.extend(late.iter().map(|index| (*index, LATE_MS)));
        let observer = (0..ENTRIES).find(|index| !late.contains(index)).unwrap();
        let suspicions = model.suspicions_by(observer, OBSERVED_MS);
        let most = late.len() * SUSPICIONS_EACH;
        assert!(suspicions <= most, "seed {seed}: {suspicions} of {} late entries", late.len());
    }
}

/// Guards against an entry that reads its heartbeats late and takes all others for lost.
#[test]
fn an_entry_that_is_late_itself_suspects_nobody() {
    for seed in SEEDS {
        let mut model = running(seed);
        let late = late_ones(&model)[0];
        model.late_ms.insert(late, LATE_MS);
        model.set_late_by(late, Duration::from_millis(LATE_MS / 2));
        assert_eq!(model.suspicions_by(late, OBSERVED_MS), 0, "seed {seed}");
    }
}

/// Guards against lateness that hides a loss: callers are sent to a lost entry for as long as it counts
/// as late.
#[test]
fn late_entries_that_are_lost_are_noticed() {
    const LOSS_MAX_MS: u64 = 5_000;
    for seed in SEEDS {
        let mut model = running(seed);
        let late = late_ones(&model);
        model.late_ms.extend(late.iter().map(|index| (*index, LATE_MS)));
        model.run_for(OBSERVED_MS);
        model.lose(|index, _| late.contains(&index));
        assert!(model.converge(LOSS_MAX_MS).is_some(), "seed {seed}");
    }
}
