//! One rule.

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
        let fits = !text.is_empty() && text.chars().count() <= MAX_NAME_CHARS;
        if !fits || text.chars().any(char::is_control) {
            return Err(ParseError::new("a rule name of 1 to 64 characters", text));
        }
        Ok(Self(text.to_owned()))
    }
}

/// Conditions that must all hold, and the outcome that then applies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    /// Name of the rule.
    pub name: RuleName,
    /// Line of its section, from 1.
    pub line: usize,
    /// Conditions; a rule without any decides every request that reaches it.
    pub conditions: Vec<Condition>,
    /// What applies.
    pub outcome: Outcome,
}
