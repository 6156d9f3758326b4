//! Kept connections to targets, one request on each at a time.

use std::collections::HashMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::HeaderMap;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use shallotfork_types::{Endpoint, TargetId, Verdict};
use tokio::time::Instant;

use crate::answer::BufferedAnswer;
use crate::attempt::{AttemptFailure, FailureCause};
use crate::body_budget::BodyBudget;
use crate::gather::{Gather, GatherError};
use crate::headers::strip_hop_by_hop;
use crate::link::{Link, SendError};
use crate::link_config::ConnectionConfig;
use crate::openings::{ConnectionPurpose, OpenedConnections, OpeningCounters};

/// Whether an answer is to the request that waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerMatch {
    /// It is.
    Match,
    /// It belongs to another request, or to none.
    Mismatch,
}

/// Tells from an answer's head whose it is.
pub type AnswerMatchFn<'a> = &'a (dyn Fn(StatusCode, &HeaderMap) -> AnswerMatch + Sync);

/// One request to one target.
pub struct TargetRequest<'a> {
    /// The target.
    pub target: &'a TargetId,
    /// Where it is reached.
    pub endpoint: Endpoint,
    /// What is sent, with its complete body.
    pub request: Request<Full<Bytes>>,
    /// Nobody awaits the answer after this time.
    pub timeout: Duration,
    /// Whether a second run does no harm.
    pub repeatable: bool,
    /// Tells whose an answer is.
    pub answer_match: AnswerMatchFn<'a>,
    /// What a connection that has to be opened for it counts as.
    pub purpose: ConnectionPurpose,
    /// Told when a new connection has been opened for it, before it is sent.
    pub on_opened: &'a (dyn Fn() + Sync),
}

/// The connections of the process to all targets; cheap to clone.
///
/// Unlike the clients of [`Exchange`](crate::Exchange), an attempt owns its connection. It goes
/// back only when the whole answer was read, belongs to the request, and nothing is left on the
/// connection: targets may send a second answer to one request, and the next request on that
/// connection would be answered with it.
#[derive(Debug, Clone)]
pub struct TargetConnections {
    config: ConnectionConfig,
    budget: BodyBudget,
    idle: Arc<Mutex<HashMap<TargetId, Vec<Link>>>>,
    openings: OpeningCounters,
}

impl TargetConnections {
    /// Opens no connection yet.
    pub fn new(config: ConnectionConfig, budget: BodyBudget) -> Self {
        Self { config, budget, idle: Arc::default(), openings: OpeningCounters::default() }
    }

    /// Sends a request once and reads the answer whole. Dropping the future closes the connection.
    ///
    /// # Errors
    /// The cause, and whether the request may have run.
    pub async fn send(&self, asked: TargetRequest<'_>) -> Result<BufferedAnswer, AttemptFailure> {
        let until = Instant::now() + asked.timeout;
        let sending = tokio::time::timeout_at(until, self.send_on_a_link(&asked));
        let (mut link, response) = match sending.await {
            Ok(Ok(sent)) => sent,
            Ok(Err(failure)) => return Err(failure),
            // The future may have been dropped after the first byte left.
            Err(_) => return Err(may_have_run(FailureCause::Timeout)),
        };
        let (status, headers) = (response.status(), response.headers().clone());
        if (asked.answer_match)(status, &headers) == AnswerMatch::Mismatch {
            return Err(may_have_run(FailureCause::AnswerMismatch));
        }
        let reading = tokio::time::timeout_at(until, self.read(response));
        let answer = match reading.await {
            Ok(Ok(answer)) => answer,
            Ok(Err(cause)) => return Err(may_have_run(cause)),
            Err(_) => return Err(may_have_run(FailureCause::Timeout)),
        };
        if link.keep(&headers, &self.config) {
            self.put_back(asked.target, link);
        }
        Ok(answer)
    }

    /// Closes the idle connections to a target that is gone or has started again.
    pub fn close_idle(&self, target: &TargetId) {
        self.lock().remove(target);
    }

    /// Closes idle connections that are no longer of use.
    pub fn prune_idle(&self) {
        let idle_timeout = self.config.idle_timeout;
        let mut idle = self.lock();
        for links in idle.values_mut() {
            links.retain(|link| link.is_usable(idle_timeout));
        }
        idle.retain(|_, links| !links.is_empty());
    }

    /// Whether a target's port refuses a new connection, as it does after its process has ended.
    ///
    /// Distinguishes a target that has crashed from one that has only reset a connection.
    /// Returns `false` for any other result, including a timeout.
    pub async fn refuses_connections(&self, endpoint: Endpoint) -> bool {
        let opened = self.open(endpoint, ConnectionPurpose::PortCheck).await;
        opened.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Connections opened so far.
    pub fn opened_connections(&self) -> OpenedConnections {
        self.openings.read()
    }

    async fn open(&self, endpoint: Endpoint, purpose: ConnectionPurpose) -> io::Result<Link> {
        self.openings.count(purpose);
        Link::open(endpoint, &self.config).await
    }

    async fn send_on_a_link(
        &self,
        asked: &TargetRequest<'_>,
    ) -> Result<(Link, Response<Incoming>), AttemptFailure> {
        let mut request = asked.request.clone();
        while let Some(mut link) = self.take(asked) {
            match link.send(request).await {
                Ok(response) => return Ok((link, response)),
                Err(SendError::Unsent(unsent)) => request = *unsent,
                Err(SendError::Sent(cause)) => return Err(may_have_run(cause)),
            }
        }
        let opened = self.open(asked.endpoint, asked.purpose).await;
        let mut link = opened.map_err(|_| not_run(FailureCause::ConnectFailed))?;
        (asked.on_opened)();
        match link.send(request).await {
            Ok(response) => Ok((link, response)),
            Err(SendError::Unsent(_)) => Err(not_run(FailureCause::ConnectFailed)),
            Err(SendError::Sent(cause)) => Err(may_have_run(cause)),
        }
    }

    /// The connection used last, since it is the least likely to have been forgotten.
    fn take(&self, asked: &TargetRequest<'_>) -> Option<Link> {
        let config = &self.config;
        let idle_timeout =
            if asked.repeatable { config.idle_timeout } else { config.idle_timeout_unrepeatable };
        let mut idle = self.lock();
        let links = idle.get_mut(asked.target)?;
        let place = links.iter().rposition(|link| link.is_usable(idle_timeout))?;
        Some(links.swap_remove(place))
    }

    fn put_back(&self, target: &TargetId, link: Link) {
        let mut idle = self.lock();
        let links = idle.entry(target.clone()).or_default();
        links.retain(|link| link.is_usable(self.config.idle_timeout));
        if links.len() < self.config.idle_per_target_max {
            links.push(link);
        }
    }

    async fn read(&self, response: Response<Incoming>) -> Result<BufferedAnswer, FailureCause> {
        let (parts, mut body) = response.into_parts();
        if parts.status.is_informational() {
            return Err(FailureCause::AnswerNotFinal);
        }
        let mut gather = Gather::new(self.config.answer_max.value(), self.budget.permit());
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| FailureCause::AnswerIncomplete)?;
            let Ok(piece) = frame.into_data() else { continue };
            gather.push(piece).map_err(|error| match error {
                GatherError::TooLarge => FailureCause::AnswerTooLarge,
                GatherError::BudgetFull => FailureCause::BudgetFull,
            })?;
        }
        let mut headers = parts.headers;
        strip_hop_by_hop(&mut headers);
        Ok(BufferedAnswer { status: parts.status, headers, body: gather.finish() })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TargetId, Vec<Link>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn may_have_run(cause: FailureCause) -> AttemptFailure {
    AttemptFailure::new(Verdict::MayHaveRun, cause)
}

fn not_run(cause: FailureCause) -> AttemptFailure {
    AttemptFailure::new(Verdict::NotRun, cause)
}
