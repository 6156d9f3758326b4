//! The fixed share of a fleet-wide budget that one process may use.

use std::error::Error;
use std::fmt;

/// Share of one process in all fleet-wide budgets, from its settings.
///
/// `count` is the maximum number of processes that run concurrently, including replacements. It
/// must be the same for all processes, and no two live processes may have the same `index`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetShare {
    index: u32,
    count: u32,
}

impl FleetShare {
    /// Creates a share.
    ///
    /// # Errors
    /// Returns an error if `index` is not below `count`.
    pub fn new(index: u32, count: u32) -> Result<Self, FleetShareError> {
        if index >= count {
            return Err(FleetShareError { index, count });
        }
        Ok(Self { index, count })
    }

    /// Returns the zero-based index of this process.
    pub fn index(self) -> u32 {
        self.index
    }

    /// Returns the number of shares.
    pub fn count(self) -> u32 {
        self.count
    }
}

/// Error for a share whose index is not below the number of shares.
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
