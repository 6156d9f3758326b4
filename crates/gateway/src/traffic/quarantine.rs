//! Applies the quarantine to the requests of callers.

use metrics::counter;
use shallotfork_balance::{Shed, ShedReason};
use shallotfork_events::{REQUEST_QUARANTINED, TARGET_CRASHED, event};
use shallotfork_quarantine::{Admission, RequestFingerprint, SendKind};
use shallotfork_types::{Mono, TargetId};

use crate::context::{Context, lock};
use crate::traffic::routed_request::RoutedRequest;

/// Guard for a run of a suspected request. This process starts no other run of the request until
/// the guard is dropped.
#[must_use]
pub struct SuspectRun<'a> {
    context: &'a Context,
    fingerprint: RequestFingerprint,
}

impl Drop for SuspectRun<'_> {
    fn drop(&mut self) {
        lock(&self.context.quarantine).end_run(self.fingerprint);
    }
}

/// Checks whether a request may be sent. Returns a guard for the run if the request is suspected.
///
/// # Errors
/// Returns the rejection if the request is quarantined, or suspected and must not be sent yet.
pub fn begin_run(routed: &RoutedRequest, send: SendKind) -> Result<Option<SuspectRun<'_>>, Shed> {
    let context = &routed.context;
    let Some(fingerprint) = fingerprint_if_needed(routed) else { return Ok(None) };
    let mut quarantine = lock(&context.quarantine);
    match quarantine.admit(fingerprint, send, context.clock.now()) {
        Admission::Clear => Ok(None),
        Admission::Suspected => {
            quarantine.begin_run(fingerprint);
            Ok(Some(SuspectRun { context, fingerprint }))
        }
        Admission::Quarantined { remaining } => {
            Err(Shed { retry_after: remaining, reason: ShedReason::Quarantined })
        }
        Admission::Deferred { retry_after } => {
            Err(Shed { retry_after, reason: ShedReason::Suspected })
        }
    }
}

/// Whether a request is neither suspected nor quarantined.
pub fn is_clear(routed: &RoutedRequest) -> bool {
    fingerprint_if_needed(routed).is_none_or(|fingerprint| {
        let now = routed.context.clock.now();
        let quarantine = lock(&routed.context.quarantine);
        quarantine.admit(fingerprint, SendKind::First, now) == Admission::Clear
    })
}

/// Returns the request's fingerprint; `None` while there are no records, to avoid hashing requests.
fn fingerprint_if_needed(routed: &RoutedRequest) -> Option<RequestFingerprint> {
    let has_records = !lock(&routed.context.quarantine).is_empty();
    has_records.then(|| routed.fingerprint())
}

/// Records and logs that a target crashed while running a request that was sent to it at `sent_at`.
pub fn record_crash(routed: &RoutedRequest, target: &TargetId, sent_at: Mono) {
    let context = &routed.context;
    let (fingerprint, now) = (routed.fingerprint(), context.clock.now());
    let mut quarantine = lock(&context.quarantine);
    let Some(crashes) = quarantine.record_crash(fingerprint, sent_at, now) else { return };
    let admission = quarantine.admit(fingerprint, SendKind::First, now);
    drop(quarantine);
    counter!("shallotfork_target_crashes").increment(1);
    event!(context.log, TARGET_CRASHED,
        "request" => &routed.request_id,
        "fingerprint" => fingerprint.to_string(),
        "route" => routed.route.name.as_str(),
        "path" => routed.request.path_and_query.path(),
        "service" => routed.service.as_str(),
        "target" => target.as_str(),
        "crashes" => crashes,
    );
    if matches!(admission, Admission::Quarantined { .. }) {
        log_quarantined(context, fingerprint, "own");
    }
}

/// Records that a target answered the request.
pub fn record_answer(routed: &RoutedRequest) {
    if let Some(fingerprint) = fingerprint_if_needed(routed) {
        lock(&routed.context.quarantine).record_answer(fingerprint, routed.context.clock.now());
    }
}

/// Logs that a request was quarantined. `source` is `own` for crashes that this process observed
/// and `peer` for a report from a peer.
pub fn log_quarantined(context: &Context, fingerprint: RequestFingerprint, source: &str) {
    event!(context.log, REQUEST_QUARANTINED,
        "fingerprint" => fingerprint.to_string(), "source" => source);
}
