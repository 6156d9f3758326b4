//! HTTP towards callers and targets: whole bodies, header rules, deadlines and verdicts.
//!
//! [`read_request`] takes a caller's request in, [`Exchange`] sends it to a target at most once per
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
mod read_request;
mod refusal;
mod send_mark;
mod serve;
mod serve_config;

pub use answer::BufferedAnswer;
pub use attempt::{Attempt, AttemptFailure, FailureCause, Sent, TargetAddress, Unsent};
pub use body_budget::{BodyBudget, BodyPermit};
pub use early::ArrivedAt;
pub use exchange::{Exchange, ExchangeError, NowFn};
pub use exchange_config::ExchangeConfig;
pub use gate::{ConnectionGate, ConnectionPermit, UnlimitedGate};
pub use headers::{
    CALLER_HEADER, ControlHeaders, DEADLINE_HEADER, KEY_HEADER, REPLAYED_HEADER, SESSION_HEADER,
    VERDICT_HEADER,
};
pub use link_config::ConnectionConfig;
pub use links::{AnswerMatch, AnswerMatchFn, TargetConnections, TargetRequest};
pub use openings::{ConnectionPurpose, OpenedConnections};
pub use presence::CallerConnection;
pub use problem::Problem;
pub use read_request::{BodyLimits, BufferedRequest, read_request};
pub use refusal::Rejection;
pub use serve::{PipelineFn, ServeControl, ServeError, serve, serve_pipelined};
pub use serve_config::ServeConfig;
