//! Index of rules by service.

use std::collections::HashMap;
use std::sync::Arc;

use shallotfork_types::ServiceName;

use crate::{Condition, Rule, RuleList, ServiceRuleList};

/// Index of the rules of a general list by the services in their conditions.
///
/// A decision evaluates rules in order, so its time grows with their number. Rules for other
/// services can never decide a request, so leaving them out changes no decision.
#[derive(Debug)]
pub struct ServiceIndex {
    /// Rules without a service condition, in order, each with its position in the list.
    any_service: Vec<(usize, Arc<Rule>)>,
    by_service: HashMap<ServiceName, Vec<(usize, Arc<Rule>)>>,
    fallback: Arc<Rule>,
}

impl ServiceIndex {
    /// Indexes the rules of a list.
    pub fn new(list: &RuleList) -> Self {
        let mut index = Self {
            any_service: Vec::new(),
            by_service: HashMap::new(),
            fallback: Arc::clone(list.fallback()),
        };
        for (position, rule) in list.conditional().iter().enumerate() {
            index.add(position, rule);
        }
        index
    }

    fn add(&mut self, position: usize, rule: &Arc<Rule>) {
        let Some(services) = service_condition(rule) else {
            self.any_service.push((position, Arc::clone(rule)));
            return;
        };
        for service in services {
            let rules = self.by_service.entry(service.clone()).or_default();
            let is_duplicate = rules.last().is_some_and(|(last, _)| *last == position);
            if !is_duplicate {
                rules.push((position, Arc::clone(rule)));
            }
        }
    }

    /// Returns the list that decides requests of a service: its own rules, then the general ones.
    pub fn rules_for(
        &self,
        service: &ServiceName,
        service_list: Option<&ServiceRuleList>,
    ) -> RuleList {
        let mut rules: Vec<Arc<Rule>> =
            service_list.map_or(Vec::new(), |list| list.rules().to_vec());
        if let Some(fallback) = rules.pop_if(|rule| rule.conditions.is_empty()) {
            return RuleList::new(rules, fallback);
        }
        let empty = Vec::new();
        let service_rules = self.by_service.get(service).unwrap_or(&empty);
        rules.extend(merge_by_position(&self.any_service, service_rules));
        RuleList::new(rules, Arc::clone(&self.fallback))
    }
}

fn service_condition(rule: &Rule) -> Option<&Vec<ServiceName>> {
    rule.conditions.iter().find_map(|condition| match condition {
        Condition::Service(services) => Some(services),
        _ => None,
    })
}

/// Merges two lists of rules in the order of their positions.
fn merge_by_position(left: &[(usize, Arc<Rule>)], right: &[(usize, Arc<Rule>)]) -> Vec<Arc<Rule>> {
    let mut merged: Vec<&(usize, Arc<Rule>)> = left.iter().chain(right).collect();
    merged.sort_by_key(|(position, _)| *position);
    merged.into_iter().map(|(_, rule)| Arc::clone(rule)).collect()
}
