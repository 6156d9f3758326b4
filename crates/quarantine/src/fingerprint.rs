//! Keyed hashes that identify requests by their content.

use std::fmt;
use std::str::FromStr;

use hmac::digest::KeyInit;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Domain separation label: the secret is also used for other HMACs.
const LABEL: &[u8] = b"shallotfork request fingerprint";
/// Length to which the HMAC output is truncated.
const FINGERPRINT_BYTES: usize = 8;

/// A keyed hash of a request's content. Each repeat of a request has the same fingerprint in all
/// processes that use the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Creates a fingerprint from its numeric value.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the numeric value.
    pub fn value(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestFingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// The parts of a request that its fingerprint covers. They are the same for each repeat of the
/// request.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The requested host.
    pub host: &'a str,
    /// Path and query.
    pub path_and_query: &'a str,
    /// Names and values of the headers that identify the caller, in a fixed order of names.
    pub caller_headers: &'a [&'a [u8]],
    /// The complete body.
    pub body: &'a [u8],
}

/// A key for computing request fingerprints.
///
/// The hash is keyed so that a caller without the secret cannot search for a request whose
/// fingerprint collides with that of another caller's request.
#[derive(Clone)]
pub struct FingerprintKey(Hmac<Sha256>);

impl FingerprintKey {
    /// Derives the key from a secret that is shared by all processes of the fleet.
    pub fn new(secret: &[u8]) -> Self {
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(secret)
            .expect("HMAC accepts keys of any length");
        mac.update(LABEL);
        Self(mac)
    }

    /// Computes the fingerprint of a request.
    pub fn fingerprint(&self, content: &RequestContent<'_>) -> RequestFingerprint {
        let mut mac = self.0.clone();
        let parts = [content.method, content.host, content.path_and_query].map(str::as_bytes);
        for part in parts.iter().chain(content.caller_headers).chain([&content.body]) {
            // The length prefix makes the boundaries between parts unambiguous.
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        let tag = mac.finalize().into_bytes();
        let mut truncated = [0; FINGERPRINT_BYTES];
        truncated.copy_from_slice(&tag[..FINGERPRINT_BYTES]);
        RequestFingerprint(u64::from_be_bytes(truncated))
    }
}

impl fmt::Debug for FingerprintKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FingerprintKey(..)")
    }
}
