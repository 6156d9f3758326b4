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

use crate::answer::WholeAnswer;
use crate::attempt::{AttemptFailure, FailureCause};
use crate::body_budget::BodyBudget;
use crate::gather::{Gather, GatherError};
use crate::headers::strip_hop_by_hop;
use crate::link::{Link, SendError};
use crate::link_config::LinkConfig;
use crate::openings::{OpeningCounters, Openings, Purpose};

/// Whether an answer is to the request that waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerOwner {
    /// It is.
    Own,
    /// It belongs to another request, or to none.
    Foreign,
}

/// Tells from an answer's head whose it is.
pub type OwnerFn<'a> = &'a (dyn Fn(StatusCode, &HeaderMap) -> AnswerOwner + Sync);

/// One request to one target.
pub struct LinkRequest<'a> {
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
    pub owner: OwnerFn<'a>,
    /// What a connection that has to be opened for it counts as.
    pub purpose: Purpose,
    /// Told when a new connection has been opened for it, before it is sent.
    pub opened: &'a (dyn Fn() + Sync),
}

/// The connections of the process to all targets; cheap to clone.
///
/// Unlike the clients of [`Exchange`](crate::Exchange), an attempt owns its connection. It goes
/// back only when the whole answer was read, belongs to the request, and nothing is left on the
/// connection: targets may send a second answer to one request, and the next request on that
/// connection would be answered with it.
#[derive(Debug, Clone)]
pub struct TargetLinks {
    config: LinkConfig,
    budget: BodyBudget,
    idle: Arc<Mutex<HashMap<TargetId, Vec<Link>>>>,
    openings: OpeningCounters,
}

impl TargetLinks {
    /// Opens no connection yet.
    pub fn new(config: LinkConfig, budget: BodyBudget) -> Self {
        Self { config, budget, idle: Arc::default(), openings: OpeningCounters::default() }
    }

    /// Sends a request once and reads the answer whole. Dropping the future closes the connection.
    ///
    /// # Errors
    /// The cause, and whether the request may have run.
    pub async fn send(&self, asked: LinkRequest<'_>) -> Result<WholeAnswer, AttemptFailure> {
        let until = Instant::now() + asked.timeout;
        let sending = tokio::time::timeout_at(until, self.send_on_a_link(&asked));
        let (mut link, response) = match sending.await {
            Ok(Ok(sent)) => sent,
            Ok(Err(failure)) => return Err(failure),
            // The future may have been dropped after the first byte left.
            Err(_) => return Err(may_have_run(FailureCause::Timeout)),
        };
        let (status, headers) = (response.status(), response.headers().clone());
        if (asked.owner)(status, &headers) == AnswerOwner::Foreign {
            return Err(may_have_run(FailureCause::AnswerForeign));
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
    pub fn forget(&self, target: &TargetId) {
        self.lock().remove(target);
    }

    /// Closes idle connections that are no longer of use.
    pub fn tidy(&self) {
        let idle_max = self.config.idle_max;
        let mut idle = self.lock();
        for links in idle.values_mut() {
            links.retain(|link| link.is_usable(idle_max));
        }
        idle.retain(|_, links| !links.is_empty());
    }

    /// Whether a target's port refuses a new connection, as it does after its process has ended.
    ///
    /// Distinguishes a target that has crashed from one that has only reset a connection.
    /// Returns `false` for any other result, including a timeout.
    pub async fn refuses_connections(&self, endpoint: Endpoint) -> bool {
        let opened = self.open(endpoint, Purpose::PortCheck).await;
        opened.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Connections opened so far.
    pub fn openings(&self) -> Openings {
        self.openings.read()
    }

    async fn open(&self, endpoint: Endpoint, purpose: Purpose) -> io::Result<Link> {
        self.openings.count(purpose);
        Link::open(endpoint, &self.config).await
    }

    async fn send_on_a_link(
        &self,
        asked: &LinkRequest<'_>,
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
        (asked.opened)();
        match link.send(request).await {
            Ok(response) => Ok((link, response)),
            Err(SendError::Unsent(_)) => Err(not_run(FailureCause::ConnectFailed)),
            Err(SendError::Sent(cause)) => Err(may_have_run(cause)),
        }
    }

    /// The connection used last, since it is the least likely to have been forgotten.
    fn take(&self, asked: &LinkRequest<'_>) -> Option<Link> {
        let config = &self.config;
        let idle_max =
            if asked.repeatable { config.idle_max } else { config.idle_max_unrepeatable };
        let mut idle = self.lock();
        let links = idle.get_mut(asked.target)?;
        let place = links.iter().rposition(|link| link.is_usable(idle_max))?;
        Some(links.swap_remove(place))
    }

    fn put_back(&self, target: &TargetId, link: Link) {
        let mut idle = self.lock();
        let links = idle.entry(target.clone()).or_default();
        links.retain(|link| link.is_usable(self.config.idle_max));
        if links.len() < self.config.idle_per_target_max {
            links.push(link);
        }
    }

    async fn read(&self, response: Response<Incoming>) -> Result<WholeAnswer, FailureCause> {
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
        Ok(WholeAnswer { status: parts.status, headers, body: gather.finish() })
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
