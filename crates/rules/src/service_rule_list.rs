//! Rules of one service, which are evaluated before the general list.

use std::sync::Arc;

use crate::parser;
use crate::{Rule, RuleError};

/// A valid list of rules for one service.
///
/// A fleet with many services publishes one list per service, so that changing a service's rules
/// republishes only these.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ServiceRuleList {
    rules: Vec<Arc<Rule>>,
}

impl ServiceRuleList {
    /// Parses the rules from INI text.
    ///
    /// # Errors
    /// Returns all errors found, ordered by line. `when.service` is an error, since the list's name
    /// gives the service.
    pub fn parse(text: &str) -> Result<Self, Vec<RuleError>> {
        parser::parse_service_list(text)
    }

    pub(crate) fn new(rules: Vec<Arc<Rule>>) -> Self {
        Self { rules }
    }

    /// Returns the number of rules.
    pub fn rule_count(&self) -> usize {
        self.rules.len()
    }

    /// Returns the rules in order.
    pub(crate) fn rules(&self) -> &[Arc<Rule>] {
        &self.rules
    }
}
