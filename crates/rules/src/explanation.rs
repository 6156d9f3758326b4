//! Why a rule decided.

use std::fmt;

use crate::{Outcome, RuleName};

/// A condition that did not hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnmetCondition {
    /// Key of the condition.
    pub key: String,
    /// What it asks for.
    pub wanted: String,
    /// What the request had.
    pub found: String,
}

/// What became of one rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleTrace {
    /// The rule.
    pub name: RuleName,
    /// Line of its section.
    pub line: usize,
    /// Conditions that did not hold; empty for the rule that decides.
    pub unmet: Vec<UnmetCondition>,
}

/// Each rule in turn, down to the one that decides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// Rules in order; the last one decides.
    pub rules: Vec<RuleTrace>,
    /// The rule that decides.
    pub deciding_rule: RuleName,
    /// What applies.
    pub outcome: Outcome,
}

impl fmt::Display for UnmetCondition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is {}, found {}", self.key, self.wanted, self.found)
    }
}

impl fmt::Display for RuleTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {} [{}]: ", self.line, self.name)?;
        if self.unmet.is_empty() {
            return f.write_str("decides");
        }
        let unmet: Vec<String> = self.unmet.iter().map(UnmetCondition::to_string).collect();
        write!(f, "no: {}", unmet.join("; "))
    }
}
