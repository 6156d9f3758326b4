//! Forwards requests to other entries while this one reaches no target.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, Request, StatusCode, Uri};
use http_body_util::Full;
use shallotfork_balance::{Shed, ShedReason};
use shallotfork_exchange::{AttemptFailure, BufferedAnswer, ConnectionPurpose, TargetRequest};
use shallotfork_fleet::{AdvertisedEntry, forwarding_order};
use shallotfork_types::{TargetId, Verdict};

use crate::context::{Context, lock};
use crate::traffic::answer_owner::answer_owner;
use crate::traffic::answer_room::expected_answer_size;
use crate::traffic::request_outcome::RequestOutcome;
use crate::traffic::routed_request::RoutedRequest;
use crate::transfer::{TransferKind, message_bytes};

/// Marks a request that another entry has forwarded, by the name of that entry. Such a request is
/// not forwarded again, so that it cannot circulate between entries.
pub const FORWARDED_HEADER: HeaderName = HeaderName::from_static("shallotfork-forwarded-by");
/// Maximum number of entries to which a connection is tried for one request.
const FORWARD_ENTRIES_MAX: usize = 3;
/// Time after which a caller may try again if no entry reaches a target: a few checks of the path.
const NO_PATH_RETRY_AFTER: Duration = Duration::from_millis(750);

/// Whether the request is to be forwarded now.
pub fn should_forward(routed: &RoutedRequest) -> bool {
    let context = &routed.context;
    let is_allowed = !routed.is_forwarded && !context.fleet.load().fallback.is_empty();
    is_allowed && context.is_isolated()
}

/// Waits until the request is to be forwarded.
pub async fn wait_until_forwarded(routed: &RoutedRequest) {
    let mut isolated = routed.context.isolated.subscribe();
    while !should_forward(routed) {
        if isolated.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

/// Returns the rejection of a request that no attempt can serve now.
pub fn reject_without_path(context: &Context) -> Option<Shed> {
    let is_hopeless = lock(&context.path_monitor).is_hopeless(context.clock.now());
    is_hopeless.then_some(Shed { retry_after: NO_PATH_RETRY_AFTER, reason: ShedReason::NoPath })
}

/// Sends a request to another entry, which sends it to a target. Returns `None` if no other entry
/// could be connected to, so that nothing was sent.
pub async fn forward(routed: &RoutedRequest) -> Option<RequestOutcome> {
    let context = &routed.context;
    let fallback = context.fleet.load().fallback.clone();
    let number = context.forwarded_count.fetch_add(1, Ordering::Relaxed);
    let order = forwarding_order(&fallback, &context.settings.failure_domain, number);
    for entry in order.into_iter().take(FORWARD_ENTRIES_MAX) {
        match send_to(routed, entry).await {
            Ok(answer) => return Some(RequestOutcome::Answered(answer)),
            Err(failure) if failure.verdict() == Verdict::NotRun => {}
            Err(_) => {
                let timed_out = routed.remaining(context.clock.now()).is_zero();
                return Some(RequestOutcome::MayHaveRun { timed_out });
            }
        }
    }
    None
}

async fn send_to(
    routed: &RoutedRequest,
    entry: &AdvertisedEntry,
) -> Result<BufferedAnswer, AttemptFailure> {
    let context = &routed.context;
    let timeout = routed.remaining(context.clock.now());
    let request = build_request(routed, timeout);
    let owner = |_status: StatusCode, headers: &HeaderMap| {
        answer_owner(context, &routed.request_id, headers)
    };
    // Names of VMs are valid ids of targets, and these connections have a pool of their own.
    let id = TargetId::new(entry.vm.as_str()).expect("the name of a VM is a valid id");
    let domain = &entry.failure_domain;
    let sent_bytes = message_bytes(request.headers(), routed.request.body.len());
    TransferKind::Requests.record_bytes(domain, sent_bytes);
    let target_request = TargetRequest {
        target: &id,
        endpoint: entry.callers,
        request,
        timeout,
        expected_size: expected_answer_size(routed),
        repeatable: routed.is_idempotent(),
        answer_match: &owner,
        purpose: ConnectionPurpose::Request,
        on_opened: &|| {},
    };
    let result = context.entry_connections.send(target_request).await;
    if let Ok(answer) = &result {
        TransferKind::Answers
            .record_bytes(domain, message_bytes(&answer.headers, answer.body.len()));
    }
    result
}

/// Builds the request as the caller sent it, with the remaining time.
fn build_request(routed: &RoutedRequest, remaining: Duration) -> Request<Full<Bytes>> {
    let original = &routed.request;
    let mut request = Request::new(Full::new(original.body.clone()));
    *request.method_mut() = original.method.clone();
    *request.uri_mut() = Uri::from(original.path_and_query.clone());
    *request.headers_mut() = original.headers.clone();
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    let headers = request.headers_mut();
    let names = &routed.context.dialect.headers;
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(remaining_ms));
    let vm = HeaderValue::try_from(routed.context.settings.vm.as_str());
    headers.insert(FORWARDED_HEADER, vm.expect("the name of a VM is a valid header value"));
    request
}
