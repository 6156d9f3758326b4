//! Rule lists and their decisions.

use std::sync::Arc;

use crate::parser;
use crate::{
    Explanation, LoadHysteresis, Outcome, RequestContext, Rule, RuleError, RuleName, RuleTrace,
};

/// A valid rule list: rules with conditions, followed by a fallback rule without any.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleList {
    conditional: Vec<Arc<Rule>>,
    fallback: Arc<Rule>,
}

/// The rule that decides a request, and its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RuleDecision<'a> {
    /// Name of the rule.
    pub rule_name: &'a RuleName,
    /// Outcome of the rule.
    pub outcome: &'a Outcome,
}

impl RuleList {
    /// Parses a list from INI text.
    ///
    /// # Errors
    /// Returns all errors found, ordered by line.
    pub fn parse(text: &str) -> Result<Self, Vec<RuleError>> {
        parser::parse(text)
    }

    /// Returns every key that a rule may have, in the order of the documentation.
    pub fn keys() -> impl Iterator<Item = &'static str> {
        parser::keys()
    }

    pub(crate) fn new(conditional: Vec<Arc<Rule>>, fallback: Arc<Rule>) -> Self {
        Self { conditional, fallback }
    }

    /// Returns the number of rules, including the fallback rule.
    pub fn rule_count(&self) -> usize {
        self.conditional.len() + 1
    }

    /// Returns every rule in order, the fallback rule last.
    pub fn rules(&self) -> impl Iterator<Item = &Rule> {
        self.conditional.iter().chain([&self.fallback]).map(Arc::as_ref)
    }

    pub(crate) fn conditional(&self) -> &[Arc<Rule>] {
        &self.conditional
    }

    pub(crate) fn fallback(&self) -> &Arc<Rule> {
        &self.fallback
    }

    /// Returns the first rule whose conditions all hold.
    ///
    /// `load_hysteresis` must belong to this list and to the request's service; it is updated with
    /// the load before the rules are evaluated.
    pub fn decide(
        &self,
        request: &RequestContext,
        load_hysteresis: &mut LoadHysteresis,
    ) -> RuleDecision<'_> {
        load_hysteresis.observe(&self.conditional, request.load);
        let matches = |(index, rule): &(usize, &Arc<Rule>)| {
            let load_state = load_hysteresis.state_of(*index);
            rule.conditions.iter().all(|condition| condition.holds(request, load_state))
        };
        let matched = self.conditional.iter().enumerate().find(matches);
        let rule = matched.map_or(&self.fallback, |(_, rule)| rule);
        RuleDecision { rule_name: &rule.name, outcome: &rule.outcome }
    }

    /// Evaluates the rules as [`Self::decide`] does and returns the unmet conditions of each rule,
    /// up to the deciding one.
    pub fn explain(
        &self,
        request: &RequestContext,
        load_hysteresis: &mut LoadHysteresis,
    ) -> Explanation {
        load_hysteresis.observe(&self.conditional, request.load);
        let mut rules = Vec::new();
        for (index, rule) in self.rules().enumerate() {
            let load_state = load_hysteresis.state_of(index);
            let unmet =
                rule.conditions.iter().filter(|condition| !condition.holds(request, load_state));
            let unmet: Vec<_> = unmet.map(|condition| condition.unmet(request)).collect();
            let decides = unmet.is_empty();
            rules.push(RuleTrace { name: rule.name.clone(), line: rule.line, unmet });
            if decides {
                return explanation(rules, rule);
            }
        }
        explanation(rules, &self.fallback)
    }
}

fn explanation(rules: Vec<RuleTrace>, deciding_rule: &Rule) -> Explanation {
    Explanation {
        rules,
        deciding_rule: deciding_rule.name.clone(),
        outcome: deciding_rule.outcome.clone(),
    }
}
