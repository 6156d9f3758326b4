//! Rates, shares and processor capacity.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Bytes, ParseError};

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $unit:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u32);

        impl $name {
            /// Creates a value from a number of this unit.
            pub const fn new(value: u32) -> Self {
                Self(value)
            }

            /// Returns the number.
            pub const fn value(self) -> u32 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                let digits = text.strip_suffix($unit).unwrap_or(text);
                let value = digits.parse().map_err(|_| ParseError::new("a whole number", text))?;
                Ok(Self(value))
            }
        }
    };
}

number_type! {
    /// A share in thousandths.
    Permille, "‰"
}
number_type! {
    /// A share in millionths.
    PartsPerMillion, "ppm"
}
number_type! {
    /// A rate in events per second.
    PerSecond, "/s"
}
number_type! {
    /// An amount of processor capacity in thousandths of a core.
    Millicores, "m"
}

number_type! {
    /// A data rate in bytes per second.
    BytesPerSecond, "B/s"
}

impl Permille {
    /// Returns this share of `whole`, rounded down.
    pub fn of(self, whole: u64) -> u64 {
        whole.saturating_mul(u64::from(self.0)) / 1000
    }
}

impl BytesPerSecond {
    /// Returns this share of the rate, rounded down.
    #[must_use]
    pub fn share(self, share: Permille) -> Self {
        Self(u32::try_from(share.of(u64::from(self.0))).unwrap_or(u32::MAX))
    }

    /// Returns the time to transmit `bytes` at this rate; [`Duration::MAX`] if the rate is zero.
    pub fn time_for(self, bytes: Bytes) -> Duration {
        if self.0 == 0 {
            return Duration::MAX;
        }
        Duration::from_secs_f64(bytes.value() as f64 / f64::from(self.0))
    }
}

impl PerSecond {
    /// Returns the time between two events at this rate; `None` if the rate is zero.
    pub fn spacing(self) -> Option<Duration> {
        if self.0 == 0 {
            return None;
        }
        Some(Duration::from_secs(1) / self.0)
    }
}
