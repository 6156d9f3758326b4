//! Digest of a set of lists.

use std::fmt;

/// Digest of the lists in force: the wrapping sum of one number per list, which is derived from its
/// name, revision and content.
///
/// A sum can be updated for a changed list without reading the other lists again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct ListsDigest(u64);

impl ListsDigest {
    /// Creates a digest from its number, as received from a peer.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the number, for wire formats.
    pub const fn value(self) -> u64 {
        self.0
    }

    /// Returns the digest with a list added; `number` is derived from that list.
    #[must_use]
    pub fn with_list(self, number: u64) -> Self {
        Self(self.0.wrapping_add(number))
    }

    /// Returns the digest with a list removed; `number` is derived from that list.
    #[must_use]
    pub fn without_list(self, number: u64) -> Self {
        Self(self.0.wrapping_sub(number))
    }
}

impl fmt::Display for ListsDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
