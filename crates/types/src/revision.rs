//! Revisions of published lists.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Number that the platform assigns to one version of a published list; a higher revision is newer.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(u64);

impl Revision {
    /// The revision before any list was published.
    pub const NONE: Self = Self(0);

    /// Creates a revision from the number assigned by the platform.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the number.
    pub const fn value(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Revision {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        text.parse().map(Self).map_err(|_| ParseError::new("a revision number", text))
    }
}
