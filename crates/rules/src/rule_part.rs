//! Rules of one service, which go before the general list.

use std::sync::Arc;

use crate::parser;
use crate::{Rule, RuleError};

/// A checked list of rules for one service.
///
/// A fleet with many services publishes a list for each, so that a change is as large as the
/// service's own rules and no larger.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ServiceRuleList {
    rules: Vec<Arc<Rule>>,
}

impl ServiceRuleList {
    /// Reads the rules from INI text.
    ///
    /// # Errors
    /// Everything that is wrong, in the order of the text; `when.service` is, since the service is
    /// given by the list's name.
    pub fn parse(text: &str) -> Result<Self, Vec<RuleError>> {
        parser::parse_part(text)
    }

    pub(crate) fn new(rules: Vec<Arc<Rule>>) -> Self {
        Self { rules }
    }

    /// Number of rules.
    pub fn rule_count(&self) -> usize {
        self.rules.len()
    }

    /// The rules in order.
    pub(crate) fn rules(&self) -> &[Arc<Rule>] {
        &self.rules
    }
}
