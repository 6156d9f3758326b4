//! Quarantine for requests that crash the targets they run on.
//!
//! This crate performs no I/O and reads no clock; callers pass in the current time. Processes share
//! their records as [`CrashReport`]s.

mod config;
mod fingerprint;
mod quarantine;
mod record;
mod report;

pub use config::QuarantineConfig;
pub use fingerprint::{FingerprintKey, RequestContent, RequestFingerprint};
pub use quarantine::{Admission, Quarantine, SendKind};
pub use report::{CrashReport, QuarantineDigest};
