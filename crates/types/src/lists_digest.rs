//! Fingerprint of a set of lists.

use std::fmt;

/// The sum of one number per list in force, drawn from its name, revision and content.
///
/// A sum can follow each change without reading the other lists again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct ListsDigest(u64);

impl ListsDigest {
    /// Wraps the number, as a peer sent it.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// The number itself, for wire formats.
    pub const fn value(self) -> u64 {
        self.0
    }

    /// The digest with one more list.
    #[must_use]
    pub fn with_list(self, number: u64) -> Self {
        Self(self.0.wrapping_add(number))
    }

    /// The digest with one list less.
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
