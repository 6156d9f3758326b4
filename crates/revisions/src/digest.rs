//! Digests of contents.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest as _, Sha256};
use shallotfork_types::ParseError;

const DIGEST_BYTES: usize = 32;

/// SHA-256 of a list's content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Computes the digest of `content`.
    pub fn of(content: &[u8]) -> Self {
        Self(Sha256::digest(content).into())
    }

    /// Creates a digest from bytes sent by a peer.
    pub fn new(bytes: [u8; DIGEST_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes, for wire formats.
    pub fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Digest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let parse_error = || ParseError::new("64 hexadecimal digits", text);
        let is_valid =
            text.len() == DIGEST_BYTES * 2 && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_valid {
            return Err(parse_error());
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| parse_error())?;
        }
        Ok(Self(bytes))
    }
}
