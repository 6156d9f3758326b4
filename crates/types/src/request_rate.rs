//! Request rates with a fractional part.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::{ParseError, Permille};

const MILLI: u64 = 1000;
/// Higher rates are clamped to this value when parsed.
const RATE_MAX_PER_S: f64 = 1e9;

/// A request rate with a resolution of one thousandth of a request per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct RequestRate {
    milli_per_s: u64,
}

impl RequestRate {
    /// The rate that allows no requests.
    pub const ZERO: Self = Self { milli_per_s: 0 };

    /// Creates a rate from thousandths of a request per second.
    pub const fn from_milli_per_s(milli_per_s: u64) -> Self {
        Self { milli_per_s }
    }

    /// Returns the rate in thousandths of a request per second.
    pub const fn milli_per_s(self) -> u64 {
        self.milli_per_s
    }

    /// Returns the rate in requests per second.
    pub fn per_s(self) -> f64 {
        self.milli_per_s as f64 / MILLI as f64
    }

    /// Returns the rate in requests per second, rounded down.
    pub fn whole_per_s(self) -> u64 {
        self.milli_per_s / MILLI
    }

    /// Returns the rate divided by `divisor`, rounded down; zero counts as one.
    #[must_use]
    pub fn divided_by(self, divisor: usize) -> Self {
        Self { milli_per_s: self.milli_per_s / (divisor.max(1) as u64) }
    }

    /// Returns this share of the rate, rounded down.
    #[must_use]
    pub fn share(self, share: Permille) -> Self {
        Self { milli_per_s: share.of(self.milli_per_s) }
    }

    /// Returns the interval between successive requests; `None` if the rate is zero.
    pub fn interval(self) -> Option<Duration> {
        (self.milli_per_s > 0).then(|| Duration::from_secs(MILLI) / self.saturating_milli_per_s())
    }

    fn saturating_milli_per_s(self) -> u32 {
        u32::try_from(self.milli_per_s).unwrap_or(u32::MAX)
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_s())
    }
}

impl FromStr for RequestRate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseError::new("a non-negative decimal number", text);
        let per_s: f64 = text.trim().parse().map_err(|_| error())?;
        if !per_s.is_finite() || per_s < 0.0 {
            return Err(error());
        }
        let milli_per_s = (per_s.min(RATE_MAX_PER_S) * MILLI as f64) as u64;
        Ok(Self { milli_per_s })
    }
}
