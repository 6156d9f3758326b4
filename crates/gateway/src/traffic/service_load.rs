//! Tells once a second how full each service's slots are, how late this process is and what still
//! runs in evacuated failure domains, so that a refusal can be explained.

use std::sync::Arc;
use std::time::Duration;

use metrics::gauge;
use shallotfork_balance::SlotSummary;
use shallotfork_events::{BEHIND, EVACUATION_RUNNING, SERVICE_LOAD, TARGET_CONNECTIONS, event};
use shallotfork_exchange::OpenedConnections;
use shallotfork_timer::{Schedule, TimerService};
use shallotfork_types::ServiceName;

use crate::context::{Context, lock};
use crate::traffic::Probes;

/// Time between two lines of a service. A queue that matters lasts for longer, and one line for a
/// few services in a second is nothing beside the lines about requests.
const EVERY: Duration = Duration::from_secs(1);

/// Reports for as long as the process runs.
pub async fn service_load(context: Arc<Context>, timer: TimerService) {
    let mut ticks = timer.subscribe(Schedule::new(EVERY));
    let mut counts = TargetCounts::default();
    while ticks.tick().await.is_some() {
        report_lateness(&context);
        counts = report_connections(&context, counts);
        report_quarantine(&context);
        report_evacuations(&context);
        for (service, slots) in context.services.all() {
            report(&context, &service, &slots.summary());
        }
    }
}

fn report_lateness(context: &Context) {
    let late = context.late_by();
    gauge!("shallotfork_lateness_seconds").set(late.as_secs_f64());
    if !context.is_behind() {
        return;
    }
    event!(context.log, BEHIND,
        "late_ms" => u64::try_from(late.as_millis()).unwrap_or(u64::MAX),
        "connections" => context.callers.connections(),
        "in_flight" => context.callers.in_flight(),
    );
}

/// Connections and questions to targets since the process began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct TargetCounts {
    openings: OpenedConnections,
    probes: Probes,
}

/// Reports what was added since `before`; returns the counts of now.
fn report_connections(context: &Context, before: TargetCounts) -> TargetCounts {
    let now = TargetCounts {
        openings: context.links.opened_connections(),
        probes: context.probe_counts.read(),
    };
    if now != before {
        event!(context.log, TARGET_CONNECTIONS,
            "for_requests" => now.openings.requests - before.openings.requests,
            "for_probes" => now.openings.probes - before.openings.probes,
            "for_port_checks" => now.openings.port_checks - before.openings.port_checks,
            "probes" => now.probes.asked - before.probes.asked,
            "probes_silent" => now.probes.silent - before.probes.silent,
        );
    }
    now
}

fn report_quarantine(context: &Context) {
    let quarantined = lock(&context.quarantine).quarantined(context.clock.now());
    gauge!("shallotfork_quarantined_requests").set(quarantined as f64);
}

fn report_evacuations(context: &Context) {
    let evacuated = Arc::clone(&context.published.load().evacuated);
    let services = context.services.all();
    let mut running_in_all = 0;
    for evacuation in evacuated.values() {
        let domain = &evacuation.failure_domain;
        let running: usize = services.iter().map(|(_, slots)| slots.running_in(domain)).sum();
        running_in_all += running;
        if running == 0 {
            continue;
        }
        let since = context.clock.now().since(evacuation.learned_at);
        event!(context.log, EVACUATION_RUNNING,
            "failure_domain" => domain.as_str(),
            "revision" => evacuation.revision.value(),
            "since_ms" => u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
            "running" => running,
        );
    }
    gauge!("shallotfork_evacuated_domains").set(evacuated.len() as f64);
    gauge!("shallotfork_evacuated_running").set(running_in_all as f64);
}

fn report(context: &Context, service: &ServiceName, load: &SlotSummary) {
    let label = service.to_string();
    gauge!("shallotfork_queued", "service" => label.clone()).set(load.queued as f64);
    gauge!("shallotfork_running", "service" => label.clone()).set(load.running as f64);
    gauge!("shallotfork_free_slots", "service" => label).set(load.free_slots as f64);
    if load.queued == 0 {
        return;
    }
    event!(context.log, SERVICE_LOAD,
        "service" => service.as_str(),
        "queued" => load.queued,
        "running" => load.running,
        "serving" => load.serving,
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
