//! Probes targets for their load before requests are sent to them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::HeaderMap;
use metrics::counter;
use shallotfork_events::{WARMUP_INVALID, event};
use shallotfork_exchange::ConnectionPurpose;
use shallotfork_types::TargetId;

use crate::context::Context;
use crate::log_budget::LogDecision;
use crate::traffic::attempt_outcome::parse_reported_load;
use crate::traffic::health_request::HealthRequest;
use crate::traffic::reach::record_silence;
use crate::traffic::service_slots::ServiceSlots;

/// Interval at which the pools are polled for targets to probe; half of the interval between two
/// probes of a target.
const POLL_INTERVAL: Duration = Duration::from_millis(12);
/// Time that a request waits for the answer to a probe before it goes to another target.
const PROMPT_ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
/// Time after which an unanswered probe counts as a failure of the target. Longer than a busy
/// target keeps a new connection waiting.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Probes targets and expires queued requests for as long as the process runs.
///
/// Polls only while requests wait: most entries of a large fleet serve none, and would needlessly
/// wake up eighty times a second.
pub async fn run_probes(context: Arc<Context>) {
    loop {
        let services = context.services.all();
        if services.iter().all(|(_, slots)| !slots.has_waiting()) {
            context.request_queued.notified().await;
            continue;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        services.iter().for_each(|(_, slots)| slots.expire());
        // An entry that is not advertised serves only the few callers with outdated addresses. If
        // all entries probed for these, the probes would cost more than the requests.
        if !context.fleet.load().is_advertised {
            continue;
        }
        for (_, slots) in services {
            for target in slots.due_probes() {
                let (context, slots) = (Arc::clone(&context), Arc::clone(&slots));
                tokio::spawn(async move { probe(&context, &slots, &target).await });
            }
        }
    }
}

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The target reported its load, which has been recorded in the service's slots.
    Reported,
    /// The target answered without reporting its load, or cannot be probed.
    NoLoad,
    /// The target has accepted a new connection but not answered on it yet: its slots are in use.
    Full,
    /// The target has not answered yet, or cannot be reached.
    Unanswered,
}

/// Probes one target for its load and waits a short time for the answer.
///
/// A later answer is still recorded, and its connection is kept. A busy target lets a new
/// connection wait until it has a slot. If each probe closed its connection after the short wait
/// and the next one opened another, most would never be answered, and each would cost CPU time on
/// both sides.
pub async fn probe(
    context: &Arc<Context>,
    slots: &Arc<ServiceSlots>,
    target: &TargetId,
) -> ProbeResult {
    // An answer that has arrived may wait for the scheduling delay until it is read.
    let timeout = PROMPT_ANSWER_TIMEOUT + context.scheduling_delay();
    let is_accepted = Arc::new(AtomicBool::new(false));
    let probe_task = {
        let (context, slots) = (Arc::clone(context), Arc::clone(slots));
        let target = target.clone();
        let is_accepted = Arc::clone(&is_accepted);
        tokio::spawn(async move { send_probe(&context, &slots, &target, &is_accepted).await })
    };
    match tokio::time::timeout(timeout, probe_task).await {
        Ok(Ok(result)) => {
            if result != ProbeResult::Unanswered {
                slots.record_prompt_probe();
            }
            result
        }
        // The task is cancelled only when the process ends.
        Ok(Err(_)) => ProbeResult::Unanswered,
        Err(_) => {
            slots.record_unanswered_probe(target);
            record_silence(context, target);
            context.probe_counts.record_unanswered();
            if is_accepted.load(Ordering::Relaxed) {
                ProbeResult::Full
            } else {
                ProbeResult::Unanswered
            }
        }
    }
}

/// Sends a probe to the target and records the answer. Sets `is_accepted` once a new connection has
/// been opened for the probe.
async fn send_probe(
    context: &Context,
    slots: &Arc<ServiceSlots>,
    target: &TargetId,
    is_accepted: &AtomicBool,
) -> ProbeResult {
    let Some(request) = HealthRequest::new(context, target) else { return ProbeResult::NoLoad };
    counter!("shallotfork_probes").increment(1);
    context.probe_counts.record_sent();
    let sent_at = context.clock.now();
    let result = request.send(context, PROBE_TIMEOUT, ConnectionPurpose::Probe, is_accepted).await;
    let Ok(answer) = result else {
        let delay = context.clock.now().since(sent_at).saturating_sub(PROBE_TIMEOUT);
        slots.record_failed_probe(target, delay);
        return ProbeResult::Unanswered;
    };
    record_warmup(context, slots, target, &answer.headers);
    match parse_reported_load(&context.dialect, &answer) {
        Some(reported_load) => {
            slots.record_load(target, reported_load);
            ProbeResult::Reported
        }
        None => {
            slots.record_probe_without_load(target);
            ProbeResult::NoLoad
        }
    }
}

/// Records for how long a target reports to stay cold. A target without this header may be cold or
/// warm.
fn record_warmup(context: &Context, slots: &ServiceSlots, target: &TargetId, headers: &HeaderMap) {
    let Some(value) = headers.get(&context.dialect.headers.warmup_remaining_ms) else { return };
    let remaining_ms = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    if let Some(remaining_ms) = remaining_ms {
        slots.record_cold_report(target, Duration::from_millis(remaining_ms));
    } else if let LogDecision::Write { left_out } =
        context.invalid_log_budget.try_acquire(context.clock.now())
    {
        event!(context.log, WARMUP_INVALID, "target" => target.as_str(), "left_out" => left_out);
    }
}
