//! Checks whether this process reaches targets, and acts on a lost or restored path.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use futures::future::join_all;
use rand::seq::IndexedRandom;
use shallotfork_events::{PATH_LOST, PATH_RESTORED, event};
use shallotfork_exchange::{ConnectionPurpose, FailureCause};
use shallotfork_reachability::{CheckOutcome, PathChange};
use shallotfork_roster::Availability;
use shallotfork_statements::TargetRun;
use shallotfork_types::{Mono, TargetId};

use crate::context::{Context, lock};
use crate::traffic::health_request::HealthRequest;

/// Time in which a target must answer a check: the timeout for opening a connection and a few round
/// trips.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of other targets to connect to when one seems to have crashed.
const COMPARED_TARGETS: usize = 3;

/// Requests a check of the path to the targets, unless it has been proved recently.
pub fn request_path_check(context: &Context) {
    lock(&context.path_monitor).request_check(context.clock.now());
    context.path_suspected.notify_one();
}

/// Checks the path to the targets whenever there are signs of its loss, and at intervals until it is
/// restored, for as long as the process runs.
pub async fn run_path_checks(context: Arc<Context>) {
    loop {
        let known = context.published.load().targets.len();
        let wait = lock(&context.path_monitor).next_check_in(known, context.clock.now());
        match wait {
            None => context.path_suspected.notified().await,
            Some(wait) if !wait.is_zero() => tokio::time::sleep(wait).await,
            Some(_) => check_path(&context).await,
        }
    }
}

/// Whether this process reaches other targets than the one whose connection it lost at `lost_at`.
///
/// A target that resets its connections and refuses new ones has crashed only if others do not do so
/// as well. Without others there is nothing to compare with.
pub async fn reaches_other_targets(context: &Context, target: &TargetId, lost_at: Mono) -> bool {
    if lock(&context.path_monitor).has_other_answered(target, lost_at) {
        return true;
    }
    let others: Vec<TargetId> =
        checkable_targets(context).into_iter().filter(|other| other != target).collect();
    let compared = others.sample(&mut rand::rng(), COMPARED_TARGETS);
    let outcomes = join_all(compared.map(|other| check_target(context, other))).await;
    outcomes.is_empty() || outcomes.contains(&CheckOutcome::Answered)
}

/// Returns the targets to which a check can be sent and does no harm: those that take work for a known
/// service and neither limit their requests nor are cold, leaving or at rest.
fn checkable_targets(context: &Context) -> Vec<TargetId> {
    let published = context.published.load();
    let rate_limits = lock(&context.rate_limits);
    let (leaving_targets, rests) = (lock(&context.leaving_targets), lock(&context.rests));
    let now = context.clock.now();
    let is_checkable = |id: &TargetId| {
        published.targets.get(id).is_some_and(|record| {
            let run = TargetRun::new(id.clone(), record.started_at_ms);
            let table = published.table.as_ref();
            table.is_some_and(|table| table.services().contains_key(&record.service))
                && record.availability == Availability::Serving
                && record.cold_for.is_zero()
                && !published.evacuated.contains_key(&record.failure_domain)
                && rate_limits.limit(id).is_none()
                && !leaving_targets.is_leaving(&run)
                && rests.resting_until(&run, now).is_none()
        })
    };
    let mut targets: Vec<TargetId> =
        published.targets.keys().filter(|id| is_checkable(id)).cloned().collect();
    targets.sort();
    targets
}

async fn check_path(context: &Context) {
    let targets = checkable_targets(context);
    let checked = lock(&context.path_monitor).begin_check(&targets, context.clock.now());
    let outcomes = join_all(checked.iter().map(|target| check_target(context, target))).await;
    let change = lock(&context.path_monitor).finish_check(&outcomes, context.clock.now());
    match change {
        Some(PathChange::Lost) => {
            event!(context.log, PATH_LOST, "checked" => outcomes.len(),
                "failed" => outcomes.iter().filter(|outcome| **outcome == CheckOutcome::Failed).count());
            context.isolated.send_replace(true);
        }
        Some(PathChange::Restored { lasted }) => {
            event!(context.log, PATH_RESTORED,
                "lasted_ms" => u64::try_from(lasted.as_millis()).unwrap_or(u64::MAX));
            // Failures of the path say nothing about the targets.
            context.services.all().iter().for_each(|(_, slots)| slots.clear_failures());
            context.target_connections.close_idle_for(lasted);
            context.isolated.send_replace(false);
        }
        None => {}
    }
}

/// Sends a health request on a new connection.
async fn check_target(context: &Context, target: &TargetId) -> CheckOutcome {
    let Some(request) = HealthRequest::new(context, target) else { return CheckOutcome::Failed };
    // An answer that has arrived may wait for the scheduling delay until it is read.
    let timeout = CHECK_TIMEOUT + context.scheduling_delay();
    let is_opened = AtomicBool::new(false);
    let result = request.send(context, timeout, ConnectionPurpose::PathCheck, &is_opened).await;
    let is_opened = is_opened.into_inner();
    match result {
        Ok(_) => CheckOutcome::Answered,
        Err(failure) if is_opened && *failure.cause() == FailureCause::Timeout => {
            CheckOutcome::Silent
        }
        Err(_) => CheckOutcome::Failed,
    }
}
