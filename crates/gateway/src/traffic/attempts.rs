//! Sends a request to targets until one answers or no further attempt is allowed.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::{Either, select};
use http::header::HeaderValue;
use http::{HeaderMap, Request, StatusCode, Uri};
use http_body_util::Full;
use shallotfork_balance::{RetryAllowance, Shed, SlotOutcome};
use shallotfork_events::{ATTEMPT_FAILED, event};
use shallotfork_exchange::{
    AnswerMatch, AttemptFailure, BufferedAnswer, ConnectionPurpose, TargetRequest,
};
use shallotfork_quarantine::SendKind;
use shallotfork_types::{Endpoint, FailureDomain, Permille, TargetId, Verdict};

use crate::carried::{Carried, message_bytes};
use crate::context::Context;
use crate::traffic::job::Job;
use crate::traffic::judge::{
    AttemptEnd, attempt_end, figures, slot_outcome, target_may_have_crashed,
};
use crate::traffic::probes::{Probed, probe};
use crate::traffic::quarantine::{begin_run, is_clear, note_answer, note_crash};
use crate::traffic::rate_limit::note_rate_limit;
use crate::traffic::service_slots::{Assigned, ServiceSlots};

/// Targets that may prove to be out of reach before a request is given up. Nothing arrives there,
/// so that they count against no limit on attempts.
const UNREACHED_MAX: u32 = 4;
/// Multiple of the usual time after which a request is sent a second time.
const HEDGE_FACTOR: f64 = 3.0;
/// Targets that are asked for their pace before one request is sent without asking.
const CHECKS_MAX: u32 = 4;
/// Shortest such time, while little has been measured.
const HEDGE_AFTER_MIN: Duration = Duration::from_millis(200);
/// Longest wait for a target's port to refuse a connection after an attempt has failed.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// The part of the fleet's allowance that the active entry takes. Callers are sent to one entry,
/// and at a change to a second one for as long as they keep an old answer: twice this is less than
/// the whole.
const ACTIVE_SHARE: Permille = Permille::new(450);

/// How a request ended.
#[derive(Debug)]
pub enum Ended {
    /// A target's answer.
    Answered(BufferedAnswer),
    /// No slot came in time; nothing was sent.
    Refused(Shed),
    /// Nothing that was sent has run.
    NotRun(Shed),
    /// It may have run.
    MayHaveRun {
        /// Whether the time ran out.
        timed_out: bool,
    },
    /// Its caller left before it was sent, or sent once more.
    CallerLeft,
}

/// How a request went, for the log.
#[derive(Debug)]
pub struct Course {
    /// How it ended.
    pub ended: Ended,
    /// The targets that it was sent to, in order.
    pub tried: Vec<TargetId>,
    /// Time spent waiting for slots.
    pub queued: Duration,
}

impl Course {
    /// The process ends before the request does.
    pub fn cut_short() -> Self {
        let ended = Ended::MayHaveRun { timed_out: true };
        Self { ended, tried: Vec::new(), queued: Duration::ZERO }
    }

    /// When the caller is told to come back.
    pub fn retry_after(&self) -> Option<Duration> {
        match &self.ended {
            Ended::Refused(shed) | Ended::NotRun(shed) => Some(shed.retry_after),
            Ended::Answered(_) | Ended::MayHaveRun { .. } | Ended::CallerLeft => None,
        }
    }
}

/// Serves a request.
pub async fn attempts(job: &Job) -> Course {
    let context = &job.context;
    let slots = context.slots(&job.service);
    slots.count_request();
    let mut trial = Trial::default();
    loop {
        // Refuses a request that may not be sent before it waits for a slot.
        if let Err(shed) = begin_run(job, trial.next_send_kind()) {
            return trial.end_refused(shed);
        }
        let asked_at = context.clock.now();
        let place = checked_place(job, &slots, &trial).await;
        trial.queued += context.clock.now().since(asked_at);
        let assigned = match place {
            Ok(assigned) => assigned,
            Err(shed) => return trial.end_refused(shed),
        };
        if job.caller.is_closed() {
            return trial.end(Ended::CallerLeft);
        }
        // Checks again: other runs may have started or ended while the request waited.
        let run = match begin_run(job, trial.next_send_kind()) {
            Ok(run) => run,
            Err(shed) => return trial.end_refused(shed),
        };
        let end = attempt_hedged(job, assigned, &mut trial).await;
        drop(run);
        if let AttemptEnd::Answered(answer) = end {
            note_answer(job);
            return trial.end(Ended::Answered(answer));
        }
        let reached = !matches!(end, AttemptEnd::Unreached);
        let again = trial.take(end, job)
            // A connection that could not be opened has brought nothing to any target.
            && (!reached || slots.try_repeat(repeat_allowance(context)));
        if !again || job.left(context.clock.now()).is_zero() {
            return trial.finish(job);
        }
    }
}

/// A slot at a target that has just said that it is neither slow nor full.
///
/// A request is refused when all targets that were asked are full. Sent to one of them it would wait
/// there, and with many entries that do so the targets stay full long after a burst.
///
/// Targets share hosts with neighbours that slow them down for a fraction of a second at a time; a
/// run keeps the pace at which it began. Reports with earlier answers are too old to tell.
async fn checked_place(
    job: &Job,
    slots: &Arc<ServiceSlots>,
    trial: &Trial,
) -> Result<Assigned, Shed> {
    let ask = job.ask(&trial.avoided);
    let mut full = 0;
    for _ in 0..CHECKS_MAX {
        let assigned = slots.admit(ask.clone()).await?;
        let target = assigned.target().clone();
        if !slots.wants_check(&target) {
            return Ok(assigned);
        }
        match probe(&job.context, &job.service, slots, &target).await {
            Probed::Reported if !assigned.is_unfit(&ask) => return Ok(assigned),
            Probed::Full => full += 1,
            Probed::Reported | Probed::Silent => {}
            Probed::Untold => {
                slots.untold();
                return Ok(assigned);
            }
        }
    }
    if full == CHECKS_MAX
        && let Some(shed) = slots.shed_full()
    {
        return Err(shed);
    }
    slots.admit(ask).await
}

/// What is known so far of a request's attempts.
#[derive(Debug, Default)]
struct Trial {
    /// Targets that the request was sent to.
    tried: Vec<TargetId>,
    /// Targets that must not be chosen again.
    avoided: Vec<TargetId>,
    unreached: u32,
    queued: Duration,
    may_have_run: bool,
    /// A target's own failure, to be passed on when nothing better comes.
    error: Option<BufferedAnswer>,
}

impl Trial {
    fn start(&mut self, assigned: &Assigned) {
        self.tried.push(assigned.target().clone());
        self.avoided.push(assigned.target().clone());
    }

    fn next_send_kind(&self) -> SendKind {
        if self.tried.is_empty() { SendKind::First } else { SendKind::Retry }
    }

    /// Whether the route allows one more target.
    fn has_attempt_left(&self, job: &Job) -> bool {
        let attempts = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        attempts < job.route.attempts_max && self.unreached < UNREACHED_MAX
    }

    /// Takes the end of an attempt without a final answer; whether another may be made.
    fn take(&mut self, end: AttemptEnd, job: &Job) -> bool {
        match end {
            AttemptEnd::Unreached => {
                self.tried.pop();
                self.unreached += 1;
            }
            AttemptEnd::NotRun => {}
            AttemptEnd::Lost => self.may_have_run = true,
            AttemptEnd::Errored(answer) => {
                self.may_have_run = true;
                self.error = Some(answer);
            }
            AttemptEnd::Answered(_) => return false,
        }
        self.has_attempt_left(job) && (!self.may_have_run || job.is_repeatable())
    }

    fn end(self, ended: Ended) -> Course {
        Course { ended, tried: self.tried, queued: self.queued }
    }

    /// No slot came for the first or a further attempt.
    fn end_refused(mut self, shed: Shed) -> Course {
        if let Some(error) = self.error.take() {
            return self.end(Ended::Answered(error));
        }
        if self.may_have_run {
            return self.end(Ended::MayHaveRun { timed_out: false });
        }
        self.end(Ended::Refused(shed))
    }

    /// No further attempt is made.
    fn finish(mut self, job: &Job) -> Course {
        if let Some(error) = self.error.take() {
            return self.end(Ended::Answered(error));
        }
        if self.may_have_run {
            let timed_out = job.left(job.context.clock.now()).is_zero();
            return self.end(Ended::MayHaveRun { timed_out });
        }
        let shed = job.context.slots(&job.service).shed();
        self.end(Ended::NotRun(shed))
    }
}

/// Sends the request and, when its target takes far longer than usual, also to a second one.
///
/// Guards against targets that hang or have gone silent: without it their requests end at the
/// route's timeout although other targets are free. Only idempotent requests are sent twice. The
/// first answer wins; dropping the other attempt closes its connection, so that its work ends.
async fn attempt_hedged(job: &Job, assigned: Assigned, trial: &mut Trial) -> AttemptEnd {
    trial.start(&assigned);
    let first = pin!(attempt(job, assigned));
    if !job.is_repeatable() || !trial.has_attempt_left(job) || !is_clear(job) {
        return first.await;
    }
    let slots = job.context.slots(&job.service);
    let patience = slots.usual_time(&job.class()).mul_f64(HEDGE_FACTOR).max(HEDGE_AFTER_MIN);
    let first = match select(first, pin!(tokio::time::sleep(patience))).await {
        Either::Left((end, _)) => return end,
        Either::Right(((), first)) => first,
    };
    let Some(second) = slots.spare(&job.ask(&trial.avoided)) else { return first.await };
    if job.caller.is_closed() || !is_clear(job) || !slots.try_repeat(repeat_allowance(&job.context))
    {
        return first.await;
    }
    trial.start(&second);
    match select(first, pin!(attempt(job, second))).await {
        Either::Left((end, other)) => better(end, other).await,
        Either::Right((end, other)) => better(end, other).await,
    }
}

/// The end of the attempt that ended first if it is an answer, else that of the other one.
async fn better(end: AttemptEnd, other: impl Future<Output = AttemptEnd>) -> AttemptEnd {
    match end {
        AttemptEnd::Answered(_) => end,
        _ => match other.await {
            // Whatever the last one proves, the first one may have run.
            AttemptEnd::Unreached | AttemptEnd::NotRun => AttemptEnd::Lost,
            last => last,
        },
    }
}

/// Sends the request to one target.
async fn attempt(job: &Job, assigned: Assigned) -> AttemptEnd {
    let context = &job.context;
    let target = assigned.target().clone();
    let place = place_of(context, &target);
    let sent_at = context.clock.now();
    let timeout = job.left(sent_at);
    let (Some((endpoint, domain)), Some(request)) = (place, outgoing(job, &target, timeout)) else {
        // The target left, or its failure domain was evacuated, between choice and sending.
        return AttemptEnd::Unreached;
    };
    let owner = |_status: StatusCode, headers: &HeaderMap| owner(context, &job.request_id, headers);
    let repeatable = job.is_repeatable();
    let asked = TargetRequest {
        target: &target,
        endpoint,
        request,
        timeout,
        repeatable,
        answer_match: &owner,
        purpose: ConnectionPurpose::Request,
        on_opened: &|| {},
    };
    let cold = assigned.sending();
    let sent_bytes = message_bytes(asked.request.headers(), job.request.body.len());
    Carried::Requests.count(&domain, sent_bytes);
    let result = context.links.send(asked).await;
    if let Ok(answer) = &result {
        Carried::Answers.count(&domain, message_bytes(&answer.headers, answer.body.len()));
    }
    let latency = context.clock.now().since(sent_at);
    let outcome = slot_outcome(&context.dialect, &result, latency);
    let figures = result.as_ref().ok().and_then(|answer| figures(&context.dialect, answer));
    if let Ok(answer) = &result
        && outcome != SlotOutcome::Misdirected
    {
        note_rate_limit(context, &target, answer);
    }
    assigned.finish(outcome, figures);
    let crashed = target_may_have_crashed(&result) && refuses_connections(job, endpoint).await;
    // Cold targets crash under more than they bear, whatever the request.
    if crashed && !cold {
        note_crash(job, &target, sent_at);
    }
    report(job, &target, &result, &AttemptReport { outcome, latency, crashed });
    attempt_end(&context.dialect, result)
}

/// Whether the target refuses connections; `false` if the check times out.
async fn refuses_connections(job: &Job, endpoint: Endpoint) -> bool {
    let timeout = job.left(job.context.clock.now()).min(CRASH_CHECK_TIMEOUT);
    let check = job.context.links.refuses_connections(endpoint);
    tokio::time::timeout(timeout, check).await.unwrap_or(false)
}

/// Details of an attempt that are logged in addition to its result.
struct AttemptReport {
    outcome: SlotOutcome,
    latency: Duration,
    /// Whether the connection failed and the target's port then refused a new one.
    crashed: bool,
}

/// Where a target is reached, and in which failure domain; `None` once it has left or its failure
/// domain is evacuated.
fn place_of(context: &Context, target: &TargetId) -> Option<(Endpoint, FailureDomain)> {
    let published = context.published.load();
    let entry = published.targets.get(target)?;
    let evacuated = published.evacuated.contains_key(&entry.failure_domain);
    (!evacuated).then(|| (entry.endpoint, entry.failure_domain.clone()))
}

/// Logs an attempt that brought no answer to pass on.
fn report(
    job: &Job,
    target: &TargetId,
    result: &Result<BufferedAnswer, AttemptFailure>,
    attempt: &AttemptReport,
) {
    let AttemptReport { outcome, latency, crashed } = attempt;
    if matches!(outcome, SlotOutcome::Answered { .. }) {
        return;
    }
    let (verdict, cause) = match result {
        Ok(answer) => (Verdict::Ran, format!("status {}", answer.status.as_u16())),
        Err(failure) => (failure.verdict(), failure.cause().to_string()),
    };
    event!(job.context.log, ATTEMPT_FAILED,
        "request" => &job.request_id,
        "service" => job.service.as_str(),
        "target" => target.as_str(),
        "outcome" => format!("{outcome:?}"),
        "cause" => cause,
        "verdict" => verdict.as_str(),
        "crashed" => crashed,
        "fingerprint" => crashed.then(|| job.fingerprint().to_string()).unwrap_or_default(),
        "took_ms" => u64::try_from(latency.as_millis()).unwrap_or(u64::MAX),
    );
}

/// The request for one target: what is left of the deadline, and who alone may run it.
fn outgoing(job: &Job, target: &TargetId, left: Duration) -> Option<Request<Full<Bytes>>> {
    let names = &job.context.dialect.headers;
    let whole = &job.request;
    let uri = Uri::from(whole.path_and_query.clone());
    let mut request = Request::new(Full::new(whole.body.clone()));
    *request.method_mut() = whole.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = whole.headers.clone();
    let left_ms = u64::try_from(left.as_millis()).ok()?;
    let headers = request.headers_mut();
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
    headers.insert(names.expected_target.clone(), HeaderValue::try_from(target.as_str()).ok()?);
    Some(request)
}

/// Whose answer it is: targets echo the id of the request that they answer.
///
/// An answer without any id is taken to be the own one only if it is a failure: a success must
/// prove to whom it belongs.
fn owner(context: &Context, request_id: &str, headers: &HeaderMap) -> AnswerMatch {
    let echoed = headers.get(&context.dialect.headers.request_id);
    match echoed {
        Some(id) if id.as_bytes() == request_id.as_bytes() => AnswerMatch::Match,
        Some(_) => AnswerMatch::Mismatch,
        None if headers.contains_key(&context.dialect.headers.signature) => AnswerMatch::Mismatch,
        None => AnswerMatch::Match,
    }
}

/// How many repeated sends this process may make, such that all entries together keep the bound.
///
/// Requests of callers count where they are made, so that each process may use its own share of
/// them. What is allowed beside that share is the fleet's: the active entry takes a bit less than
/// half, if it sees most of the fleet, so that two entries that both believe to be active keep the
/// bound together; every other entry takes an equal part of the rest.
fn repeat_allowance(context: &Context) -> RetryAllowance {
    let settings = &context.settings;
    let fleet = context.fleet.load();
    let whole = u64::from(settings.retry_extra);
    let all_active = ACTIVE_SHARE.of(whole);
    let active = all_active / (fleet.named.len().max(1) as u64);
    let others = (whole - 2 * all_active) / (fleet.known.max(1) as u64);
    let extra = if fleet.active && fleet.sees_most() { active } else { others };
    RetryAllowance { share: settings.retry_share, extra: u32::try_from(extra).unwrap_or(0) }
}
