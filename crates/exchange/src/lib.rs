//! HTTP towards callers and targets: whole bodies, header rules, deadlines and verdicts.
//!
//! [`read_whole`] takes a caller's request in, [`Exchange`] sends it to a target at most once per
//! [`Attempt`], and [`Problem`] tells a caller why there is no answer. [`serve`] runs the port.

mod activity;
mod ahead;
mod answer;
mod attempt;
mod body_budget;
mod digest;
mod discard;
mod early;
mod exchange;
mod exchange_config;
mod gate;
mod gather;
mod headers;
mod heads_ahead;
mod link;
mod link_config;
mod links;
mod openings;
mod presence;
mod problem;
mod read_whole;
mod refusal;
mod send_mark;
mod serve;
mod serve_config;

pub use answer::WholeAnswer;
pub use attempt::{Attempt, AttemptFailure, FailureCause, Sent, TargetAddress, Unsent};
pub use body_budget::{BodyBudget, BodyPermit};
pub use early::ArrivedAt;
pub use exchange::{Exchange, ExchangeError, NowFn};
pub use exchange_config::ExchangeConfig;
pub use gate::{ConnectionGate, ConnectionPermit, OpenGate};
pub use headers::{
    CALLER_HEADER, ControlHeaders, DEADLINE_HEADER, KEY_HEADER, REPLAYED_HEADER, SESSION_HEADER,
    VERDICT_HEADER,
};
pub use link_config::LinkConfig;
pub use links::{AnswerOwner, LinkRequest, OwnerFn, TargetLinks};
pub use openings::{Openings, Purpose};
pub use presence::CallerPresence;
pub use problem::Problem;
pub use read_whole::{BodyLimits, WholeRequest, read_whole};
pub use refusal::Refusal;
pub use serve::{EarlyFn, ServeControl, ServeError, serve, serve_early};
pub use serve_config::ServeConfig;
