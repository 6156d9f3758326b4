//! Points in the platform's changes.

use std::fmt;
use std::str::FromStr;

use crate::{Epoch, ParseError, Revision};

/// Point in the platform's changes: a revision, and the epoch in which it was assigned. Ordered by
/// epoch first.
///
/// A platform that is restored from a copy assigns revisions again, so a revision alone says nothing
/// about which of two changes is later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Position {
    epoch: Epoch,
    revision: Revision,
}

impl Position {
    /// The position before any change.
    pub const NONE: Self = Self::new(Epoch::NONE, Revision::NONE);

    /// Creates the position of a revision in an epoch.
    pub const fn new(epoch: Epoch, revision: Revision) -> Self {
        Self { epoch, revision }
    }

    /// Returns the epoch.
    pub const fn epoch(self) -> Epoch {
        self.epoch
    }

    /// Returns the revision.
    pub const fn revision(self) -> Revision {
        self.revision
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.epoch, self.revision)
    }
}

impl FromStr for Position {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let parse_error = || ParseError::new("an epoch and a revision as in 2/41", text);
        let (epoch, revision) = text.split_once('/').ok_or_else(parse_error)?;
        let epoch = epoch.parse().map_err(|_| parse_error())?;
        let revision = revision.parse().map_err(|_| parse_error())?;
        Ok(Self::new(epoch, revision))
    }
}
