//! Room reserved for one answer.

use std::fmt;
use std::time::Duration;

use shallotfork_types::{Bytes, Mono};

use crate::SizeEstimate;

/// Identifies a reservation until it is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReservationId(pub(crate) u64);

impl fmt::Display for ReservationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "reservation {}", self.0)
    }
}

/// How far the transfer of an answer has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The answer is expected from the target or is being read.
    Receiving,
    /// The complete answer is held, and this many bytes of it have not been written.
    Sending { unsent: Bytes, progress_at: Mono },
}

/// Room reserved for one answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reservation {
    /// Memory that is reserved: the expected size until the actual one is known.
    size: Bytes,
    /// Size by which the duration of the transfer is estimated.
    expected: Bytes,
    phase: Phase,
}

impl Reservation {
    pub(crate) fn new(size: SizeEstimate) -> Self {
        Self { size: size.reserved, expected: size.mean, phase: Phase::Receiving }
    }

    pub(crate) fn size(&self) -> Bytes {
        self.size
    }

    pub(crate) fn is_receiving(&self) -> bool {
        self.phase == Phase::Receiving
    }

    /// Returns the expected size while the answer has not been received.
    pub(crate) fn inbound(&self) -> Bytes {
        if self.is_receiving() { self.expected } else { Bytes::default() }
    }

    /// Returns the size of the answer if it has been received.
    pub(crate) fn held(&self) -> Bytes {
        if self.is_receiving() { Bytes::default() } else { self.size }
    }

    /// Returns the number of bytes that the link will probably have to send.
    pub(crate) fn outbound(&self, stalled_after: Duration, now: Mono) -> Bytes {
        match self.phase {
            Phase::Receiving => self.expected,
            Phase::Sending { progress_at, .. } if now.since(progress_at) >= stalled_after => {
                Bytes::default()
            }
            Phase::Sending { unsent, .. } => unsent,
        }
    }

    /// Returns the number of bytes that the link has to send at most, if the answer is not larger than
    /// the reserved size.
    pub(crate) fn unsent_max(&self, stalled_after: Duration, now: Mono) -> Bytes {
        if self.is_receiving() { self.size } else { self.outbound(stalled_after, now) }
    }

    pub(crate) fn correct(&mut self, actual: Bytes) {
        if self.is_receiving() {
            self.size = actual;
            self.expected = actual;
        }
    }

    /// Sets the expected size again, for another attempt after one that has failed.
    pub(crate) fn restart(&mut self, size: SizeEstimate) {
        *self = Self::new(size);
    }

    pub(crate) fn start_sending(&mut self, actual: Bytes, now: Mono) {
        self.size = actual;
        self.phase = Phase::Sending { unsent: actual, progress_at: now };
    }

    pub(crate) fn record_sent(&mut self, sent: Bytes, now: Mono) {
        if let Phase::Sending { unsent, progress_at } = &mut self.phase {
            *unsent = Bytes::new(unsent.value().saturating_sub(sent.value()));
            *progress_at = now;
        }
    }
}
