//! The rule list: which outcome applies to which request.
//!
//! Rules stand in order and the first whose conditions all hold decides. Parsing is deterministic:
//! the same text gives the same list or the same errors on every machine, so that a list that
//! `shallotctl check` accepts is accepted by every entry. Nothing here does I/O or reads a clock.

mod condition;
mod days;
mod described;
mod explanation;
mod latches;
mod outcome;
mod parser;
mod rule;
mod rule_error;
mod rule_list;
mod rule_part;
mod section_reader;
mod service_index;
mod time_range;

pub use condition::Condition;
pub use days::DayRange;
pub use described::RequestContext;
pub use explanation::{Explanation, RuleTrace, UnmetCondition};
pub use latches::LoadHysteresis;
pub use outcome::{Outcome, Priority, Refusal};
pub use rule::{Rule, RuleName};
pub use rule_error::RuleError;
pub use rule_list::{RuleDecision, RuleList};
pub use rule_part::ServiceRuleList;
pub use service_index::ServiceIndex;
pub use time_range::TimeRange;
