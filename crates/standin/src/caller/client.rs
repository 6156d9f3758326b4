//! Sends calls through entries and fails over between them.

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
/// Wait before a resend when the answer names none.
const RETRY_WAIT: Duration = Duration::from_millis(50);

/// When a caller can't send at all.
#[derive(Debug)]
pub enum CallerError {
    /// The HTTP client can't be built.
    Client(reqwest::Error),
    /// No entry answered which entries to use.
    NoEntry(String),
}

impl std::fmt::Display for CallerError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Client(error) => write!(f, "HTTP client: {error}"),
            Self::NoEntry(last) => write!(f, "no entry says which to use; the last one: {last}"),
        }
    }
}

impl std::error::Error for CallerError {}

#[derive(Debug, Clone)]
struct Held {
    answer: EntriesAnswer,
    until: Instant,
}

/// A caller with its own connections and kept answers.
#[derive(Debug)]
pub struct Caller {
    config: CallerConfig,
    http: reqwest::Client,
    held: Mutex<BTreeMap<ServiceName, Held>>,
}

impl Caller {
    /// A caller that has not asked yet.
    ///
    /// # Errors
    /// When the HTTP client can't be built.
    pub fn new(config: CallerConfig) -> Result<Self, CallerError> {
        let http = plain_client(config.timeout).map_err(CallerError::Client)?;
        Ok(Self { config, http, held: Mutex::default() })
    }

    /// The entries to use for `service`: the answer held, or a new one when that has run out.
    ///
    /// # Errors
    /// When no entry answers.
    pub async fn entries(&self, service: &ServiceName) -> Result<EntriesAnswer, CallerError> {
        let mut held = self.held.lock().await;
        let known = held.get(service);
        if let Some(known) = known.filter(|known| Instant::now() < known.until) {
            return Ok(known.answer.clone());
        }
        let mut last = "none is known".to_owned();
        for entry in self.ask_order(known) {
            match self.ask(entry, service).await {
                Ok(answer) => {
                    let until = Instant::now() + Duration::from_millis(answer.keep_for_ms);
                    held.insert(service.clone(), Held { answer: answer.clone(), until });
                    return Ok(answer);
                }
                Err(error) => last = format!("{entry}: {error}"),
            }
        }
        Err(CallerError::NoEntry(last))
    }

    /// Forgets the answer held for `service`, as a caller that was restarted does.
    pub async fn forget(&self, service: &ServiceName) {
        self.held.lock().await.remove(service);
    }

    /// Sends a call, through one entry after the other while it fails and a resend is safe.
    ///
    /// # Errors
    /// When no entry says which entries to use.
    pub async fn call(&self, call: &Call) -> Result<Report, CallerError> {
        let mut report = Report { attempts: Vec::new(), session: None, answer: None };
        for number in 0..self.config.attempts_max {
            let known = self.entries(&call.service).await?;
            if known.entries.is_empty() {
                return Err(CallerError::NoEntry("an empty list".to_owned()));
            }
            if report.session.is_none() {
                report.session = session_for(call, &known);
            }
            if call.key.is_some() && report.session.is_none() {
                self.expire(&call.service).await;
                tokio::time::sleep(RETRY_WAIT).await;
                continue;
            }
            let entry = known.entries[number % known.entries.len()].address;
            let wait = self.send_once(entry, call, &mut report).await;
            let Some(wait) = wait else {
                break;
            };
            if call.session.is_none() && report.is_proved_not_run() {
                report.session = None;
                self.expire(&call.service).await;
            }
            tokio::time::sleep(wait.min(self.config.retry_wait_max)).await;
        }
        Ok(report)
    }

    /// Asks again before the next send, first those that the last answer named.
    async fn expire(&self, service: &ServiceName) {
        if let Some(held) = self.held.lock().await.get_mut(service) {
            held.until = Instant::now();
        }
    }

    /// Sends a call to one entry, once.
    pub async fn send_to(&self, entry: Endpoint, call: &Call) -> Report {
        let session = call.session.clone();
        let mut report = Report { attempts: Vec::new(), session, answer: None };
        let _ = self.send_once(entry, call, &mut report).await;
        report
    }

    /// Sends once; gives the wait before a resend, or nothing when the call is settled.
    async fn send_once(
        &self,
        entry: Endpoint,
        call: &Call,
        report: &mut Report,
    ) -> Option<Duration> {
        match self.exchange(entry, call, report.session.as_deref()).await {
            Ok(answer) => {
                report.attempts.push(attempt(entry, Ok(&answer)));
                let wait = resend_wait(call, &answer);
                report.answer = Some(answer);
                wait
            }
            Err(error) => {
                report.attempts.push(attempt(entry, Err(&error)));
                call.may_resend().then_some(Duration::ZERO)
            }
        }
    }

    async fn exchange(
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

    /// Entries of the last answer first, then those of the settings.
    fn ask_order(&self, known: Option<&Held>) -> Vec<Endpoint> {
        let known = known.into_iter().flat_map(|held| &held.answer.entries);
        let mut order: Vec<Endpoint> = known.map(|entry| entry.address).collect();
        for entry in &self.config.entries {
            if !order.contains(entry) {
                order.push(*entry);
            }
        }
        order
    }

    async fn ask(
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

/// An HTTP client that does nothing on its own: no redirects, proxies or resends.
///
/// # Errors
/// When the client can't be built.
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

/// A keyed call stays with the session it was first sent with, as under another session the same
/// key names another operation; only when every send is proved not to have run may it change.
fn session_for(call: &Call, known: &EntriesAnswer) -> Option<String> {
    call.key.as_ref()?;
    call.session.clone().or_else(|| known.session.clone())
}

/// How long to wait before a resend that is safe and may help.
fn resend_wait(call: &Call, answer: &Answer) -> Option<Duration> {
    let verdict = answer.verdict?;
    if answer.is_success() || !is_passing(answer.status) {
        return None;
    }
    let safe = verdict == Verdict::NotRun || (verdict == Verdict::MayHaveRun && call.may_resend());
    let told = answer.retry_after_s.map(Duration::from_secs);
    safe.then(|| told.unwrap_or(RETRY_WAIT))
}

/// Whether a failure may be over soon; a request that is wrong stays wrong.
fn is_passing(status: u16) -> bool {
    let conflict = StatusCode::CONFLICT.as_u16();
    let too_many = StatusCode::TOO_MANY_REQUESTS.as_u16();
    status >= 500 || status == conflict || status == too_many
}
