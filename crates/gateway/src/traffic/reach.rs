//! Records and reports which targets this process reaches.

use metrics::gauge;
use shallotfork_events::{TARGETS_UNREACHABLE, event};
use shallotfork_exchange::{AttemptFailure, BufferedAnswer, FailureCause};
use shallotfork_types::TargetId;

use crate::context::{Context, lock};

/// Records whether an attempt or a probe has reached its target.
pub fn record_reach(
    context: &Context,
    target: &TargetId,
    result: &Result<BufferedAnswer, AttemptFailure>,
) {
    let now = context.clock.now();
    let mut evidence = lock(&context.reach_evidence);
    match result.as_ref().map_err(AttemptFailure::cause) {
        Ok(_) => evidence.record_answer(target, now),
        Err(FailureCause::ConnectFailed | FailureCause::ConnectionLost | FailureCause::Timeout) => {
            evidence.record_failure(target, now);
        }
        // The other failures happen in this process, or after bytes have arrived.
        Err(_) => {}
    }
}

/// Reports how many targets this process reaches; logs it while any of them is unreachable.
pub fn report_reach(context: &Context) {
    let known = context.published.load().targets.len();
    let summary = lock(&context.reach_evidence).summary(known, context.clock.now());
    gauge!("shallotfork_targets", "reach" => "reachable").set(summary.reachable as f64);
    gauge!("shallotfork_targets", "reach" => "unreachable").set(summary.unreachable as f64);
    gauge!("shallotfork_targets", "reach" => "unknown").set(summary.unknown as f64);
    if summary.unreachable == 0 {
        return;
    }
    let last_answer_ms = summary
        .last_answer_age
        .map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
    event!(context.log, TARGETS_UNREACHABLE,
        "reachable" => summary.reachable,
        "unreachable" => summary.unreachable,
        "unknown" => summary.unknown,
        "last_answer_ms" => last_answer_ms,
    );
}
