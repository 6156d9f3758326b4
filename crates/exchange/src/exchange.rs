//! Sends requests to targets, each attempt at most once, and reads the answers whole.

use std::error::Error;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONTENT_LENGTH, FORWARDED, HOST, HeaderMap, HeaderValue, RETRY_AFTER, VIA};
use http::{Method, StatusCode};
use reqwest::{Client, Request, Response, Url};
use shallotfork_types::Mono;
use thiserror::Error;

use crate::answer::BufferedAnswer;
use crate::attempt::{Attempt, AttemptFailure, FailureCause, NotRunEvidence, Sent, Unsent};
use crate::body_budget::BodyBudget;
use crate::digest::{DigestCheck, check_digest};
use crate::exchange_config::ExchangeConfig;
use crate::gate::{ConnectionGate, GateLayer, GateRefusal, with_target};
use crate::gather::{Gather, GatherError};
use crate::headers::{DEADLINE_HEADER, deadline_value, strip_hop_by_hop, strip_system_headers};
use crate::read_request::BufferedRequest;
use crate::send_mark::{LateError, MarkedBody, SendMark};

const VIA_VALUE: HeaderValue = HeaderValue::from_static("1.1 shallotfork");

/// Reads the process's monotonic clock.
pub type NowFn = Arc<dyn Fn() -> Mono + Send + Sync>;

/// When the HTTP clients can't be set up.
#[derive(Debug, Error)]
#[error("can't set up the HTTP client")]
pub struct ExchangeError(#[from] reqwest::Error);

/// The connections to all targets; cheap to clone.
#[derive(Clone)]
pub struct Exchange {
    http1: Client,
    http2: Client,
    config: ExchangeConfig,
    budget: BodyBudget,
    now: NowFn,
}

impl fmt::Debug for Exchange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Exchange").field("config", &self.config).finish_non_exhaustive()
    }
}

impl Exchange {
    /// Opens no connection yet; `budget` is shared with [`read_request`](crate::read_request()).
    ///
    /// # Errors
    /// When the HTTP clients can't be set up.
    pub fn new(
        config: ExchangeConfig,
        budget: BodyBudget,
        gate: Arc<dyn ConnectionGate>,
        now: NowFn,
    ) -> Result<Self, ExchangeError> {
        let http1 = client(&config, &gate).http1_only().build()?;
        let http2 = client(&config, &gate).http2_prior_knowledge().build()?;
        Ok(Self { http1, http2, config, budget, now })
    }

    /// Sends the request once and reads the answer whole.
    ///
    /// Dropping the future closes the connection, so that a late answer has nowhere to go.
    ///
    /// # Errors
    /// The cause, and whether the request may have run.
    pub async fn send(&self, attempt: Attempt<Unsent>) -> Result<BufferedAnswer, AttemptFailure> {
        let remaining = attempt.remaining((self.now)());
        if remaining.is_zero() {
            return Err(attempt.not_run(FailureCause::DeadlinePassed));
        }
        let mark = SendMark::default();
        let Some(request) = self.request(&attempt, remaining, &mark) else {
            return Err(attempt.not_run(FailureCause::BadRequest));
        };
        let client = if attempt.target().http2 { &self.http2 } else { &self.http1 };
        let executing = with_target(attempt.target().endpoint, client.execute(request));
        let deadline = tokio::time::Instant::now() + remaining;
        match tokio::time::timeout_at(deadline, executing).await {
            Err(_) => Err(timed_out(attempt, &mark)),
            Ok(Err(error)) => Err(failed(attempt, &mark, &error)),
            Ok(Ok(response)) => {
                let attempt = attempt.into_sent();
                match tokio::time::timeout_at(deadline, self.read(&attempt, response)).await {
                    Err(_) => Err(attempt.may_have_run(FailureCause::Timeout)),
                    Ok(Err(cause)) => Err(attempt.may_have_run(cause)),
                    Ok(Ok(answer)) => judge(attempt, answer),
                }
            }
        }
    }

    fn request(
        &self,
        attempt: &Attempt<Unsent>,
        remaining: Duration,
        mark: &SendMark,
    ) -> Option<Request> {
        let whole = attempt.request();
        let target = attempt.target();
        let url =
            Url::parse(&format!("http://{}{}", target.endpoint, whole.path_and_query)).ok()?;
        let mut request = Request::new(whole.method.clone(), url);
        *request.headers_mut() = headers(whole, target.http2, remaining);
        let body = MarkedBody::new(
            whole.body.clone(),
            attempt.deadline(),
            Arc::clone(&self.now),
            mark.clone(),
        );
        *request.body_mut() = Some(reqwest::Body::wrap(body));
        Some(request)
    }

    async fn read(
        &self,
        attempt: &Attempt<Sent>,
        mut response: Response,
    ) -> Result<BufferedAnswer, FailureCause> {
        let status = response.status();
        if status.is_informational() {
            return Err(FailureCause::AnswerNotFinal);
        }
        let mut headers = std::mem::take(response.headers_mut());
        let bodiless = is_bodiless(&attempt.request().method, status);
        let limit_bytes = self.config.answer_max.value();
        if !bodiless && declared_bytes(&headers) > limit_bytes {
            return Err(FailureCause::AnswerTooLarge);
        }
        let mut gather = Gather::new(limit_bytes, self.budget.permit());
        while let Some(piece) =
            response.chunk().await.map_err(|_| FailureCause::AnswerIncomplete)?
        {
            gather.push(piece).map_err(|error| match error {
                GatherError::TooLarge => FailureCause::AnswerTooLarge,
                GatherError::BudgetFull => FailureCause::BudgetFull,
            })?;
        }
        let body = gather.finish();
        if !bodiless {
            check_answer(&headers, &body)?;
        }
        strip_hop_by_hop(&mut headers);
        strip_system_headers(&mut headers);
        Ok(BufferedAnswer { status, headers, body })
    }
}

/// A client that sends each request once and passes on what it is given.
///
/// Redirects would replay a request at another address; the retry policy would send it again
/// after a protocol refusal; proxy variables of the environment would lead it elsewhere.
fn client(config: &ExchangeConfig, gate: &Arc<dyn ConnectionGate>) -> reqwest::ClientBuilder {
    Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
        .referer(false)
        .tcp_nodelay(true)
        .connect_timeout(config.connect_timeout)
        .pool_idle_timeout(config.pool_idle_timeout)
        .pool_max_idle_per_host(config.pool_idle_max)
        .connector_layer(GateLayer::new(Arc::clone(gate)))
}

fn headers(whole: &BufferedRequest, http2: bool, remaining: Duration) -> HeaderMap {
    let mut headers = whole.headers.clone();
    headers.insert(DEADLINE_HEADER, deadline_value(remaining));
    headers.append(VIA, VIA_VALUE);
    // RFC 9113, 8.3.1: `Host` must not differ from `:authority`, which is the target's address.
    if http2 && headers.remove(HOST).is_some() {
        let forwarded = format!("host={}", whole.service);
        if let Ok(value) = HeaderValue::from_str(&forwarded) {
            headers.append(FORWARDED, value);
        }
    }
    headers
}

fn is_bodiless(method: &Method, status: StatusCode) -> bool {
    method == Method::HEAD || status == StatusCode::NOT_MODIFIED || status == StatusCode::NO_CONTENT
}

fn declared_bytes(headers: &HeaderMap) -> u64 {
    let text = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn check_answer(headers: &HeaderMap, body: &[u8]) -> Result<(), FailureCause> {
    match check_digest(headers, body) {
        DigestCheck::Absent | DigestCheck::Matches => Ok(()),
        DigestCheck::Differs | DigestCheck::Malformed => Err(FailureCause::AnswerDigestMismatch),
    }
}

fn timed_out(attempt: Attempt<Unsent>, mark: &SendMark) -> AttemptFailure {
    if mark.is_taken() {
        return attempt.into_sent().may_have_run(FailureCause::Timeout);
    }
    attempt.not_run(FailureCause::DeadlinePassed)
}

fn failed(attempt: Attempt<Unsent>, mark: &SendMark, error: &reqwest::Error) -> AttemptFailure {
    // HTTP/2 has sent the headers by the time the body ends in this error.
    if source_is::<LateError>(error) && !attempt.target().http2 {
        return attempt.not_run(FailureCause::DeadlinePassed);
    }
    if mark.is_taken() {
        let attempt = attempt.into_sent();
        if is_stream_refused(error) {
            return attempt.not_run(NotRunEvidence::StreamRefused);
        }
        return attempt.may_have_run(FailureCause::ConnectionLost);
    }
    if source_is::<GateRefusal>(error) {
        return attempt.not_run(FailureCause::ConnectRefusedByGate);
    }
    if error.is_builder() {
        return attempt.not_run(FailureCause::BadRequest);
    }
    attempt.not_run(FailureCause::ConnectFailed)
}

/// RFC 9113, 8.7: the two ways in which HTTP/2 says that a stream was not processed.
fn is_stream_refused(error: &reqwest::Error) -> bool {
    let Some(error) = find_source::<h2::Error>(error) else {
        return false;
    };
    let refused = error.is_reset() && error.reason() == Some(h2::Reason::REFUSED_STREAM);
    let below = error.is_go_away() && error.reason() == Some(h2::Reason::NO_ERROR);
    error.is_remote() && (refused || below)
}

fn source_is<E: Error + 'static>(error: &(dyn Error + 'static)) -> bool {
    find_source::<E>(error).is_some()
}

fn find_source<'a, E: Error + 'static>(error: &'a (dyn Error + 'static)) -> Option<&'a E> {
    let mut current = Some(error);
    while let Some(error) = current {
        if let Some(found) = error.downcast_ref::<E>() {
            return Some(found);
        }
        current = error.source();
    }
    None
}

fn judge(attempt: Attempt<Sent>, answer: BufferedAnswer) -> Result<BufferedAnswer, AttemptFailure> {
    if attempt.target().shed_status != Some(answer.status) {
        return Ok(answer);
    }
    let retry_after = retry_after(&answer.headers);
    Err(attempt.not_run(NotRunEvidence::Shed { retry_after }))
}

/// The delay form of `Retry-After`; the date form is left out, since it compares two clocks.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_secs)
}
