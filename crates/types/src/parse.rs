//! Error of the `FromStr` implementations.

use std::error::Error;
use std::fmt;

/// A text is not a valid value of a type.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    expected: String,
    found: String,
}

impl ParseError {
    /// Creates an error for the input `found`; `expected` is a short description such as "a whole number".
    pub fn new(expected: &str, found: &str) -> Self {
        let mut shown: String = found.chars().take(MAX_SHOWN_CHARS).collect();
        if shown.len() < found.len() {
            shown.push('…');
        }
        Self { expected: expected.to_owned(), found: shown }
    }
}

/// Longer input is truncated in messages, so that hostile input cannot flood the log.
const MAX_SHOWN_CHARS: usize = 64;

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected {}, found {:?}", self.expected, self.found)
    }
}

impl Error for ParseError {}
