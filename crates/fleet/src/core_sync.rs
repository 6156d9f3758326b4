//! What another entry has been told of the heads.

use std::time::Duration;

use shallotfork_types::Mono;

/// Of the heartbeats in a row that show other heads, each so many is answered with all news of heads,
/// in place of what has changed since the last one: an answer may have been lost.
const RETELL_ALL_EVERY: u32 = 2;
/// How long a comparison says something; two heartbeats of the largest failure domains.
const COUNTS_FOR: Duration = Duration::from_millis(2000);

/// How far the heads that another entry knows agree with the own ones.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Told {
    /// The version of the view that it was told last, or had in common.
    version: u64,
    /// Its heartbeats in a row that showed other heads.
    differing: u32,
    compared_at: Mono,
}

impl Told {
    /// Nothing was told yet.
    pub(crate) fn new(now: Mono) -> Self {
        Self { version: 0, differing: 0, compared_at: now }
    }

    /// It has shown which heads it knows.
    pub(crate) fn compared(&mut self, agrees: bool, version: u64, now: Mono) {
        self.compared_at = now;
        if agrees {
            (self.version, self.differing) = (version, 0);
        } else {
            self.differing += 1;
        }
    }

    /// The version after which changes are due to be told to it, which counts as done; `None` when
    /// its heads agree, or when that is not known.
    pub(crate) fn take_due(&mut self, version: u64, now: Mono) -> Option<u64> {
        if self.differing == 0 || self.is_old(now) {
            return None;
        }
        let since = if self.differing.is_multiple_of(RETELL_ALL_EVERY) { 0 } else { self.version };
        self.version = version;
        Some(since)
    }

    /// Whether the last comparison says nothing any more.
    pub(crate) fn is_old(&self, now: Mono) -> bool {
        now.since(self.compared_at) > COUNTS_FOR
    }
}
