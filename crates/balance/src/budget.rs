//! Extra attempts as a share of first ones.

use shallotfork_types::Permille;

/// Thousandths of an extra attempt that one extra attempt takes.
const ATTEMPT_MILLI: u64 = 1000;

/// Lets extra attempts through up to a share of first attempts.
///
/// In any span of time: extras <= `burst` + share x first attempts. Without it, retries multiply
/// the load just when targets fail, and the overload keeps itself up after its cause is gone.
#[derive(Debug)]
pub(crate) struct ShareBudget {
    share: Permille,
    burst_milli: u64,
    saved_milli: u64,
    firsts: u64,
    taken: u64,
}

impl ShareBudget {
    pub(crate) fn new(share: Permille, burst: u32) -> Self {
        let burst_milli = u64::from(burst) * ATTEMPT_MILLI;
        Self { share, burst_milli, saved_milli: burst_milli, firsts: 0, taken: 0 }
    }

    pub(crate) fn first_attempt(&mut self) {
        self.firsts += 1;
        let saved = self.saved_milli + u64::from(self.share.value());
        self.saved_milli = saved.min(self.burst_milli);
    }

    pub(crate) fn has_room(&self) -> bool {
        self.saved_milli >= ATTEMPT_MILLI
    }

    /// First attempts so far.
    pub(crate) fn firsts(&self) -> u64 {
        self.firsts
    }

    /// Extra attempts so far.
    pub(crate) fn taken(&self) -> u64 {
        self.taken
    }

    /// Takes one extra attempt, or answers that there is none left.
    pub(crate) fn take(&mut self) -> bool {
        if !self.has_room() {
            return false;
        }
        self.saved_milli -= ATTEMPT_MILLI;
        self.taken += 1;
        true
    }
}
