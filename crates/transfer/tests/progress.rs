//! Tests of when a transfer to a caller that does not read is ended.

use std::time::Duration;

use shallotfork_transfer::{STALL_MAX, TransferProgress};
use shallotfork_types::Mono;

fn at(ms: u64) -> Mono {
    Mono::from_millis(ms)
}

/// Guards against answers that occupy memory for callers that have stopped reading.
#[test]
fn a_caller_that_accepts_nothing_is_given_up() {
    let mut progress = TransferProgress::default();
    progress.record_offered(at(1_000));
    let ends_at = at(1_000).plus(STALL_MAX);
    assert_eq!(progress.ends_at(), Some(ends_at));
    assert!(!progress.is_stalled(ends_at.minus(Duration::from_millis(1))));
    assert!(progress.is_stalled(ends_at));
}

/// Guards against ending a transfer to a slow caller: any accepted byte is progress.
#[test]
fn a_caller_that_reads_slowly_is_served() {
    let mut progress = TransferProgress::default();
    progress.record_offered(at(0));
    for second in 1..100 {
        let now = at(second * 4_000);
        assert!(!progress.is_stalled(now));
        progress.record_accepted(true, now);
    }
}

/// Guards against ending a transfer because the pacer lets it wait, which is not the caller's
/// fault.
#[test]
fn waiting_for_the_pacer_does_not_count() {
    let mut progress = TransferProgress::default();
    progress.record_offered(at(0));
    progress.record_accepted(false, at(10));
    assert_eq!(progress.ends_at(), None);
    assert!(!progress.is_stalled(at(100_000)));
    progress.record_offered(at(100_000));
    progress.record_offered(at(101_000));
    assert_eq!(progress.ends_at(), Some(at(100_000).plus(STALL_MAX)));
}
