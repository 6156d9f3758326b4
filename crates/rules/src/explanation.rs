//! Explanation of a rule decision.

use std::fmt;

use crate::{Outcome, RuleName};

/// A condition that did not hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnmetCondition {
    /// Key that states the condition.
    pub key: String,
    /// Values that the condition requires.
    pub wanted: String,
    /// Actual value of the request.
    pub found: String,
}

/// The evaluation of one rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleTrace {
    /// Name of the rule.
    pub name: RuleName,
    /// Line number of the rule's section, starting at 1.
    pub line: usize,
    /// Conditions that did not hold; empty for the rule that decides.
    pub unmet: Vec<UnmetCondition>,
}

/// The evaluation of each rule, up to the one that decides the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// Evaluated rules in the order of the list; the last one decides.
    pub rules: Vec<RuleTrace>,
    /// Name of the rule that decides.
    pub deciding_rule: RuleName,
    /// Outcome of the deciding rule.
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
