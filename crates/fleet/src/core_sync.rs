//! Synchronization of the core entries with one other entry.

use std::time::Duration;

use shallotfork_types::Mono;

/// Of consecutive heartbeats with a differing digest, every n-th is answered with all updates about
/// core entries instead of the changes since the previous answer, which may have been lost.
const FULL_RESEND_EVERY: u32 = 2;
/// The same while only the loads differ, which change several times within a few heartbeats.
const FULL_RESEND_OF_LOADS_EVERY: u32 = 8;
/// Time for which a comparison of digests stays valid: two heartbeats of the largest failure
/// domains.
const COMPARISON_VALID_FOR: Duration = Duration::from_millis(2000);

/// Result of a comparison of the digests of two entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CoreComparison {
    /// Both know the same core entries and their loads.
    Same,
    /// Both know the same core entries, but other loads of these.
    LoadsDiffer,
    /// The known core entries differ.
    EntriesDiffer,
}

/// How far the core entries known to another entry agree with those of this entry.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CoreSync {
    /// Version of the membership view that was last sent to the other entry or that it agreed with.
    version: u64,
    /// Number of consecutive heartbeats of the other entry with a differing digest.
    mismatches: u32,
    last: CoreComparison,
    compared_at: Mono,
}

impl CoreSync {
    /// Creates the state for an entry to which nothing has been sent yet.
    pub(crate) fn new(now: Mono) -> Self {
        Self { version: 0, mismatches: 0, last: CoreComparison::Same, compared_at: now }
    }

    /// Records whether the core entries of the other entry agree with those of this entry.
    pub(crate) fn record_comparison(
        &mut self,
        comparison: CoreComparison,
        version: u64,
        now: Mono,
    ) {
        self.compared_at = now;
        self.last = comparison;
        if comparison == CoreComparison::Same {
            (self.version, self.mismatches) = (version, 0);
        } else {
            self.mismatches += 1;
        }
    }

    /// Returns the version after which changes are to be sent to the other entry, and records them
    /// as sent. Returns `None` if the core entries agree or if that is not known.
    pub(crate) fn take_due_version(&mut self, version: u64, now: Mono) -> Option<u64> {
        if self.mismatches == 0 || self.is_expired(now) {
            return None;
        }
        let full_resend_every = match self.last {
            CoreComparison::LoadsDiffer => FULL_RESEND_OF_LOADS_EVERY,
            CoreComparison::Same | CoreComparison::EntriesDiffer => FULL_RESEND_EVERY,
        };
        let due_version =
            if self.mismatches.is_multiple_of(full_resend_every) { 0 } else { self.version };
        self.version = version;
        Some(due_version)
    }

    /// Returns whether the last comparison is no longer valid.
    pub(crate) fn is_expired(&self, now: Mono) -> bool {
        now.since(self.compared_at) > COMPARISON_VALID_FOR
    }
}
