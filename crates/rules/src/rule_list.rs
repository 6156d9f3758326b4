//! The rules in order.

use std::sync::Arc;

use crate::parser;
use crate::{
    Explanation, LoadHysteresis, Outcome, RequestContext, Rule, RuleError, RuleName, RuleTrace,
};

/// A checked list: rules with conditions, then one without that decides whatever reaches it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleList {
    conditional: Vec<Arc<Rule>>,
    fallback: Arc<Rule>,
}

/// Which rule decides a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RuleDecision<'a> {
    /// Name of the rule.
    pub rule_name: &'a RuleName,
    /// What applies.
    pub outcome: &'a Outcome,
}

impl RuleList {
    /// Reads a list from INI text.
    ///
    /// # Errors
    /// Everything that is wrong, in the order of the text.
    pub fn parse(text: &str) -> Result<Self, Vec<RuleError>> {
        parser::parse(text)
    }

    /// Every key that a rule may have, in the order of the documentation.
    pub fn keys() -> impl Iterator<Item = &'static str> {
        parser::keys()
    }

    pub(crate) fn new(conditional: Vec<Arc<Rule>>, fallback: Arc<Rule>) -> Self {
        Self { conditional, fallback }
    }

    /// Number of rules.
    pub fn rule_count(&self) -> usize {
        self.conditional.len() + 1
    }

    /// Every rule in order.
    pub fn rules(&self) -> impl Iterator<Item = &Rule> {
        self.conditional.iter().chain([&self.fallback]).map(Arc::as_ref)
    }

    pub(crate) fn conditional(&self) -> &[Arc<Rule>] {
        &self.conditional
    }

    pub(crate) fn fallback(&self) -> &Arc<Rule> {
        &self.fallback
    }

    /// The first rule whose conditions all hold.
    ///
    /// `latches` belong to this list and to the request's service; they take in the load first.
    pub fn decide(
        &self,
        described: &RequestContext,
        latches: &mut LoadHysteresis,
    ) -> RuleDecision<'_> {
        latches.observe(&self.conditional, described.load);
        let decides = |(index, rule): &(usize, &Arc<Rule>)| {
            let latch = latches.of(*index);
            rule.conditions.iter().all(|condition| condition.holds(described, latch))
        };
        let found = self.conditional.iter().enumerate().find(decides);
        let rule = found.map_or(&self.fallback, |(_, rule)| rule);
        RuleDecision { rule_name: &rule.name, outcome: &rule.outcome }
    }

    /// Each rule in turn, which of its conditions do not hold, and which rule decides.
    pub fn explain(&self, described: &RequestContext, latches: &mut LoadHysteresis) -> Explanation {
        latches.observe(&self.conditional, described.load);
        let mut rules = Vec::new();
        for (index, rule) in self.rules().enumerate() {
            let latch = latches.of(index);
            let failed = rule.conditions.iter().filter(|c| !c.holds(described, latch));
            let unmet: Vec<_> = failed.map(|condition| condition.unmet(described)).collect();
            let decides = unmet.is_empty();
            rules.push(RuleTrace { name: rule.name.clone(), line: rule.line, unmet });
            if decides {
                return explanation(rules, rule);
            }
        }
        explanation(rules, &self.fallback)
    }
}

fn explanation(rules: Vec<RuleTrace>, decider: &Rule) -> Explanation {
    Explanation { rules, deciding_rule: decider.name.clone(), outcome: decider.outcome.clone() }
}
