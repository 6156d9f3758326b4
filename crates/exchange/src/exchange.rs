//! Sends each attempt to its target at most once and reads the complete answer.

use std::error::Error;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use http::header::{
    CONTENT_LENGTH, FORWARDED, HOST, HeaderMap, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING, VIA,
};
use http::{Method, StatusCode, Version};
use reqwest::{Client, Request, Response, Url};
use shallotfork_types::{Bytes, Mono};
use thiserror::Error;

use crate::answer::BufferedAnswer;
use crate::attempt::{Attempt, AttemptFailure, FailureCause, NotRunEvidence, Sent, Unsent};
use crate::body_budget::BodyBudget;
use crate::body_buffer::BodyBuffer;
use crate::digest::{DigestCheck, check_digest};
use crate::exchange_config::ExchangeConfig;
use crate::gate::{ConnectionGate, GateLayer, GateRejection, with_target};
use crate::headers::{
    DEADLINE_HEADER, deadline_value, declared_length, strip_entry_headers, strip_hop_by_hop,
};
use crate::read_request::BufferedRequest;
use crate::send_state::{DeadlinePassedError, SendState, TrackedBody};
use crate::target_connections::STATUS_MAX;

const VIA_VALUE: HeaderValue = HeaderValue::from_static("1.1 shallotfork");

/// Returns the current time of the process's monotonic clock.
pub type NowFn = Arc<dyn Fn() -> Mono + Send + Sync>;

/// Failure to set up the HTTP clients.
#[derive(Debug, Error)]
#[error("can't set up the HTTP client")]
pub struct ExchangeError(#[from] reqwest::Error);

/// HTTP clients with pooled connections to all targets; cheap to clone.
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
    /// Creates the clients without opening a connection. `budget` is shared with
    /// [`read_request`](crate::read_request()).
    ///
    /// # Errors
    /// If the HTTP clients can't be set up.
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

    /// Sends the request once and reads the complete answer.
    ///
    /// Dropping the future closes the connection, so that a late answer is never read.
    ///
    /// # Errors
    /// If there is no complete answer. The error states the cause and whether the request may have
    /// run.
    pub async fn send(&self, attempt: Attempt<Unsent>) -> Result<BufferedAnswer, AttemptFailure> {
        let remaining = attempt.remaining((self.now)());
        if remaining.is_zero() {
            return Err(attempt.not_run(FailureCause::DeadlinePassed));
        }
        let send_state = SendState::default();
        let Some(request) = self.build_request(&attempt, remaining, &send_state) else {
            return Err(attempt.not_run(FailureCause::BadRequest));
        };
        let client = if attempt.target().http2 { &self.http2 } else { &self.http1 };
        let sending = with_target(attempt.target().endpoint, client.execute(request));
        let deadline = tokio::time::Instant::now() + remaining;
        match tokio::time::timeout_at(deadline, sending).await {
            Err(_) => Err(classify_timeout(attempt, &send_state)),
            Ok(Err(error)) => Err(classify_error(attempt, &send_state, &error)),
            Ok(Ok(response)) => {
                let attempt = attempt.into_sent();
                let ends_with_connection = ends_with_connection(&attempt, &response);
                let reading = self.read_answer(&attempt, response);
                match tokio::time::timeout_at(deadline, reading).await {
                    // The target has given up the request; the end of its connection is not that of
                    // an answer.
                    Ok(Ok(_)) if ends_with_connection && !send_state.is_handed_over() => {
                        Err(attempt.may_have_run(FailureCause::AnswerIncomplete))
                    }
                    Err(_) => Err(attempt.may_have_run(FailureCause::Timeout)),
                    Ok(Err(cause)) => Err(attempt.may_have_run(cause)),
                    Ok(Ok(answer)) => check_shed_status(attempt, answer),
                }
            }
        }
    }

    fn build_request(
        &self,
        attempt: &Attempt<Unsent>,
        remaining: Duration,
        send_state: &SendState,
    ) -> Option<Request> {
        let original = attempt.request();
        let target = attempt.target();
        let url =
            Url::parse(&format!("http://{}{}", target.endpoint, original.path_and_query)).ok()?;
        let mut request = Request::new(original.method.clone(), url);
        *request.headers_mut() = request_headers(original, target.http2, remaining);
        let body = TrackedBody::new(
            original.body.clone(),
            attempt.deadline(),
            Arc::clone(&self.now),
            send_state.clone(),
        );
        *request.body_mut() = Some(reqwest::Body::wrap(body));
        Some(request)
    }

    async fn read_answer(
        &self,
        attempt: &Attempt<Sent>,
        mut response: Response,
    ) -> Result<BufferedAnswer, FailureCause> {
        let status = response.status();
        if status.is_informational() {
            return Err(FailureCause::AnswerNotFinal);
        }
        if status.as_u16() > STATUS_MAX {
            return Err(FailureCause::AnswerStatusInvalid);
        }
        let mut headers = std::mem::take(response.headers_mut());
        let bodiless = is_bodiless(&attempt.request().method, status);
        let limit_bytes = self.config.answer_max.min(self.budget.answer_max()).value();
        if !bodiless && declared_length(&headers) > limit_bytes {
            return Err(FailureCause::AnswerTooLarge);
        }
        let expected_bytes = if bodiless { 0 } else { declared_length(&headers) };
        let mut body_buffer =
            BodyBuffer::new(limit_bytes, self.budget.permit()).with_expected_size(expected_bytes);
        let receiving = self.budget.receive(Bytes::default());
        loop {
            let chunk = tokio::select! {
                biased;
                () = receiving.broken_off() => return Err(FailureCause::AnswerTooLarge),
                chunk = response.chunk() => chunk.map_err(|_| FailureCause::AnswerIncomplete)?,
            };
            let Some(chunk) = chunk else { break };
            let pushed = body_buffer.push_answer(chunk, &receiving);
            pushed.map_err(|_| FailureCause::AnswerTooLarge)?;
        }
        let body = body_buffer.finish();
        if !bodiless {
            check_answer_digest(&headers, &body)?;
        }
        strip_hop_by_hop(&mut headers);
        strip_entry_headers(&mut headers);
        Ok(BufferedAnswer { status, headers, body })
    }
}

/// Returns the builder of a client that sends each request once, to the given address only.
///
/// Redirects would resend a request to another address, the retry policy would resend it after a
/// protocol-level rejection, and proxy environment variables would send it to another host.
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

fn request_headers(original: &BufferedRequest, http2: bool, remaining: Duration) -> HeaderMap {
    let mut headers = original.headers.clone();
    headers.insert(DEADLINE_HEADER, deadline_value(remaining));
    headers.append(VIA, VIA_VALUE);
    // `Host` must not differ from `:authority`, which is the target's address (RFC 9113, 8.3.1).
    if http2 && headers.remove(HOST).is_some() {
        let forwarded = format!("host={}", original.service);
        if let Ok(value) = HeaderValue::from_str(&forwarded) {
            headers.append(FORWARDED, value);
        }
    }
    headers
}

/// Returns whether only the end of the connection ends the answer's body.
fn ends_with_connection(attempt: &Attempt<Sent>, response: &Response) -> bool {
    let headers = response.headers();
    let has_framing = headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
        || response.version() >= Version::HTTP_2;
    !has_framing && !is_bodiless(&attempt.request().method, response.status())
}

fn is_bodiless(method: &Method, status: StatusCode) -> bool {
    method == Method::HEAD || status == StatusCode::NOT_MODIFIED || status == StatusCode::NO_CONTENT
}

fn check_answer_digest(headers: &HeaderMap, body: &[u8]) -> Result<(), FailureCause> {
    match check_digest(headers, body) {
        DigestCheck::Absent | DigestCheck::Matches => Ok(()),
        DigestCheck::Differs | DigestCheck::Malformed => Err(FailureCause::AnswerDigestMismatch),
    }
}

fn classify_timeout(attempt: Attempt<Unsent>, send_state: &SendState) -> AttemptFailure {
    if send_state.has_started() {
        return attempt.into_sent().may_have_run(FailureCause::Timeout);
    }
    attempt.not_run(FailureCause::DeadlinePassed)
}

fn classify_error(
    attempt: Attempt<Unsent>,
    send_state: &SendState,
    error: &reqwest::Error,
) -> AttemptFailure {
    // On HTTP/2 the headers have been sent by the time the body fails with this error.
    if source_is::<DeadlinePassedError>(error) && !attempt.target().http2 {
        return attempt.not_run(FailureCause::DeadlinePassed);
    }
    if send_state.has_started() {
        let attempt = attempt.into_sent();
        if is_stream_refused(error) {
            return attempt.not_run(NotRunEvidence::StreamRefused);
        }
        return attempt.may_have_run(FailureCause::ConnectionLost);
    }
    if source_is::<GateRejection>(error) {
        return attempt.not_run(FailureCause::ConnectRefusedByGate);
    }
    if error.is_builder() {
        return attempt.not_run(FailureCause::BadRequest);
    }
    attempt.not_run(FailureCause::ConnectFailed)
}

/// Returns whether the error is one of the two HTTP/2 signals that a stream was not processed
/// (RFC 9113, 8.7).
fn is_stream_refused(error: &reqwest::Error) -> bool {
    let Some(error) = find_source::<h2::Error>(error) else {
        return false;
    };
    let is_refused = error.is_reset() && error.reason() == Some(h2::Reason::REFUSED_STREAM);
    let is_unprocessed = error.is_go_away() && error.reason() == Some(h2::Reason::NO_ERROR);
    error.is_remote() && (is_refused || is_unprocessed)
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

fn check_shed_status(
    attempt: Attempt<Sent>,
    answer: BufferedAnswer,
) -> Result<BufferedAnswer, AttemptFailure> {
    if attempt.target().shed_status != Some(answer.status) {
        return Ok(answer);
    }
    let retry_after = retry_after(&answer.headers);
    Err(attempt.not_run(NotRunEvidence::Shed { retry_after }))
}

/// Returns the delay form of `Retry-After`. The date form is ignored, because it would compare the
/// clocks of two machines.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_secs)
}
