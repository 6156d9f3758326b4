//! The rule LOST around a SIGTERM, as RULES.md states it.

use std::thread;
use std::time::Duration;

use crate::deployment::Deployment;

/// Time limit of the callers and timeout of the routes; a request that took so long does not count.
const TIMEOUT_MS: u64 = 6000;

/// How one request of a caller ended.
#[derive(Debug)]
pub struct Outcome {
    pub id: String,
    pub sent_ms: u64,
    pub ended_ms: u64,
    /// Whether the caller has got a complete answer, whatever its status.
    pub is_complete: bool,
}

/// Counts the requests that were passed on to an upstream, and whose connection ended without a complete
/// answer although the upstream had answered.
///
/// None of the rule's excuses applies to these: the upstream did not break off, was not at work any more
/// in the last sixth of the grace time, and neither the time limit nor the timeout was reached.
pub fn count_lost(deployment: &Deployment, outcomes: &[Outcome], stopped_ms: Option<u64>) -> usize {
    // The upstreams' last records.
    thread::sleep(Duration::from_millis(200));
    let runs = deployment.runs.lock().unwrap().clone();
    let record = &deployment.record;
    let mut lost = 0;
    for outcome in outcomes {
        let Outcome { id, sent_ms, ended_ms, is_complete } = outcome;
        let own: Vec<_> = runs.iter().filter(|run| run.id == *id).collect();
        let begun = own.iter().map(|run| run.begun_ms).min();
        let answered = own.iter().filter_map(|run| run.ended_ms).min();
        let took_ms = ended_ms - sent_ms;
        let is_lost =
            !is_complete && answered.is_some_and(|at| at < *ended_ms) && took_ms < TIMEOUT_MS;
        lost += usize::from(is_lost);
        let show = |at: Option<u64>| at.map_or("never".to_owned(), |at| at.to_string());
        record.write(&format!(
            "{id}: sent {sent_ms}, passed on {}, run and answered by the upstream {}, ended for the caller {ended_ms}: {}",
            show(begun),
            show(answered),
            if *is_complete { "complete answer" } else if is_lost { "LOST" } else { "no answer, excused" },
        ));
    }
    let stopped = stopped_ms.map_or("no SIGTERM".to_owned(), |at| format!("SIGTERM at {at}"));
    record.say(&format!("{lost} of {} requests lost ({stopped})", outcomes.len()));
    lost
}
