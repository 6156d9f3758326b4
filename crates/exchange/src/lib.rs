//! HTTP towards callers and targets: buffered bodies, header rules, deadlines and verdicts.
//!
//! [`read_request`] reads a caller's request, [`Exchange`] sends it to a target at most once per
//! [`Attempt`], and [`Problem`] is the answer when there is none from a target. [`serve`] accepts
//! the connections of callers.

mod activity;
mod answer;
mod answer_transfer;
mod attempt;
mod body_budget;
mod body_buffer;
mod caller_connection;
mod connection_config;
mod connection_memory;
mod delivered_body;
mod digest;
mod discard;
mod exchange;
mod exchange_config;
mod gate;
mod head_scanner;
mod head_timer;
mod headers;
mod incoming_bodies;
mod interim_answers;
mod lingering;
mod opened_connections;
mod paced_body;
mod pipeline;
mod problem;
mod progress;
mod read_ahead;
mod read_request;
mod receiving_answers;
mod rejection;
mod request_body;
mod segments;
mod send_state;
mod sent_body;
mod serve;
mod serve_config;
mod serve_control;
mod served_connection;
mod served_connections;
mod target_connection;
mod target_connections;
mod tracked_stream;
mod transfer_state;
mod write_pacer;

pub use answer::BufferedAnswer;
pub use answer_transfer::{AnswerTransfer, TransferEnd, TransferEndFn, TransferReport};
pub use attempt::{Attempt, AttemptFailure, FailureCause, Sent, TargetAddress, Unsent};
pub use body_budget::{BodyBudget, BodyPermit};
pub use caller_connection::CallerConnection;
pub use connection_config::ConnectionConfig;
pub use exchange::{Exchange, ExchangeError, NowFn};
pub use exchange_config::ExchangeConfig;
pub use gate::{ConnectionGate, ConnectionPermit, UnlimitedGate};
pub use headers::{
    CALLER_HEADER, ControlHeaders, DEADLINE_HEADER, KEY_HEADER, REPLAYED_HEADER, SESSION_HEADER,
    VERDICT_HEADER,
};
pub use opened_connections::{ConnectionPurpose, OpenedConnections};
pub use pipeline::ArrivedAt;
pub use problem::Problem;
pub use read_request::{BodyLimits, BufferedRequest, read_request};
pub use rejection::{BUDGET_RETRY_AFTER, Rejection};
pub use serve::{PipelineFn, ServeError, serve, serve_pipelined};
pub use serve_config::ServeConfig;
pub use serve_control::{HeadLimits, ServeControl};
pub use served_connections::{ServedConnections, ServedLimits};
pub use target_connections::{AnswerMatch, AnswerMatchFn, TargetConnections, TargetRequest};
pub use write_pacer::WritePacer;
