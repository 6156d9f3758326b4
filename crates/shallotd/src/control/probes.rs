//! Probes of targets whose load is not known from traffic.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use shallotfork_exchange::{
    Attempt, AttemptFailure, ControlHeaders, TargetAddress, WholeAnswer, WholeRequest,
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

/// How often due probes are looked for.
const PERIOD: Duration = Duration::from_millis(100);
/// A target whose last report is younger needs no probe.
const FRESH_FOR: Duration = Duration::from_millis(500);
/// Longest wait for a probe's answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The plan of a process that just started.
pub fn probe_plan(context: &Context) -> ProbeScheduler {
    let settings = &context.settings;
    let share = FleetShare::new(settings.vm.probe_share, settings.vm.probe_shares)
        .expect("settings were checked: the share is below the number of shares");
    let measure = &settings.measure;
    let budget = ProbeBudget { share: measure.probe_budget, probe_cost: measure.probe_cost };
    ProbeScheduler::new(budget, share, FRESH_FOR)
}

/// Probes for as long as the process runs.
pub async fn probes(state: Rc<State>, timer: TimerService) {
    let mut subscription = timer.subscribe(Schedule::new(PERIOD).with_jitter(PERIOD / 5));
    while subscription.tick().await.is_some() {
        for (service, target) in due(&state) {
            tokio::task::spawn_local(probe(Rc::clone(&state), service, target));
        }
    }
}

/// Serving targets that may be probed now.
fn due(state: &State) -> Vec<(Arc<Service>, TargetId)> {
    let snapshot = state.context.snapshot();
    let mut plan = state.probes.borrow_mut();
    let known = state.probed.replace(Arc::clone(&snapshot));
    if !Arc::ptr_eq(&known, &snapshot) {
        let changes = target_changes(&known, &snapshot);
        let gone: Vec<TargetId> = changes.gone.iter().map(|target| target.id.clone()).collect();
        let present: Vec<MeasuredTarget> = changes.present.iter().map(measured).collect();
        plan.change_targets(&gone, &present, state.context.clock.now());
    }
    for service in snapshot.services.values().filter(|service| service.pool.take_attempt_ended()) {
        learn(&mut plan, service);
    }
    let due = plan.due(state.context.clock.now());
    let owner = |id: TargetId| {
        let service =
            snapshot.services.values().find(|service| service.targets.by_id.contains_key(&id));
        service.map(|service| (Arc::clone(service), id))
    };
    due.into_iter().filter_map(owner).collect()
}

fn measured(target: &&TargetInfo) -> MeasuredTarget {
    MeasuredTarget { id: target.id.clone(), slots: target.slots }
}

/// Takes over what traffic has heard of the service's targets.
fn learn(plan: &mut ProbeScheduler, service: &Service) {
    for target in service.pool.status() {
        if let Some(at) = target.last_seen_at {
            plan.record_answer(&target.id, false, at);
        }
        if let Some(at) = target.reported_at {
            plan.record_answer(&target.id, true, at);
        }
    }
}

/// Sends one probe, if it is still allowed at the moment of sending.
async fn probe(state: Rc<State>, service: Arc<Service>, id: TargetId) {
    let Some(target) = service.targets.by_id.get(&id) else { return };
    let context = &state.context;
    let Some(attempt) = attempt(context, target) else { return };
    let taken = state.probes.borrow_mut().try_acquire(&id, context.clock.now());
    let Some(permit) = taken else { return };
    state.probes_sent.update(|sent| sent + 1);
    let result = context.exchange.send(attempt).await;
    finish(&state, permit, &result);
    if let Some(report) = result.as_ref().ok().and_then(load_report) {
        service.pool.record_load(&id, report);
    }
}

fn finish(state: &State, permit: ProbePermit, result: &Result<WholeAnswer, AttemptFailure>) {
    let end = match result {
        Ok(_) => ProbeOutcome::Settled,
        Err(failure) if failure.verdict() == Verdict::NotRun => ProbeOutcome::Settled,
        Err(_) => ProbeOutcome::Unanswered,
    };
    state.probes.borrow_mut().release(permit, end, state.context.clock.now());
}

fn attempt(
    context: &Context,
    target: &TargetInfo,
) -> Option<Attempt<shallotfork_exchange::Unsent>> {
    let request = WholeRequest {
        method: Method::GET,
        path_and_query: context.settings.measure.probe_path.as_str().parse().ok()?,
        service: target.service.clone(),
        headers: HeaderMap::new(),
        control: ControlHeaders::default(),
        body: Bytes::new(),
    };
    let address = TargetAddress::new(target.endpoint).with_http2(target.http2);
    let deadline = context.clock.now().plus(TIMEOUT);
    Some(Attempt::new(address, Arc::new(request), deadline))
}
