//! Outcomes of rules.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use shallotfork_types::{FailureDomain, ParseError};

/// How to serve a request that a rule decides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Failure domains whose targets are tried first, in descending order of preference.
    pub prefer: Vec<FailureDomain>,
    /// Deadline of requests that state none; `None` applies the default of the settings.
    pub deadline: Option<Duration>,
    /// Maximum number of further attempts after one that is proved not to have run.
    pub retries: u32,
    /// Whether an idempotent request may get a second attempt while the first one runs.
    pub hedge: bool,
    /// Priority among waiting requests while targets are busy.
    pub priority: Priority,
    /// Response that rejects the request without an attempt.
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

/// Number of attempts after the first one, for rules without `then.retries`.
const DEFAULT_RETRIES: u32 = 1;

/// Priority of a waiting request; when not all can be served, those of low priority are shed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Shed first.
    Low,
    /// The default.
    Normal,
    /// Shed last.
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

/// The response to a request that a rule rejects without an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status, 400 to 599.
    pub status: u16,
    /// Time after which the caller may retry; `None` if waiting does not help.
    pub retry_after: Option<Duration>,
}
