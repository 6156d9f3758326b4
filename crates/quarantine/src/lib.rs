//! Identification of requests that crash their targets.
//!
//! This crate performs no I/O.

mod fingerprint;

pub use fingerprint::{FingerprintKey, RequestContent, RequestFingerprint};
