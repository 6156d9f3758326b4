//! Error for invalid content of a list.

use std::error::Error;
use std::fmt;

/// Reason why a list was rejected as a whole; one invalid item is enough.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListError {
    reason: String,
}

impl ListError {
    pub(crate) fn new(reason: impl fmt::Display) -> Self {
        Self { reason: reason.to_string() }
    }
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl Error for ListError {}
