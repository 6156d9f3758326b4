//! Crash records as exchanged between processes.

use std::time::Duration;

use crate::RequestFingerprint;

/// A process's record of one request.
///
/// Times are sent as ages, so that clocks of different processes are never compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Number of successive crashes since the last answer.
    pub crashes: u8,
    /// Time since the last crash.
    pub crashed_ago: Duration,
    /// Time since the last answer; `None` if no answer is known.
    pub answered_ago: Option<Duration>,
}

/// Digest of a set of quarantined requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QuarantineDigest(u64);

impl QuarantineDigest {
    /// Creates a digest from its numeric value.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the numeric value.
    pub const fn value(self) -> u64 {
        self.0
    }
}
