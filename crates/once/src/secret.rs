//! Secret with which an issuer signs its sessions.

use std::fmt;

use hmac::digest::Key;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Length of a secret in bytes.
pub const SECRET_BYTES: usize = 32;

/// Length of a session's tag in bytes: HMAC-SHA256 truncated to 128 bits, as RFC 2104 section 5 allows.
pub(crate) const TAG_BYTES: usize = 16;

/// Random key generated when an issuer starts; it leaves the issuer only as part of the sealed ledger.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret([u8; SECRET_BYTES]);

impl Secret {
    /// Creates a secret from random bytes.
    pub fn new(bytes: [u8; SECRET_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes, for transferring a sealed ledger to a peer.
    pub fn bytes(&self) -> &[u8; SECRET_BYTES] {
        &self.0
    }

    fn mac(&self, text: &str) -> Hmac<Sha256> {
        // HMAC pads keys shorter than the block with zeros, so this block is equivalent to the key.
        // A key of exactly the block size cannot be rejected.
        let mut block = Key::<Hmac<Sha256>>::default();
        block[..SECRET_BYTES].copy_from_slice(&self.0);
        let mut mac = <Hmac<Sha256> as Mac>::new(&block);
        mac.update(text.as_bytes());
        mac
    }

    pub(crate) fn tag(&self, text: &str) -> [u8; TAG_BYTES] {
        let full_tag = self.mac(text).finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full_tag[..TAG_BYTES]);
        tag
    }

    /// Returns whether `tag` is the tag of `text`, comparing in constant time.
    pub(crate) fn verifies(&self, text: &str, tag: &[u8; TAG_BYTES]) -> bool {
        self.mac(text).verify_truncated_left(tag).is_ok()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
