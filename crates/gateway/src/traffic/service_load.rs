//! Reports once a second the use of each service's slots, the scheduling delay of this process and
//! the requests still running in evacuated failure domains, so that rejections can be explained.

use std::sync::Arc;
use std::time::Duration;

use metrics::gauge;
use shallotfork_balance::SlotSummary;
use shallotfork_events::{
    CONNECTIONS_EVICTED, EVACUATION_RUNNING, LARGE_ANSWERS, OVERLOADED, SERVICE_LOAD,
    TARGET_CONNECTIONS, event,
};
use shallotfork_exchange::OpenedConnections;
use shallotfork_timer::{Schedule, TimerService};
use shallotfork_types::{Bytes, ServiceName};

use crate::context::{Context, lock};
use crate::traffic::ProbeTotals;
use crate::traffic::reach::report_reach;

/// Interval between two log lines about a service. A relevant queue lasts longer than this, and one
/// line a second for each of a few services adds little to the lines about requests.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Reports load and scheduling delay for as long as the process runs.
pub async fn report_service_load(context: Arc<Context>, timer: TimerService) {
    let mut ticks = timer.subscribe(Schedule::new(REPORT_INTERVAL));
    let mut counts = TargetCounts::default();
    let (mut refused_count, mut evicted_count) = (0, 0);
    while ticks.tick().await.is_some() {
        report_scheduling_delay(&context);
        counts = report_connections(&context, counts);
        report_quarantine(&context);
        refused_count = report_large_answers(&context, refused_count);
        evicted_count = report_caller_connections(&context, evicted_count);
        report_reach(&context);
        report_evacuations(&context);
        for (service, slots) in context.services.all() {
            slots.update_rejections();
            slots.report_share();
            report_slots(&context, &service, &slots.summary());
        }
    }
}

fn report_scheduling_delay(context: &Context) {
    let delay = context.scheduling_delay();
    gauge!("shallotfork_lateness_seconds").set(delay.as_secs_f64());
    if !context.is_overloaded() {
        return;
    }
    event!(context.log, OVERLOADED,
        "late_ms" => u64::try_from(delay.as_millis()).unwrap_or(u64::MAX),
        "connections" => context.callers.connections(),
        "in_flight" => context.callers.in_flight(),
    );
}

/// Connections opened and probes sent to targets since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct TargetCounts {
    connections: OpenedConnections,
    probes: ProbeTotals,
}

/// Logs the connections and probes since `before`. Returns the current counts.
fn report_connections(context: &Context, before: TargetCounts) -> TargetCounts {
    let now = TargetCounts {
        connections: context.target_connections.opened_connections(),
        probes: context.probe_counts.read(),
    };
    if now != before {
        event!(context.log, TARGET_CONNECTIONS,
            "for_requests" => now.connections.requests - before.connections.requests,
            "for_probes" => now.connections.probes - before.connections.probes,
            "for_port_checks" => now.connections.port_checks - before.connections.port_checks,
            "for_path_checks" => now.connections.path_checks - before.connections.path_checks,
            "probes" => now.probes.sent - before.probes.sent,
            "probes_silent" => now.probes.unanswered - before.probes.unanswered,
        );
    }
    now
}

/// Reports the connections of callers. Returns the number of those that gave way so far.
fn report_caller_connections(context: &Context, evicted_before: u64) -> u64 {
    let connections = &context.connections;
    let (memory, evicted_count) = (connections.memory(), connections.evicted_count());
    gauge!("shallotfork_lingering_connections").set(context.callers.lingering() as f64);
    gauge!("shallotfork_connection_bytes").set(memory.value() as f64);
    gauge!("shallotfork_connections_evicted").set(evicted_count as f64);
    if evicted_count == evicted_before {
        return evicted_count;
    }
    event!(context.log, CONNECTIONS_EVICTED,
        "evicted" => evicted_count - evicted_before,
        "connections" => context.callers.connections(),
        "memory_bytes" => memory.value(),
        "memory_max_bytes" => context.settings.connection_budget.value(),
        "connections_max" => context.settings.connections_max,
        "body_bytes" => context.body_budget.held().value(),
    );
    evicted_count
}

fn report_quarantine(context: &Context) {
    let quarantined = lock(&context.quarantine).quarantined(context.clock.now());
    gauge!("shallotfork_quarantined_requests").set(quarantined as f64);
}

/// Reports the room for large answers. Returns the number of requests refused so far.
fn report_large_answers(context: &Context, refused_before: u64) -> u64 {
    let large_answers = &context.large_answers;
    let (room, refused_count) = large_answers.summary();
    let bytes = |state: &'static str, size: Bytes| {
        gauge!("shallotfork_large_answer_bytes", "state" => state).set(size.value() as f64);
    };
    bytes("reserved", room.reserved);
    bytes("held", room.held);
    gauge!("shallotfork_large_answers_waiting").set(room.waiting as f64);
    gauge!("shallotfork_body_bytes").set(context.body_budget.held().value() as f64);
    if room.waiting == 0 && refused_count == refused_before {
        return refused_count;
    }
    event!(context.log, LARGE_ANSWERS,
        "waiting" => room.waiting,
        "refused" => refused_count - refused_before,
        "reservations" => room.reservations,
        "reserved_bytes" => room.reserved.value(),
        "held_bytes" => room.held.value(),
        "memory_max_bytes" => large_answers.memory_max().value(),
    );
    refused_count
}

fn report_evacuations(context: &Context) {
    let evacuated = Arc::clone(&context.published.load().evacuated);
    let services = context.services.all();
    let mut running_total = 0;
    for evacuation in evacuated.values() {
        let domain = &evacuation.failure_domain;
        let running: usize = services.iter().map(|(_, slots)| slots.running_in(domain)).sum();
        running_total += running;
        if running == 0 {
            continue;
        }
        let elapsed = context.clock.now().since(evacuation.learned_at);
        event!(context.log, EVACUATION_RUNNING,
            "failure_domain" => domain.as_str(),
            "revision" => evacuation.position.revision().value(),
            "since_ms" => u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            "running" => running,
        );
    }
    gauge!("shallotfork_evacuated_domains").set(evacuated.len() as f64);
    gauge!("shallotfork_evacuated_running").set(running_total as f64);
}

fn report_slots(context: &Context, service: &ServiceName, load: &SlotSummary) {
    let label = service.to_string();
    gauge!("shallotfork_queued", "service" => label.clone()).set(load.queued as f64);
    gauge!("shallotfork_running", "service" => label.clone()).set(load.running as f64);
    gauge!("shallotfork_free_slots", "service" => label.clone()).set(load.free_slots as f64);
    gauge!("shallotfork_targets_in_subset", "service" => label.clone()).set(load.subset as f64);
    gauge!("shallotfork_random_rejections", "service" => label)
        .set(f64::from(u8::from(load.rejects_at_random)));
    if load.queued == 0 {
        return;
    }
    event!(context.log, SERVICE_LOAD,
        "service" => service.as_str(),
        "queued" => load.queued,
        "running" => load.running,
        "serving" => load.serving,
        "subset" => load.subset,
        "ejected" => load.ejected,
        "silent" => load.silent,
        "overdue" => load.overdue,
        "full" => load.full,
        "free_slots" => load.free_slots,
        "crowding_permille" => (load.saturation_slowdown * 1000.0) as u64,
        "mean_pace_permille" => (load.mean_slowdown * 1000.0) as u64,
        "usual_ms" => u64::try_from(load.usual_time.as_millis()).unwrap_or(u64::MAX),
    );
}
