//! Error for an invalid rule list.

use std::error::Error;
use std::fmt;

use shallotfork_ini::IniError;

/// A fault in a rule list, which is then rejected as a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleError {
    /// Line number in the text, starting at 1.
    pub line: usize,
    /// Name of the rule; empty if the error is outside any rule.
    pub rule: String,
    /// Key; empty if the error does not concern a single key.
    pub key: String,
    /// Description of the fault.
    pub reason: String,
}

impl RuleError {
    pub(crate) fn new(line: usize, rule: &str, key: &str, reason: impl fmt::Display) -> Self {
        Self { line, rule: rule.into(), key: key.into(), reason: reason.to_string() }
    }
}

impl From<IniError> for RuleError {
    fn from(error: IniError) -> Self {
        Self::new(error.line, "", "", error.reason)
    }
}

impl fmt::Display for RuleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: ", self.line)?;
        if !self.rule.is_empty() {
            write!(f, "[{}] ", self.rule)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.reason)
    }
}

impl Error for RuleError {}
