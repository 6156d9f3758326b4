//! Identifiers of non-idempotent operations and of process incarnations.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

const MAX_KEY_BYTES: usize = 128;

/// Key that a caller chooses for one non-idempotent operation, unique within the session.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(String);

impl IdempotencyKey {
    /// Validates a key.
    ///
    /// # Errors
    /// Returns an error if the key is empty, longer than 128 bytes or contains a character that is not
    /// visible ASCII.
    pub fn new(text: &str) -> Result<Self, ParseError> {
        let fits = !text.is_empty() && text.len() <= MAX_KEY_BYTES;
        if !fits || !text.chars().all(|c| c.is_ascii_graphic()) {
            return Err(ParseError::new("1 to 128 visible ASCII characters", text));
        }
        Ok(Self(text.to_owned()))
    }

    /// Returns the key as text.
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

/// Number of random low bits of an incarnation. The remaining bits hold the start time and overflow only
/// after centuries.
const RANDOM_BITS: u32 = 20;

/// Identifier of one run of a process on a VM.
///
/// A restarted process has lost its state; its new incarnation distinguishes it from the process that
/// made earlier commitments. Of two runs on one VM, the later one has the greater incarnation unless
/// the wall clock was set back between them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates an incarnation from its number.
    pub fn new(value: u64) -> Self {
        Self(value)
    }

    /// Creates the incarnation of a process that starts at this wall-clock time, in Unix milliseconds.
    /// The random number distinguishes two starts at the same time.
    pub fn from_start_time(unix_ms: u64, random: u64) -> Self {
        let random_mask = (1 << RANDOM_BITS) - 1;
        Self((unix_ms << RANDOM_BITS) | (random & random_mask))
    }

    /// Returns the number, for wire formats.
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
        let is_well_formed = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let value = u64::from_str_radix(text, 16);
        match value {
            Ok(value) if is_well_formed => Ok(Self(value)),
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
