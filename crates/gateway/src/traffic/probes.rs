//! Asks targets for their load, so that requests are not sent blind.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, Uri};
use http_body_util::Full;
use metrics::counter;
use shallotfork_events::{WARMUP_INVALID, event};
use shallotfork_exchange::{AnswerMatch, ConnectionPurpose, TargetRequest};
use shallotfork_types::{Endpoint, FailureDomain, ServiceName, TargetId};

use crate::carried::{Carried, message_bytes};
use crate::context::Context;
use crate::line_budget::LineLeave;
use crate::traffic::judge::figures;
use crate::traffic::service_slots::ServiceSlots;

/// How often the pools are asked which targets to probe; half of the time between two probes of a
/// target.
const LOOK: Duration = Duration::from_millis(12);
/// A request that waits longer for the answer is sent elsewhere.
const PROMPT: Duration = Duration::from_millis(50);
/// A target that has not answered after this time is taken to have failed. Above the time for which
/// a busy target keeps a new connection waiting.
const TIMEOUT: Duration = Duration::from_millis(1000);

/// Probes, and ends waits that have lasted long enough, for as long as the process runs.
///
/// Looks only while requests wait: most entries of a large fleet serve none, and would wake up eighty
/// times a second for nothing.
pub async fn probes(context: Arc<Context>) {
    loop {
        let services = context.services.all();
        if services.iter().all(|(_, slots)| !slots.has_waiting()) {
            context.waits.notified().await;
            continue;
        }
        tokio::time::sleep(LOOK).await;
        services.iter().for_each(|(_, slots)| slots.expire());
        // An entry that callers are not sent to serves a few requests with old addresses; were all
        // entries to probe for these, probing would cost more than the requests.
        if !context.fleet.load().active {
            continue;
        }
        for (service, slots) in services {
            for target in slots.due_probes() {
                let (context, slots) = (Arc::clone(&context), Arc::clone(&slots));
                let service = service.clone();
                tokio::spawn(async move { probe(&context, &service, &slots, &target).await });
            }
        }
    }
}

/// What a probe brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probed {
    /// The target told its load, which its service's slots know now.
    Reported,
    /// It answered without telling its load, or can't be asked.
    Untold,
    /// It has accepted a new connection and has not answered on it yet: its slots are taken.
    Full,
    /// It has not answered yet, or can't be reached.
    Silent,
}

/// Asks one target for its load and waits a short time for the answer.
///
/// One that comes later still counts, and its connection is kept. A busy target lets a new connection
/// wait until it has a slot; closed after the short time and opened anew for each question, most of
/// them would never be answered, while each takes processor time on both sides.
pub async fn probe(
    context: &Arc<Context>,
    service: &ServiceName,
    slots: &Arc<ServiceSlots>,
    target: &TargetId,
) -> Probed {
    // An answer that has come may wait that long until it is read.
    let patience = PROMPT + context.late_by();
    let is_accepted = Arc::new(AtomicBool::new(false));
    let asking = {
        let (context, slots) = (Arc::clone(context), Arc::clone(slots));
        let (service, target) = (service.clone(), target.clone());
        let is_accepted = Arc::clone(&is_accepted);
        tokio::spawn(async move { ask(&context, &service, &slots, &target, &is_accepted).await })
    };
    match tokio::time::timeout(patience, asking).await {
        Ok(Ok(probed)) => {
            if probed != Probed::Silent {
                slots.answered_soon();
            }
            probed
        }
        // The task ends early only with the process.
        Ok(Err(_)) => Probed::Silent,
        Err(_) => {
            slots.unanswered(target);
            context.probe_counts.silent();
            if is_accepted.load(Ordering::Relaxed) { Probed::Full } else { Probed::Silent }
        }
    }
}

/// Asks the target and takes its answer whenever it comes. Sets `is_accepted` once a new connection
/// has been opened for the question.
async fn ask(
    context: &Context,
    service: &ServiceName,
    slots: &Arc<ServiceSlots>,
    target: &TargetId,
    is_accepted: &AtomicBool,
) -> Probed {
    let Some(Health { endpoint, domain, uri }) = health(context, service, target) else {
        return Probed::Untold;
    };
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = uri;
    Carried::Questions.count(&domain, message_bytes(request.headers(), 0));
    let asked = TargetRequest {
        target,
        endpoint,
        request,
        timeout: TIMEOUT,
        repeatable: true,
        answer_match: &|_: StatusCode, _: &HeaderMap| AnswerMatch::Match,
        purpose: ConnectionPurpose::Probe,
        on_opened: &|| is_accepted.store(true, Ordering::Relaxed),
    };
    counter!("shallotfork_probes").increment(1);
    context.probe_counts.asked();
    let asked_at = context.clock.now();
    let Ok(answer) = context.links.send(asked).await else {
        let late_by = context.clock.now().since(asked_at).saturating_sub(TIMEOUT);
        slots.probe_failed(target, late_by);
        return Probed::Silent;
    };
    Carried::Questions.count(&domain, message_bytes(&answer.headers, answer.body.len()));
    note_warmup(context, slots, target, &answer.headers);
    match figures(&context.dialect, &answer) {
        Some(figures) => {
            slots.report(target, figures);
            Probed::Reported
        }
        None => {
            slots.probe_answered(target);
            Probed::Untold
        }
    }
}

/// Takes how much longer a target says it is cold. One that does not say may be either.
fn note_warmup(context: &Context, slots: &ServiceSlots, target: &TargetId, headers: &HeaderMap) {
    let Some(value) = headers.get(&context.dialect.headers.warmup_remaining_ms) else { return };
    let remaining_ms = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    if let Some(remaining_ms) = remaining_ms {
        slots.told_cold_for(target, Duration::from_millis(remaining_ms));
    } else if let LineLeave::Write { left_out } = context.invalid_lines.ask(context.clock.now()) {
        event!(context.log, WARMUP_INVALID, "target" => target.as_str(), "left_out" => left_out);
    }
}

/// Where a target tells its health.
struct Health {
    endpoint: Endpoint,
    domain: FailureDomain,
    uri: Uri,
}

fn health(context: &Context, service: &ServiceName, target: &TargetId) -> Option<Health> {
    let published = context.published.load();
    let entry = published.targets.get(target)?;
    let spec = published.table.as_ref()?.services().get(service)?;
    let uri = spec.health_path.parse().ok()?;
    Some(Health { endpoint: entry.endpoint, domain: entry.failure_domain.clone(), uri })
}
