//! Records and reports which targets this process reaches.

use metrics::gauge;
use shallotfork_events::{TARGETS_UNREACHABLE, event};
use shallotfork_exchange::{AttemptFailure, BufferedAnswer, FailureCause};
use shallotfork_reachability::ConnectionAge;
use shallotfork_types::TargetId;

use crate::context::{Context, lock};

/// Records whether an attempt or a probe has reached its target. `is_opened` states whether it has
/// opened a connection.
pub fn record_reach(
    context: &Context,
    target: &TargetId,
    is_opened: bool,
    result: &Result<BufferedAnswer, AttemptFailure>,
) {
    let now = context.clock.now();
    let connection = if is_opened { ConnectionAge::New } else { ConnectionAge::Kept };
    let mut monitor = lock(&context.path_monitor);
    match result.as_ref().map_err(AttemptFailure::cause) {
        Ok(_) => return monitor.record_answer(target, connection, now),
        Err(FailureCause::ConnectFailed) => {
            monitor.record_failure(target, ConnectionAge::New, now);
        }
        Err(FailureCause::ConnectionLost | FailureCause::Timeout) => {
            monitor.record_failure(target, connection, now);
        }
        // The other failures happen in this process, or after bytes have arrived.
        Err(_) => return,
    }
    drop(monitor);
    context.path_suspected.notify_one();
}

/// Records that a target has not answered a probe promptly.
pub fn record_silence(context: &Context, target: &TargetId) {
    lock(&context.path_monitor).record_silence(target, context.clock.now());
    context.path_suspected.notify_one();
}

/// Reports how many targets this process reaches; logs it while any of them is unreachable.
pub fn report_reach(context: &Context) {
    let known = context.published.load().targets.len();
    let summary = lock(&context.path_monitor).summary(known, context.clock.now());
    gauge!("shallotfork_targets", "reach" => "reachable").set(summary.reachable as f64);
    gauge!("shallotfork_targets", "reach" => "unreachable").set(summary.unreachable as f64);
    gauge!("shallotfork_targets", "reach" => "unknown").set(summary.unknown as f64);
    gauge!("shallotfork_isolated").set(f64::from(u8::from(context.is_isolated())));
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
