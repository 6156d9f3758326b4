//! Leaves out targets whose answers do not end.

use metrics::counter;
use shallotfork_events::{TARGET_EXCLUDED, event};
use shallotfork_exchange::{AttemptFailure, BufferedAnswer, FailureCause};
use shallotfork_statements::TargetRun;
use shallotfork_types::Mono;

use crate::context::{Context, lock};
use crate::millis::millis;

/// Counts an answer that does not end. Its target is left out if that is not the first one.
pub fn record_endless_answer(
    context: &Context,
    run: &TargetRun,
    result: &Result<BufferedAnswer, AttemptFailure>,
) {
    let cause = result.as_ref().err().map(AttemptFailure::cause);
    if cause != Some(&FailureCause::AnswerEndless) {
        return;
    }
    counter!("shallotfork_endless_answers", "target" => run.target.to_string()).increment(1);
    let excluded_until = lock(&context.faulty_targets).record_fault(run, context.clock.now());
    if let Some(until) = excluded_until {
        exclude_target(context, run, until, "own");
    }
}

/// Sends no requests to a target until `until`. `source` is `own` for an answer to this process and
/// `peer` for a report from a peer.
pub fn exclude_target(context: &Context, run: &TargetRun, until: Mono, source: &str) {
    let changed = lock(&context.rests).record(run, until);
    for (_, slots) in context.services.all() {
        changed.into_iter().for_each(|until| slots.set_rest(&run.target, until));
    }
    context.target_connections.close_idle(&run.target);
    event!(context.log, TARGET_EXCLUDED,
        "target" => run.target.as_str(),
        "source" => source,
        "excluded_ms" => millis(until.since(context.clock.now())));
}
