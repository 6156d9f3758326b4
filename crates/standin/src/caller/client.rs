//! Client that sends requests through entries and fails over between them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use http::header::HOST;
use http::{HeaderMap, StatusCode};
use shallotfork_types::{Endpoint, ServiceName, Verdict};
use tokio::sync::Mutex;

use super::call::{Answer, Attempt, Call, Report};
use super::config::CallerConfig;
use super::entries::EntriesAnswer;

const SESSION_HEADER: &str = "shallotfork-session";
const KEY_HEADER: &str = "idempotency-key";
/// Delay before a retry when the answer has no `Retry-After`.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Error that prevents a caller from sending a request.
#[derive(Debug)]
pub enum CallerError {
    /// The HTTP client could not be built.
    Client(reqwest::Error),
    /// No entry returned a usable list of entries.
    NoEntry(String),
}

impl std::fmt::Display for CallerError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Client(error) => write!(f, "could not build the HTTP client: {error}"),
            Self::NoEntry(last) => write!(f, "no entry returned a usable list of entries: {last}"),
        }
    }
}

impl std::error::Error for CallerError {}

#[derive(Debug, Clone)]
struct CachedEntries {
    answer: EntriesAnswer,
    expires_at: Instant,
}

/// A caller with its own connections and its own cache of entry lists.
#[derive(Debug)]
pub struct Caller {
    config: CallerConfig,
    http: reqwest::Client,
    cache: Mutex<BTreeMap<ServiceName, CachedEntries>>,
}

impl Caller {
    /// Creates a caller with an empty cache.
    ///
    /// # Errors
    /// Returns an error if the HTTP client cannot be built.
    pub fn new(config: CallerConfig) -> Result<Self, CallerError> {
        let http = plain_client(config.timeout).map_err(CallerError::Client)?;
        Ok(Self { config, http, cache: Mutex::default() })
    }

    /// Returns the entries to use for `service`, from the cache or, once that has expired, from an
    /// entry.
    ///
    /// # Errors
    /// Returns an error if no entry answers.
    pub async fn entries(&self, service: &ServiceName) -> Result<EntriesAnswer, CallerError> {
        let mut cache = self.cache.lock().await;
        let cached = cache.get(service);
        if let Some(cached) = cached.filter(|cached| Instant::now() < cached.expires_at) {
            return Ok(cached.answer.clone());
        }
        let mut last_error = "no entry address is known".to_owned();
        for entry in self.entry_candidates(cached) {
            match self.fetch_entries(entry, service).await {
                Ok(answer) => {
                    let expires_at = Instant::now() + Duration::from_millis(answer.keep_for_ms);
                    cache.insert(
                        service.clone(),
                        CachedEntries { answer: answer.clone(), expires_at },
                    );
                    return Ok(answer);
                }
                Err(error) => last_error = format!("{entry}: {error}"),
            }
        }
        Err(CallerError::NoEntry(last_error))
    }

    /// Removes the cached entries of `service`, as a restart of the caller does.
    pub async fn forget(&self, service: &ServiceName) {
        self.cache.lock().await.remove(service);
    }

    /// Sends a request, retrying through the next entry while it fails and a retry is safe.
    ///
    /// # Errors
    /// Returns an error if no entry returns a usable list of entries.
    pub async fn call(&self, call: &Call) -> Result<Report, CallerError> {
        let mut report = Report { attempts: Vec::new(), session: None, answer: None };
        for number in 0..self.config.attempts_max {
            let available = self.entries(&call.service).await?;
            if available.entries.is_empty() {
                return Err(CallerError::NoEntry("the list of entries is empty".to_owned()));
            }
            if report.session.is_none() {
                report.session = session_for(call, &available);
            }
            if call.key.is_some() && report.session.is_none() {
                self.expire_entries(&call.service).await;
                tokio::time::sleep(DEFAULT_RETRY_DELAY).await;
                continue;
            }
            let entry = available.entries[number % available.entries.len()].address;
            let delay = self.send_attempt(entry, call, &mut report).await;
            let Some(delay) = delay else {
                break;
            };
            if call.session.is_none() && report.is_proved_not_run() {
                report.session = None;
                self.expire_entries(&call.service).await;
            }
            tokio::time::sleep(delay.min(self.config.retry_delay_max)).await;
        }
        Ok(report)
    }

    /// Expires the cached entries of `service`, so that the next attempt fetches a new list. The
    /// entries of the old list are asked first.
    async fn expire_entries(&self, service: &ServiceName) {
        if let Some(cached) = self.cache.lock().await.get_mut(service) {
            cached.expires_at = Instant::now();
        }
    }

    /// Sends a request through one entry, without retries.
    pub async fn send_to(&self, entry: Endpoint, call: &Call) -> Report {
        let session = call.session.clone();
        let mut report = Report { attempts: Vec::new(), session, answer: None };
        let _ = self.send_attempt(entry, call, &mut report).await;
        report
    }

    /// Makes one attempt. Returns the delay before a retry, or `None` if there must be no retry.
    async fn send_attempt(
        &self,
        entry: Endpoint,
        call: &Call,
        report: &mut Report,
    ) -> Option<Duration> {
        match self.send_request(entry, call, report.session.as_deref()).await {
            Ok(answer) => {
                report.attempts.push(attempt(entry, Ok(&answer)));
                let delay = retry_delay(call, &answer);
                report.answer = Some(answer);
                delay
            }
            Err(error) => {
                report.attempts.push(attempt(entry, Err(&error)));
                call.may_resend().then_some(Duration::ZERO)
            }
        }
    }

    async fn send_request(
        &self,
        entry: Endpoint,
        call: &Call,
        session: Option<&str>,
    ) -> Result<Answer, reqwest::Error> {
        let mut request = self
            .http
            .request(call.method.clone(), format!("http://{entry}{}", call.path))
            .headers(call.headers.clone())
            .header(HOST, call.service.as_str())
            .body(call.body.clone());
        if let Some(key) = &call.key {
            request = request.header(KEY_HEADER, key.as_str());
        }
        if let Some(session) = session {
            request = request.header(SESSION_HEADER, session);
        }
        let response = request.send().await?;
        let status = response.status().as_u16();
        let headers: HeaderMap = response.headers().clone();
        let body = response.bytes().await?;
        Ok(Answer::new(status, headers, body))
    }

    /// Returns the entries to fetch a list from: those of the cached list first, then those of the
    /// settings.
    fn entry_candidates(&self, cached: Option<&CachedEntries>) -> Vec<Endpoint> {
        let cached = cached.into_iter().flat_map(|cached| &cached.answer.entries);
        let mut candidates: Vec<Endpoint> = cached.map(|entry| entry.address).collect();
        for entry in &self.config.entries {
            if !candidates.contains(entry) {
                candidates.push(*entry);
            }
        }
        candidates
    }

    async fn fetch_entries(
        &self,
        entry: Endpoint,
        service: &ServiceName,
    ) -> Result<EntriesAnswer, reqwest::Error> {
        let mut url = format!("http://{entry}/v1/entries?service={service}");
        if let Some(domain) = &self.config.failure_domain {
            url.push_str(&format!("&failure_domain={domain}"));
        }
        let response = self.http.get(url).send().await?;
        response.error_for_status()?.json().await
    }
}

/// Builds an HTTP client that follows no redirects, uses no proxies and makes no retries.
///
/// # Errors
/// Returns an error if the client cannot be built.
pub fn plain_client(timeout: Duration) -> Result<reqwest::Client, reqwest::Error> {
    reqwest::Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
        .timeout(timeout)
        .build()
}

fn attempt(entry: Endpoint, outcome: Result<&Answer, &reqwest::Error>) -> Attempt {
    Attempt {
        entry,
        status: outcome.ok().map(|answer| answer.status),
        verdict: outcome.ok().and_then(|answer| answer.verdict),
        error: outcome.err().map(|error| format!("{error:?}")),
    }
}

/// Returns the session for a request with an idempotency key.
///
/// All attempts of such a request use the same session, because the same key under another session
/// identifies another operation. The session may change only while every attempt is proved not to
/// have run.
fn session_for(call: &Call, available: &EntriesAnswer) -> Option<String> {
    call.key.as_ref()?;
    call.session.clone().or_else(|| available.session.clone())
}

/// Returns the delay before a retry, or `None` if a retry is unsafe or cannot succeed.
fn retry_delay(call: &Call, answer: &Answer) -> Option<Duration> {
    let verdict = answer.verdict?;
    if answer.is_success() || !is_transient(answer.status) {
        return None;
    }
    let safe = verdict == Verdict::NotRun || (verdict == Verdict::MayHaveRun && call.may_resend());
    let retry_after = answer.retry_after_s.map(Duration::from_secs);
    safe.then(|| retry_after.unwrap_or(DEFAULT_RETRY_DELAY))
}

/// Returns whether a failure with this status is transient. An invalid request is not: it fails
/// again on every retry.
fn is_transient(status: u16) -> bool {
    let conflict = StatusCode::CONFLICT.as_u16();
    let too_many = StatusCode::TOO_MANY_REQUESTS.as_u16();
    status >= 500 || status == conflict || status == too_many
}
