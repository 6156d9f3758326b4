//! Hysteresis of load conditions.

use std::sync::Arc;

use shallotfork_types::Permille;

use crate::rule_list::RuleList;
use crate::{Condition, Rule};

/// How far the load must come back over a bound before the condition lets go.
///
/// Without it a load that swings around a bound within milliseconds would change the deciding rule
/// from one request to the next, and the change of rule would itself swing the load.
const BAND: Permille = Permille::new(50);

/// Remembers which load conditions of one list hold, for one service.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LoadHysteresis {
    rules: Vec<Latch>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Latch {
    pub(crate) above: bool,
    pub(crate) below: bool,
}

impl LoadHysteresis {
    /// LoadHysteresis for a list, with no load condition holding.
    pub fn new(list: &RuleList) -> Self {
        Self { rules: vec![Latch::default(); list.rule_count()] }
    }

    pub(crate) fn observe(&mut self, rules: &[Arc<Rule>], load: Option<Permille>) {
        self.rules.resize(rules.len(), Latch::default());
        for (latch, rule) in self.rules.iter_mut().zip(rules) {
            rule.conditions.iter().for_each(|condition| latch.observe(condition, load));
        }
    }

    pub(crate) fn of(&self, rule: usize) -> Latch {
        self.rules.get(rule).copied().unwrap_or_default()
    }
}

impl Latch {
    fn observe(&mut self, condition: &Condition, load: Option<Permille>) {
        match condition {
            Condition::LoadAbove(bound) => self.above = is_above(self.above, load, *bound),
            Condition::LoadBelow(bound) => self.below = is_below(self.below, load, *bound),
            _ => {}
        }
    }
}

fn is_above(held: bool, load: Option<Permille>, bound: Permille) -> bool {
    let Some(load) = load else { return false };
    let release = bound.value().saturating_sub(BAND.value());
    load > bound || (held && load.value() > release)
}

fn is_below(held: bool, load: Option<Permille>, bound: Permille) -> bool {
    let Some(load) = load else { return false };
    let release = bound.value().saturating_add(BAND.value());
    load < bound || (held && load.value() < release)
}
