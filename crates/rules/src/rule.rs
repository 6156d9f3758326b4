//! Rules and their names.

use std::fmt;
use std::str::FromStr;

use shallotfork_types::ParseError;

use crate::{Condition, Outcome};

const MAX_NAME_CHARS: usize = 64;

/// Name of a rule, unique in its list.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RuleName(String);

impl fmt::Display for RuleName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for RuleName {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let has_valid_length = !text.is_empty() && text.chars().count() <= MAX_NAME_CHARS;
        if !has_valid_length || text.chars().any(char::is_control) {
            return Err(ParseError::new(
                "a rule name of 1 to 64 characters without control characters",
                text,
            ));
        }
        Ok(Self(text.to_owned()))
    }
}

/// A list of conditions and the outcome that applies when they all hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    /// Name of the rule.
    pub name: RuleName,
    /// Line number of the rule's section, starting at 1.
    pub line: usize,
    /// Conditions of the rule; without any, it decides every request that no rule above it decides.
    pub conditions: Vec<Condition>,
    /// Outcome for the requests that the rule decides.
    pub outcome: Outcome,
}
