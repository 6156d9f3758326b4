//! Coarse rate of callers' requests at one entry.

use std::fmt;
use std::str::FromStr;

use crate::{ParseError, RequestRate};

/// Highest level: a million requests a second.
const LEVEL_MAX: u8 = 41;
/// What an error says was expected; ends with the highest level.
const EXPECTED: &str = "a load level from 1 to 41";

/// Rate of callers' requests, rounded up to a power of the square root of two.
///
/// Entries report their load to the whole fleet. The steps keep random variations of the rate from
/// being reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadLevel(u8);

impl LoadLevel {
    /// At most one request a second.
    pub const IDLE: Self = Self(1);
    /// At most eight requests a second. A rate measured over a few seconds is not known within a step
    /// below that.
    pub const FEW_REQUESTS: Self = Self(7);

    /// Creates a level from its number on the wire.
    ///
    /// # Errors
    /// Returns an error if the number is zero or above the highest level.
    pub fn new(number: u8) -> Result<Self, ParseError> {
        let is_valid = (1..=LEVEL_MAX).contains(&number);
        is_valid
            .then_some(Self(number))
            .ok_or_else(|| ParseError::new(EXPECTED, &number.to_string()))
    }

    /// Returns the lowest level whose rate is not below `rate`.
    pub fn of(rate: RequestRate) -> Self {
        let steps = (rate.per_s().max(1.0).log2() * 2.0).ceil();
        Self((steps as u8).saturating_add(1).min(LEVEL_MAX))
    }

    /// Returns the number of the level on the wire.
    pub fn number(self) -> u8 {
        self.0
    }

    /// Returns the highest rate of this level.
    pub fn rate(self) -> RequestRate {
        let per_s = 2f64.powf(f64::from(self.0 - 1) / 2.0);
        RequestRate::from_milli_per_s((per_s * 1000.0) as u64)
    }
}

impl fmt::Display for LoadLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for LoadLevel {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let number: u8 = text.parse().map_err(|_| ParseError::new(EXPECTED, text))?;
        Self::new(number)
    }
}
