//! Probes of targets whose load is not known from traffic.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use shallotfork_exchange::{
    Attempt, AttemptFailure, BufferedAnswer, BufferedRequest, ControlHeaders, TargetAddress,
};
use shallotfork_measure::{
    FleetShare, MeasuredTarget, ProbeBudget, ProbeOutcome, ProbePermit, ProbeScheduler,
};
use shallotfork_platform::TargetInfo;
use shallotfork_timer::{Schedule, TimerService};
use shallotfork_types::{TargetId, Verdict};

use crate::context::Context;
use crate::control::state::State;
use crate::control::target_changes::target_changes;
use crate::snapshot::Service;
use crate::traffic::load_report;

/// Interval at which due probes are sent.
const PROBE_PERIOD: Duration = Duration::from_millis(100);
/// Age below which a target's last load report makes a probe unnecessary.
const REPORT_FRESH_FOR: Duration = Duration::from_millis(500);
/// Timeout for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Creates the probe scheduler from the settings.
pub fn new_probe_scheduler(context: &Context) -> ProbeScheduler {
    let settings = &context.settings;
    let share = FleetShare::new(settings.vm.probe_share, settings.vm.probe_shares)
        .expect("settings were checked: the share is below the number of shares");
    let measure = &settings.measure;
    let budget = ProbeBudget { share: measure.probe_budget, probe_cost: measure.probe_cost };
    ProbeScheduler::new(budget, share, REPORT_FRESH_FOR)
}

/// Sends due probes for as long as the process runs.
pub async fn run_probes(state: Rc<State>, timer: TimerService) {
    let mut subscription =
        timer.subscribe(Schedule::new(PROBE_PERIOD).with_jitter(PROBE_PERIOD / 5));
    while subscription.tick().await.is_some() {
        for (service, target) in due_probes(&state) {
            tokio::task::spawn_local(probe(Rc::clone(&state), service, target));
        }
    }
}

/// Returns the targets that may be probed now, with their services.
fn due_probes(state: &State) -> Vec<(Arc<Service>, TargetId)> {
    let snapshot = state.context.snapshot();
    let mut scheduler = state.probe_scheduler.borrow_mut();
    let previous = state.probed_snapshot.replace(Arc::clone(&snapshot));
    if !Arc::ptr_eq(&previous, &snapshot) {
        let changes = target_changes(&previous, &snapshot);
        let removed: Vec<TargetId> =
            changes.removed.iter().map(|target| target.id.clone()).collect();
        let present: Vec<MeasuredTarget> = changes.present.iter().map(to_measured_target).collect();
        scheduler.change_targets(&removed, &present, state.context.clock.now());
    }
    for service in snapshot.services.values().filter(|service| service.pool.take_attempt_ended()) {
        record_traffic_answers(&mut scheduler, service);
    }
    let due = scheduler.due(state.context.clock.now());
    let with_service = |id: TargetId| {
        let service =
            snapshot.services.values().find(|service| service.targets.by_id.contains_key(&id));
        service.map(|service| (Arc::clone(service), id))
    };
    due.into_iter().filter_map(with_service).collect()
}

fn to_measured_target(target: &&TargetInfo) -> MeasuredTarget {
    MeasuredTarget { id: target.id.clone(), slots: target.slots }
}

/// Records the answers and load reports that traffic received from the service's targets.
fn record_traffic_answers(scheduler: &mut ProbeScheduler, service: &Service) {
    for target in service.pool.status() {
        if let Some(at) = target.last_seen_at {
            scheduler.record_answer(&target.id, false, at);
        }
        if let Some(at) = target.reported_at {
            scheduler.record_answer(&target.id, true, at);
        }
    }
}

/// Sends one probe if it is still permitted at the time of sending.
async fn probe(state: Rc<State>, service: Arc<Service>, id: TargetId) {
    let Some(target) = service.targets.by_id.get(&id) else { return };
    let context = &state.context;
    let Some(attempt) = attempt(context, target) else { return };
    let permit = state.probe_scheduler.borrow_mut().try_acquire(&id, context.clock.now());
    let Some(permit) = permit else { return };
    state.probes_sent.update(|sent| sent + 1);
    let result = context.exchange.send(attempt).await;
    record_outcome(&state, permit, &result);
    if let Some(report) = result.as_ref().ok().and_then(load_report) {
        service.pool.record_load(&id, report);
    }
}

fn record_outcome(
    state: &State,
    permit: ProbePermit,
    result: &Result<BufferedAnswer, AttemptFailure>,
) {
    let outcome = match result {
        Ok(_) => ProbeOutcome::Settled,
        Err(failure) if failure.verdict() == Verdict::NotRun => ProbeOutcome::Settled,
        Err(_) => ProbeOutcome::Unanswered,
    };
    state.probe_scheduler.borrow_mut().release(permit, outcome, state.context.clock.now());
}

fn attempt(
    context: &Context,
    target: &TargetInfo,
) -> Option<Attempt<shallotfork_exchange::Unsent>> {
    let request = BufferedRequest {
        method: Method::GET,
        path_and_query: context.settings.measure.probe_path.as_str().parse().ok()?,
        service: target.service.clone(),
        headers: HeaderMap::new(),
        control: ControlHeaders::default(),
        body: Bytes::new(),
    };
    let address = TargetAddress::new(target.endpoint).with_http2(target.http2);
    let deadline = context.clock.now().plus(PROBE_TIMEOUT);
    Some(Attempt::new(address, Arc::new(request), deadline))
}
