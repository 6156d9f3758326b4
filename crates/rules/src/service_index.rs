//! The rules that can decide requests of one service.

use std::collections::HashMap;
use std::sync::Arc;

use shallotfork_types::ServiceName;

use crate::{Condition, Rule, RuleList, ServiceRuleList};

/// The rules of a general list by the service that they name.
///
/// A decision goes through the rules in order, so its time grows with their number. Rules that name
/// other services cannot decide, and leaving them out changes no decision.
#[derive(Debug)]
pub struct ServiceIndex {
    /// Rules in order, each with its place in the list.
    any_service: Vec<(usize, Arc<Rule>)>,
    by_service: HashMap<ServiceName, Vec<(usize, Arc<Rule>)>>,
    fallback: Arc<Rule>,
}

impl ServiceIndex {
    /// Sorts the rules of a list.
    pub fn new(list: &RuleList) -> Self {
        let mut index = Self {
            any_service: Vec::new(),
            by_service: HashMap::new(),
            fallback: Arc::clone(list.fallback()),
        };
        for (place, rule) in list.conditional().iter().enumerate() {
            index.add(place, rule);
        }
        index
    }

    fn add(&mut self, place: usize, rule: &Arc<Rule>) {
        let Some(services) = named_services(rule) else {
            self.any_service.push((place, Arc::clone(rule)));
            return;
        };
        for service in services {
            let rules = self.by_service.entry(service.clone()).or_default();
            let known = rules.last().is_some_and(|(last, _)| *last == place);
            if !known {
                rules.push((place, Arc::clone(rule)));
            }
        }
    }

    /// The list that decides requests of a service: its own part first, then the general rules.
    pub fn rules_for(&self, service: &ServiceName, part: Option<&ServiceRuleList>) -> RuleList {
        let mut rules: Vec<Arc<Rule>> = part.map_or(Vec::new(), |part| part.rules().to_vec());
        if let Some(fallback) = rules.pop_if(|rule| rule.conditions.is_empty()) {
            return RuleList::new(rules, fallback);
        }
        let empty = Vec::new();
        let own = self.by_service.get(service).unwrap_or(&empty);
        rules.extend(in_order(&self.any_service, own));
        RuleList::new(rules, Arc::clone(&self.fallback))
    }
}

fn named_services(rule: &Rule) -> Option<&Vec<ServiceName>> {
    rule.conditions.iter().find_map(|condition| match condition {
        Condition::Service(services) => Some(services),
        _ => None,
    })
}

/// The rules of both, in the order of their places.
fn in_order(left: &[(usize, Arc<Rule>)], right: &[(usize, Arc<Rule>)]) -> Vec<Arc<Rule>> {
    let mut both: Vec<&(usize, Arc<Rule>)> = left.iter().chain(right).collect();
    both.sort_by_key(|(place, _)| *place);
    both.into_iter().map(|(_, rule)| Arc::clone(rule)).collect()
}
