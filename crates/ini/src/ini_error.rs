//! The error for text that is not INI.

use std::error::Error;
use std::fmt;

/// When a line is neither a section, an entry, a comment nor empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniError {
    /// Line in the file, from 1.
    pub line: usize,
    /// What is wrong with the line.
    pub reason: String,
}

impl fmt::Display for IniError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

impl Error for IniError {}
