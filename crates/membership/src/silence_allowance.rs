//! How much longer than usual one VM may be silent before it is suspected.

use std::time::Duration;

use shallotfork_types::Mono;

/// Longest silence allowed after wrong suspicions. A loss is detected within this time.
const SILENCE_MAX: Duration = Duration::from_secs(2);
/// Maximum number of times that the allowed silence is doubled, which raises the shortest usual
/// silence to the longest allowed one.
const DOUBLINGS_MAX: u32 = 2;
/// A suspicion that is refuted within this time was wrong: the VM was delayed, not lost.
const REFUTED_WITHIN: Duration = Duration::from_secs(2);
/// Time after the last wrong suspicion for which the longer silence is allowed.
const ALLOWED_FOR: Duration = Duration::from_secs(30);

/// Allows a VM a longer silence after each wrong suspicion.
///
/// A VM without spare processor time responds late. If it were always suspected after the usual
/// silence, it would be suspected and cleared again many times a minute. Each of these changes
/// is propagated to the whole fleet and uses processor time there, which delays further VMs.
#[derive(Debug, Default)]
pub(crate) struct SilenceAllowance {
    doublings: u32,
    doubled_at: Mono,
    suspected_at: Option<Mono>,
}

impl SilenceAllowance {
    /// Returns the silence after which the VM is suspected, given the `usual` one for other VMs.
    pub(crate) fn silence(&self, usual: Duration, now: Mono) -> Duration {
        if now.since(self.doubled_at) > ALLOWED_FOR {
            return usual;
        }
        let doubled = usual * 2u32.pow(self.doublings);
        doubled.min(SILENCE_MAX).max(usual)
    }

    /// Records that the VM is suspected because of its silence.
    pub(crate) fn record_suspicion(&mut self, now: Mono) {
        self.suspected_at = Some(now);
    }

    /// Records a sign of life of the VM.
    pub(crate) fn record_sign_of_life(&mut self, now: Mono) {
        let Some(suspected_at) = self.suspected_at.take() else { return };
        if now.since(suspected_at) > REFUTED_WITHIN {
            return;
        }
        let current = if now.since(self.doubled_at) > ALLOWED_FOR { 0 } else { self.doublings };
        self.doublings = (current + 1).min(DOUBLINGS_MAX);
        self.doubled_at = now;
    }
}
