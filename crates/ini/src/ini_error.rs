//! Error for a line that is not valid INI.

use std::error::Error;
use std::fmt;

/// A line that is not valid INI, or an entry before the first section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniError {
    /// Line number in the text, starting at 1.
    pub line: usize,
    /// Why the line is invalid.
    pub reason: String,
}

impl fmt::Display for IniError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

impl Error for IniError {}
