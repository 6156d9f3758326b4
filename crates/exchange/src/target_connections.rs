//! Reusable connections to targets, each of which carries one request at a time.

use std::collections::HashMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderMap, TRANSFER_ENCODING};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use shallotfork_types::{self as types, Endpoint, TargetId, Verdict};
use tokio::time::Instant;

use crate::answer::BufferedAnswer;
use crate::attempt::{AttemptFailure, FailureCause};
use crate::body_budget::BodyBudget;
use crate::body_buffer::BodyBuffer;
use crate::connection_config::ConnectionConfig;
use crate::headers::strip_hop_by_hop;
use crate::opened_connections::{ConnectionCounters, ConnectionPurpose, OpenedConnections};
use crate::sent_body::SentBody;
use crate::target_connection::{SendError, TargetConnection};

/// Largest status that HTTP defines (RFC 9110, section 15).
pub(crate) const STATUS_MAX: u16 = 599;

/// Whether an answer belongs to the request that waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerMatch {
    /// The answer belongs to the request.
    Match,
    /// The answer belongs to another request, or to none.
    Mismatch,
}

/// Decides by an answer's head whether it belongs to the request.
pub type AnswerMatchFn<'a> = &'a (dyn Fn(StatusCode, &HeaderMap) -> AnswerMatch + Sync);

/// A request to a target.
pub struct TargetRequest<'a> {
    /// The target's id.
    pub target: &'a TargetId,
    /// The address of the target.
    pub endpoint: Endpoint,
    /// The HTTP request with its complete body.
    pub request: Request<Full<Bytes>>,
    /// The time allowed for the complete answer.
    pub timeout: Duration,
    /// The size that the answer's body is expected not to exceed. When memory is short, answers are
    /// broken off by how far they exceed it; zero if nothing is known.
    pub expected_size: types::Bytes,
    /// Whether the request may safely run twice.
    pub repeatable: bool,
    /// Decides whether an answer belongs to this request.
    pub answer_match: AnswerMatchFn<'a>,
    /// The purpose under which a newly opened connection is counted.
    pub purpose: ConnectionPurpose,
    /// Called when a new connection has been opened, before the request is sent.
    pub on_opened: &'a (dyn Fn() + Sync),
}

/// The process's pool of connections to all targets; cheap to clone.
///
/// Unlike with the clients of [`Exchange`](crate::Exchange), an attempt owns its connection. The
/// connection returns to the pool only when the complete answer was read, belongs to the request,
/// and nothing is left on the connection. A target may send a second answer to one request, and the
/// next request on that connection would receive it.
#[derive(Debug, Clone)]
pub struct TargetConnections {
    config: ConnectionConfig,
    budget: BodyBudget,
    idle: Arc<Mutex<HashMap<TargetId, Vec<TargetConnection>>>>,
    opened_connections: ConnectionCounters,
}

impl TargetConnections {
    /// Creates an empty pool.
    pub fn new(config: ConnectionConfig, budget: BodyBudget) -> Self {
        Self {
            config,
            budget,
            idle: Arc::default(),
            opened_connections: ConnectionCounters::default(),
        }
    }

    /// Sends a request once and reads the complete answer.
    ///
    /// Dropping the future closes the connection.
    ///
    /// # Errors
    /// If there is no complete answer. The failure has the cause and whether the request may have
    /// run.
    pub async fn send(&self, request: TargetRequest<'_>) -> Result<BufferedAnswer, AttemptFailure> {
        let deadline = Instant::now() + request.timeout;
        let message = request.request.clone().map(SentBody::new);
        let unsent = message.body().unsent();
        let sending = tokio::time::timeout_at(deadline, self.send_on_connection(&request, message));
        let (mut connection, response) = match sending.await {
            Ok(Ok(sent)) => sent,
            Ok(Err(failure)) => return Err(failure),
            // The future may have been dropped after the first byte was sent.
            Err(_) => return Err(may_have_run(FailureCause::Timeout)),
        };
        if declared_size(&response) > self.answer_max_bytes() {
            return Err(may_have_run(FailureCause::AnswerTooLarge));
        }
        let (status, headers) = (response.status(), response.headers().clone());
        if status.as_u16() > STATUS_MAX {
            return Err(may_have_run(FailureCause::AnswerStatusInvalid));
        }
        let ends_with_connection = ends_with_connection(&response);
        if (request.answer_match)(status, &headers) == AnswerMatch::Mismatch {
            return Err(may_have_run(FailureCause::AnswerMismatch));
        }
        let reading =
            tokio::time::timeout_at(deadline, self.read_answer(response, request.expected_size));
        let answer = match reading.await {
            Ok(Ok(answer)) => answer,
            Ok(Err(cause)) => return Err(may_have_run(cause)),
            Err(_) => return Err(may_have_run(FailureCause::Timeout)),
        };
        // The target has given up the request; the end of its connection is not that of an answer.
        if ends_with_connection && !unsent.is_all_sent() {
            return Err(may_have_run(FailureCause::AnswerIncomplete));
        }
        if connection.update_keep_alive(&headers, &self.config) {
            self.return_idle(request.target, connection);
        }
        Ok(answer)
    }

    /// Closes the idle connections to a target that has been removed or has restarted.
    pub fn close_idle(&self, target: &TargetId) {
        self.lock().remove(target);
    }

    /// Closes the connections that have been idle for at least `idle_for`. Those of a path that was
    /// interrupted meanwhile may be dead.
    pub fn close_idle_for(&self, idle_for: Duration) {
        let mut idle = self.lock();
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.is_usable(idle_for));
        }
    }

    /// Closes idle connections that can't be reused any more.
    pub fn prune_idle(&self) {
        let idle_timeout = self.config.idle_timeout;
        let mut idle = self.lock();
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.is_usable(idle_timeout));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Returns whether a target's port refuses a new connection, as after the end of its process.
    ///
    /// Distinguishes a target that has crashed from one that has only reset a connection.
    /// Returns `false` for any other result, including a timeout.
    pub async fn refuses_connections(&self, endpoint: Endpoint) -> bool {
        let opened = self.open(endpoint, ConnectionPurpose::PortCheck).await;
        opened.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns the number of connections opened so far, by purpose.
    pub fn opened_connections(&self) -> OpenedConnections {
        self.opened_connections.read()
    }

    async fn open(
        &self,
        endpoint: Endpoint,
        purpose: ConnectionPurpose,
    ) -> io::Result<TargetConnection> {
        self.opened_connections.count(purpose);
        TargetConnection::open(endpoint, &self.config).await
    }

    async fn send_on_connection(
        &self,
        request: &TargetRequest<'_>,
        mut message: Request<SentBody>,
    ) -> Result<(TargetConnection, Response<Incoming>), AttemptFailure> {
        while let Some(mut connection) = self.take_idle(request) {
            match connection.send(message).await {
                Ok(response) => return Ok((connection, response)),
                Err(SendError::Unsent(unsent)) => message = *unsent,
                Err(SendError::Sent(cause)) => return Err(may_have_run(cause)),
            }
        }
        let opened = self.open(request.endpoint, request.purpose).await;
        let mut connection = opened.map_err(|_| not_run(FailureCause::ConnectFailed))?;
        (request.on_opened)();
        match connection.send(message).await {
            Ok(response) => Ok((connection, response)),
            Err(SendError::Unsent(_)) => Err(not_run(FailureCause::ConnectFailed)),
            Err(SendError::Sent(cause)) => Err(may_have_run(cause)),
        }
    }

    /// Takes the most recently used connection, which is the least likely to have been dropped by
    /// the target.
    fn take_idle(&self, request: &TargetRequest<'_>) -> Option<TargetConnection> {
        if request.purpose == ConnectionPurpose::PathCheck {
            return None;
        }
        let config = &self.config;
        let idle_timeout =
            if request.repeatable { config.idle_timeout } else { config.idle_timeout_unrepeatable };
        let mut idle = self.lock();
        let connections = idle.get_mut(request.target)?;
        let position =
            connections.iter().rposition(|connection| connection.is_usable(idle_timeout))?;
        Some(connections.swap_remove(position))
    }

    fn return_idle(&self, target: &TargetId, connection: TargetConnection) {
        let mut idle = self.lock();
        let connections = idle.entry(target.clone()).or_default();
        connections.retain(|connection| connection.is_usable(self.config.idle_timeout));
        if connections.len() < self.config.idle_per_target_max {
            connections.push(connection);
        }
    }

    async fn read_answer(
        &self,
        response: Response<Incoming>,
        expected_size: types::Bytes,
    ) -> Result<BufferedAnswer, FailureCause> {
        let declared_bytes = declared_size(&response);
        let (parts, mut body) = response.into_parts();
        if parts.status.is_informational() {
            return Err(FailureCause::AnswerNotFinal);
        }
        let mut body_buffer = BodyBuffer::new(self.answer_max_bytes(), self.budget.permit())
            .with_expected_size(declared_bytes);
        let over_limit = match declared_bytes {
            0 => FailureCause::AnswerEndless,
            _ => FailureCause::AnswerTooLarge,
        };
        let receiving = self.budget.receive(expected_size);
        loop {
            let frame = tokio::select! {
                biased;
                () = receiving.broken_off() => return Err(over_limit),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|_| FailureCause::AnswerIncomplete)?;
            let Ok(chunk) = frame.into_data() else { continue };
            let pushed = body_buffer.push_answer(chunk, &receiving);
            pushed.map_err(|_| over_limit.clone())?;
        }
        let mut headers = parts.headers;
        strip_hop_by_hop(&mut headers);
        Ok(BufferedAnswer { status: parts.status, headers, body: body_buffer.finish() })
    }

    fn answer_max_bytes(&self) -> u64 {
        self.config.answer_max.min(self.budget.answer_max()).value()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TargetId, Vec<TargetConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the size that the answer declares for its body; 0 if it declares none. An answer to `HEAD`
/// has no body, whatever length it declares.
fn declared_size(response: &Response<Incoming>) -> u64 {
    response.body().size_hint().exact().unwrap_or(0)
}

/// Returns whether only the end of the connection ends the body.
fn ends_with_connection(response: &Response<Incoming>) -> bool {
    let has_framing = response.headers().contains_key(TRANSFER_ENCODING)
        || response.body().size_hint().exact().is_some();
    !has_framing
}

fn may_have_run(cause: FailureCause) -> AttemptFailure {
    AttemptFailure::new(Verdict::MayHaveRun, cause)
}

fn not_run(cause: FailureCause) -> AttemptFailure {
    AttemptFailure::new(Verdict::NotRun, cause)
}
