//! Verdict on whether a request ran at a target.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Whether a failed request may have run.
///
/// `NotRun` requires proof that no target has started the request or will start it. Without proof the
/// verdict is `MayHaveRun`: a timeout, or a connection reset after the first byte, proves nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No target ran the request and none will.
    NotRun,
    /// A target may have run the request, or may still run it.
    MayHaveRun,
    /// A target ran the request.
    Ran,
}

impl Verdict {
    /// Returns the text used in headers and messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Verdict {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            "ran" => Ok(Self::Ran),
            _ => Err(ParseError::new("not-run, may-have-run or ran", text)),
        }
    }
}
