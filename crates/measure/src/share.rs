//! The fixed part of a fleet-wide budget that one process may spend.

use std::error::Error;
use std::fmt;

/// One process's place among all that share a budget, from its settings.
///
/// `count` is the largest number of processes that ever run at once, replacements included. It
/// must be the same in all of them, and no two live processes may have the same `index`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetShare {
    index: u32,
    count: u32,
}

impl FleetShare {
    /// Checks and wraps a share.
    ///
    /// # Errors
    /// When `index` is not below `count`.
    pub fn new(index: u32, count: u32) -> Result<Self, FleetShareError> {
        if index >= count {
            return Err(FleetShareError { index, count });
        }
        Ok(Self { index, count })
    }

    /// This process's number, from zero.
    pub fn index(self) -> u32 {
        self.index
    }

    /// How many shares there are.
    pub fn count(self) -> u32 {
        self.count
    }
}

/// When a share's index is not below the number of shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetShareError {
    index: u32,
    count: u32,
}

impl fmt::Display for FleetShareError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "share {} is not below the number of shares, {}", self.index, self.count)
    }
}

impl Error for FleetShareError {}
