//! How much longer than usual one VM may be silent before it is suspected.

use std::time::Duration;

use shallotfork_types::Mono;

/// Longest silence that is allowed because of wrong suspicions. A loss is noticed within it.
const SILENCE_MAX: Duration = Duration::from_secs(2);
/// Doublings of the silence at most; from the shortest usual one they lead to the longest.
const DOUBLINGS_MAX: u32 = 2;
/// A suspicion that is refuted within this time was wrong: the VM was late, not gone.
const REFUTED_WITHIN: Duration = Duration::from_secs(2);
/// Time after the last wrong suspicion for which the longer silence is allowed.
const KEPT_FOR: Duration = Duration::from_secs(30);

/// Allows a VM more silence each time that it was suspected wrongly.
///
/// A VM without processor time to spare answers late. Suspected after the usual silence, it is taken
/// for lost and found again many times a minute; each change is told to the whole fleet, whose
/// processors it keeps busy, which makes more of them late.
#[derive(Debug, Default)]
pub(crate) struct Leniency {
    doublings: u32,
    doubled_at: Mono,
    suspected_at: Option<Mono>,
}

impl Leniency {
    /// The silence after which the VM is suspected, where others are after `usual`.
    pub(crate) fn silence(&self, usual: Duration, now: Mono) -> Duration {
        if now.since(self.doubled_at) > KEPT_FOR {
            return usual;
        }
        let doubled = usual * 2u32.pow(self.doublings);
        doubled.min(SILENCE_MAX).max(usual)
    }

    /// The VM is suspected because of its silence.
    pub(crate) fn suspected(&mut self, now: Mono) {
        self.suspected_at = Some(now);
    }

    /// The VM has proved to be alive.
    pub(crate) fn proved_alive(&mut self, now: Mono) {
        let Some(suspected_at) = self.suspected_at.take() else { return };
        if now.since(suspected_at) > REFUTED_WITHIN {
            return;
        }
        let kept = if now.since(self.doubled_at) > KEPT_FOR { 0 } else { self.doublings };
        self.doublings = (kept + 1).min(DOUBLINGS_MAX);
        self.doubled_at = now;
    }
}
