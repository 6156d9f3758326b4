//! What a rule applies to the requests that it decides.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use shallotfork_types::{FailureDomain, ParseError};

/// How a request is served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Failure domains whose targets are tried first, best first.
    pub prefer: Vec<FailureDomain>,
    /// Deadline of requests that name none; `None` leaves it to the settings.
    pub deadline: Option<Duration>,
    /// Further attempts after one that is proved not to have run.
    pub retries: u32,
    /// Whether an idempotent request may have a second attempt while the first one runs.
    pub hedge: bool,
    /// Who goes first when targets are busy.
    pub priority: Priority,
    /// Refusal without an attempt.
    pub refuse: Option<Refusal>,
}

impl Default for Outcome {
    fn default() -> Self {
        Self {
            prefer: Vec::new(),
            deadline: None,
            retries: DEFAULT_RETRIES,
            hedge: false,
            priority: Priority::Normal,
            refuse: None,
        }
    }
}

/// Attempts after the first one when a rule names no number.
const DEFAULT_RETRIES: u32 = 1;

/// Order among waiting requests; when not all can be served, low ones are refused first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Refused first.
    Low,
    /// The default.
    Normal,
    /// Refused last.
    High,
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Low => "low",
            Self::Normal => "normal",
            Self::High => "high",
        })
    }
}

impl FromStr for Priority {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "low" => Ok(Self::Low),
            "normal" => Ok(Self::Normal),
            "high" => Ok(Self::High),
            _ => Err(ParseError::new("low, normal or high", text)),
        }
    }
}

/// The answer to a request that is refused without an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status, 400 to 599.
    pub status: u16,
    /// When the caller may come back, if waiting helps.
    pub retry_after: Option<Duration>,
}
