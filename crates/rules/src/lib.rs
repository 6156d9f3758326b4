//! Rule lists, which determine the outcome that applies to a request.
//!
//! Rules are evaluated in order; the first one whose conditions all hold decides. Parsing is
//! deterministic: the same text gives the same list or the same errors on every machine, so every
//! entry accepts a list that `shallotctl check` accepts. Nothing here does I/O or reads a clock.

mod condition;
mod day_range;
mod explanation;
mod load_hysteresis;
mod outcome;
mod parser;
mod request_context;
mod rule;
mod rule_error;
mod rule_list;
mod section_reader;
mod service_index;
mod service_rule_list;
mod time_range;

pub use condition::Condition;
pub use day_range::DayRange;
pub use explanation::{Explanation, RuleTrace, UnmetCondition};
pub use load_hysteresis::LoadHysteresis;
pub use outcome::{Outcome, Priority, Refusal};
pub use request_context::RequestContext;
pub use rule::{Rule, RuleName};
pub use rule_error::RuleError;
pub use rule_list::{RuleDecision, RuleList};
pub use service_index::ServiceIndex;
pub use service_rule_list::ServiceRuleList;
pub use time_range::TimeRange;
