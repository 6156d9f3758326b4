//! Time and bytes until a fleet follows a platform that was restored from a copy.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

mod support;

use support::{Items, LARGE_CAPACITY, Model, SMALL_CAPACITY};

const TARGETS: usize = 809;
/// Targets whose last changes the copy lacks.
const CHANGED_TARGETS: usize = 40;
/// Longest time until a reader has read the platform after its return.
const READ_WITHIN_MS: u64 = 1_000;
/// Time within which users expect a change to be in force.
const IN_FORCE_WITHIN_MS: u64 = 2_000;
const STEP_MS: u64 = 25;

/// Cost of following a restored platform.
struct Cost {
    /// Time from the platform's return until the last entry follows.
    took_ms: u64,
    total_bytes: usize,
    max_bytes: usize,
}

fn follow_restored_platform(domains: usize, groups: &[(usize, u32)]) -> Cost {
    let mut model = Model::new(1, domains, groups);
    model.start_all();
    model.run_for(5_000);
    let mut items = Items::new(model.len(), TARGETS);
    items.restore(CHANGED_TARGETS);
    model.items = Some(items);
    model.read_platform(READ_WITHIN_MS);
    let steps = (1..=400).find(|_| {
        model.run_for(STEP_MS);
        model.items.as_ref().unwrap().all_follow()
    });
    let received = model.items.unwrap().received_bytes();
    Cost {
        took_ms: steps.unwrap() * STEP_MS,
        total_bytes: received.iter().sum(),
        max_bytes: received.iter().copied().max().unwrap(),
    }
}

/// Guards against a restore after which every entry transfers everything: the links of weak VMs would be
/// full for seconds, and changes would not be in force in time.
#[test]
fn fleets_of_all_sizes_follow_with_the_difference() {
    const ALL_BYTES: usize = TARGETS * 350;
    let fleets: [(usize, &[(usize, u32)]); 3] = [
        (3, &[(14, LARGE_CAPACITY)]),
        (3, &[(12, LARGE_CAPACITY), (114, SMALL_CAPACITY)]),
        (5, &[(15, LARGE_CAPACITY), (457, SMALL_CAPACITY)]),
    ];
    for (domains, groups) in fleets {
        let count: usize = groups.iter().map(|(count, _)| count).sum();
        let cost = follow_restored_platform(domains, groups);
        let Cost { took_ms, total_bytes, max_bytes } = cost;
        println!("{count} entries: {took_ms} ms, {total_bytes} bytes, {max_bytes} at most");
        assert!(took_ms <= READ_WITHIN_MS + IN_FORCE_WITHIN_MS, "{count} entries: {took_ms} ms");
        assert!(max_bytes < ALL_BYTES / 4, "{count} entries: {max_bytes} bytes at one");
    }
}
