//! Sizes in bytes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;

/// A size in bytes; its text form may have the suffix `KiB` or `MiB`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Bytes(u64);

impl Bytes {
    /// Creates a size from a number of bytes.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Creates a size from a number of kibibytes.
    pub const fn from_kib(value: u64) -> Self {
        Self(value * KIB)
    }

    /// Creates a size from a number of mebibytes.
    pub const fn from_mib(value: u64) -> Self {
        Self(value * MIB)
    }

    /// Returns the number of bytes.
    pub const fn value(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n >= MIB && n % MIB == 0 => write!(f, "{}MiB", n / MIB),
            n if n >= KIB && n % KIB == 0 => write!(f, "{}KiB", n / KIB),
            n => write!(f, "{n}"),
        }
    }
}

impl FromStr for Bytes {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (digits, unit) = split_unit(text);
        let count: u64 = digits.parse().map_err(|_| size_error(text))?;
        count.checked_mul(unit).map(Self).ok_or_else(|| size_error(text))
    }
}

fn split_unit(text: &str) -> (&str, u64) {
    if let Some(digits) = text.strip_suffix("KiB") {
        return (digits, KIB);
    }
    if let Some(digits) = text.strip_suffix("MiB") {
        return (digits, MIB);
    }
    (text, 1)
}

fn size_error(found: &str) -> ParseError {
    ParseError::new("a size such as 4096, 64KiB or 8MiB", found)
}
