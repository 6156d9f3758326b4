//! Identifiers of processes and of non-idempotent operations.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

const MAX_KEY_BYTES: usize = 128;

/// The caller's name for one non-idempotent operation, unique within its session.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(String);

impl IdempotencyKey {
    /// Checks and wraps a key.
    ///
    /// # Errors
    /// When the key is empty, over 128 bytes or has a character that is not visible ASCII.
    pub fn new(text: &str) -> Result<Self, ParseError> {
        let fits = !text.is_empty() && text.len() <= MAX_KEY_BYTES;
        if !fits || !text.chars().all(|c| c.is_ascii_graphic()) {
            return Err(ParseError::new("1 to 128 visible ASCII characters", text));
        }
        Ok(Self(text.to_owned()))
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for IdempotencyKey {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        Self::new(text)
    }
}

/// Bits of an incarnation that are drawn at random; the time in the others lasts for centuries.
const DRAWN_BITS: u32 = 20;

/// One run of a process on a VM.
///
/// A restarted process has lost its memory; its new incarnation keeps it from being taken for
/// the process that made earlier promises. Of two runs on one VM the later one is the greater, unless
/// its wall clock was set back between them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Incarnation(u64);

impl Incarnation {
    /// Wraps a number drawn by the caller.
    pub fn new(value: u64) -> Self {
        Self(value)
    }

    /// A run that starts at this wall-clock time, in Unix milliseconds; a number drawn by the caller
    /// tells two starts at the same time apart.
    pub fn from_start_time(unix_ms: u64, drawn: u64) -> Self {
        let drawn_mask = (1 << DRAWN_BITS) - 1;
        Self((unix_ms << DRAWN_BITS) | (drawn & drawn_mask))
    }

    /// The number itself, for wire formats.
    pub fn value(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let whole = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let value = u64::from_str_radix(text, 16);
        match value {
            Ok(value) if whole => Ok(Self(value)),
            _ => Err(ParseError::new("16 hexadecimal digits", text)),
        }
    }
}

impl TryFrom<String> for Incarnation {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Incarnation> for String {
    fn from(incarnation: Incarnation) -> Self {
        incarnation.to_string()
    }
}
