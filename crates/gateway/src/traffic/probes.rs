//! Asks idle targets for their load, so that the next request is not sent blind.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, Uri};
use http_body_util::Full;
use metrics::counter;
use shallotfork_exchange::{AnswerOwner, LinkRequest};
use shallotfork_timer::{Schedule, TimerService};
use shallotfork_types::{ServiceName, TargetId};

use crate::context::Context;
use crate::traffic::judge::figures;
use crate::traffic::service_slots::ServiceSlots;

/// How often the pools are asked which targets to probe; a quarter of the age at which a report
/// is worth renewing.
const LOOK: Duration = Duration::from_millis(12);
/// An answer that takes longer says nothing about the present any more.
const TIMEOUT: Duration = Duration::from_millis(200);

/// Probes for as long as the process runs.
pub async fn probes(context: Arc<Context>, timer: TimerService) {
    let mut ticks = timer.subscribe(Schedule::new(LOOK));
    while ticks.tick().await.is_some() {
        // An entry that callers are not sent to serves a few requests with old addresses; were all
        // entries to probe for these, probing would cost more than the requests.
        if !context.fleet.load().active {
            continue;
        }
        for (service, slots) in context.services.all() {
            for target in slots.due_probes() {
                let probe =
                    probe(Arc::clone(&context), service.clone(), Arc::clone(&slots), target);
                tokio::spawn(probe);
            }
        }
    }
}

async fn probe(
    context: Arc<Context>,
    service: ServiceName,
    slots: Arc<ServiceSlots>,
    target: TargetId,
) {
    let published = context.published.load_full();
    let Some(entry) = published.targets.get(&target) else { return };
    let Some(table) = &published.table else { return };
    let Some(spec) = table.services().get(&service) else { return };
    let Ok(uri) = spec.health_path.parse::<Uri>() else { return };
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = uri;
    let asked = LinkRequest {
        target: &target,
        endpoint: entry.endpoint,
        request,
        timeout: TIMEOUT,
        repeatable: true,
        owner: &|_: StatusCode, _: &HeaderMap| AnswerOwner::Own,
    };
    counter!("shallotfork_probes").increment(1);
    // A probe that fails says less than the next request; its target is simply not known better.
    let Ok(answer) = context.links.send(asked).await else { return };
    if let Some(figures) = figures(&context.dialect, &answer) {
        slots.report(&target, figures);
    }
}
