//! Hysteresis of load conditions.

use std::sync::Arc;

use shallotfork_types::Permille;

use crate::rule_list::RuleList;
use crate::{Condition, Rule};

/// How far the load must move back past a bound before the condition stops holding.
///
/// Without it, a load that oscillates around a bound within milliseconds would change the deciding
/// rule from one request to the next, and each change of rule would itself move the load.
const HYSTERESIS: Permille = Permille::new(50);

/// State of the load conditions of one rule list, for one service.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LoadHysteresis {
    states: Vec<LoadConditionState>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct LoadConditionState {
    pub(crate) is_above: bool,
    pub(crate) is_below: bool,
}

impl LoadHysteresis {
    /// Creates the state for a list, with no load condition holding.
    pub fn new(list: &RuleList) -> Self {
        Self { states: vec![LoadConditionState::default(); list.rule_count()] }
    }

    pub(crate) fn observe(&mut self, rules: &[Arc<Rule>], load: Option<Permille>) {
        self.states.resize(rules.len(), LoadConditionState::default());
        for (state, rule) in self.states.iter_mut().zip(rules) {
            rule.conditions.iter().for_each(|condition| state.observe(condition, load));
        }
    }

    pub(crate) fn state_of(&self, rule_index: usize) -> LoadConditionState {
        self.states.get(rule_index).copied().unwrap_or_default()
    }
}

impl LoadConditionState {
    fn observe(&mut self, condition: &Condition, load: Option<Permille>) {
        match condition {
            Condition::LoadAbove(bound) => self.is_above = is_above(self.is_above, load, *bound),
            Condition::LoadBelow(bound) => self.is_below = is_below(self.is_below, load, *bound),
            _ => {}
        }
    }
}

fn is_above(was_met: bool, load: Option<Permille>, bound: Permille) -> bool {
    let Some(load) = load else { return false };
    let release_bound = bound.value().saturating_sub(HYSTERESIS.value());
    load > bound || (was_met && load.value() > release_bound)
}

fn is_below(was_met: bool, load: Option<Permille>, bound: Permille) -> bool {
    let Some(load) = load else { return false };
    let release_bound = bound.value().saturating_add(HYSTERESIS.value());
    load < bound || (was_met && load.value() < release_bound)
}
