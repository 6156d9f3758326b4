//! The secret under which an issuer signs its sessions.

use std::fmt;

use hmac::digest::Key;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Length of a secret.
pub const SECRET_BYTES: usize = 32;

/// Bytes of a session's tag: HMAC-SHA256 cut to 128 bits, as RFC 2104 section 5 allows.
pub(crate) const TAG_BYTES: usize = 16;

/// A random key that an issuer draws at start and that leaves it only in its sealed ledger.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret([u8; SECRET_BYTES]);

impl Secret {
    /// Wraps random bytes drawn by the caller.
    pub fn new(bytes: [u8; SECRET_BYTES]) -> Self {
        Self(bytes)
    }

    /// The bytes, for handing a sealed ledger to a peer.
    pub fn bytes(&self) -> &[u8; SECRET_BYTES] {
        &self.0
    }

    fn mac(&self, text: &str) -> Hmac<Sha256> {
        // HMAC pads shorter keys with zeros, so this is the key itself and cannot fail.
        let mut block = Key::<Hmac<Sha256>>::default();
        block[..SECRET_BYTES].copy_from_slice(&self.0);
        let mut mac = <Hmac<Sha256> as Mac>::new(&block);
        mac.update(text.as_bytes());
        mac
    }

    pub(crate) fn tag(&self, text: &str) -> [u8; TAG_BYTES] {
        let whole = self.mac(text).finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&whole[..TAG_BYTES]);
        tag
    }

    /// Whether `tag` belongs to `text`, compared in constant time.
    pub(crate) fn verifies(&self, text: &str, tag: &[u8; TAG_BYTES]) -> bool {
        self.mac(text).verify_truncated_left(tag).is_ok()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
