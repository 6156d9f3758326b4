//! Histories of the platform.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Number of one history of the platform. It rises when the platform is restored from a copy, after
/// which it assigns revisions again that it has assigned before.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(u64);

impl Epoch {
    /// The epoch of a platform that states none.
    pub const NONE: Self = Self(0);

    /// Creates an epoch from the number stated by the platform.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the number.
    pub const fn value(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Epoch {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        text.parse().map(Self).map_err(|_| ParseError::new("an epoch number", text))
    }
}
