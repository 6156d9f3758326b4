//! Sends planned requests at their arrival times.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use super::arrivals::Arrival;
use super::outcome::Measured;
use super::scenario::Scenario;
use crate::caller::{Call, Caller, Report};
use crate::target::SERVICE_US_HEADER;
use shallotfork_types::Verdict;

const DEADLINE_HEADER: &str = "shallotfork-deadline-ms";
/// How long to wait for answers after the last arrival.
const DRAIN_LIMIT: Duration = Duration::from_secs(10);

/// Outcome of one request.
enum Outcome {
    Good,
    Rejected,
    Failed,
}

struct FinishedRequest {
    arrival: Arrival,
    outcome: Outcome,
    latency: Duration,
    send_lag: Duration,
}

/// Sends every request at its planned time after `begin` and waits for the outcomes.
///
/// Latency counts from the planned time, so that it includes the delay of a request that was sent
/// late because the system or this process was slow.
///
/// # Errors
/// Returns an error if the histogram cannot be created.
pub async fn open_loop(
    scenario: &Scenario,
    planned: &[Arrival],
    callers: &[Arc<Caller>],
    begin: Instant,
) -> anyhow::Result<Measured> {
    let (sender, mut finished) = mpsc::unbounded_channel();
    for arrival in planned {
        tokio::time::sleep_until(begin + arrival.at).await;
        let caller = Arc::clone(&callers[arrival.caller % callers.len()]);
        let sending = send(scenario.clone(), *arrival, caller, begin);
        let sender = sender.clone();
        tokio::spawn(async move {
            let _collected = sender.send(sending.await);
        });
    }
    drop(sender);
    let mut measured = Measured::new(scenario.length - scenario.warm_up)?;
    let limit = Instant::now() + DRAIN_LIMIT;
    while let Ok(Some(request)) = tokio::time::timeout_at(limit, finished.recv()).await {
        record_request(&mut measured, scenario, &request);
    }
    Ok(measured)
}

async fn send(
    scenario: Scenario,
    arrival: Arrival,
    caller: Arc<Caller>,
    begin: Instant,
) -> FinishedRequest {
    let due = begin + arrival.at;
    let send_lag = due.elapsed();
    let call = Call::get(scenario.service.name, "/card")
        .with_header(SERVICE_US_HEADER, &arrival.work.as_micros().to_string())
        .with_header(DEADLINE_HEADER, &scenario.deadline.as_millis().to_string());
    let report = caller.call(&call).await;
    let latency = due.elapsed();
    let outcome =
        report.map_or(Outcome::Failed, |report| classify(&report, latency, scenario.deadline));
    FinishedRequest { arrival, outcome, latency, send_lag }
}

fn classify(report: &Report, latency: Duration, deadline: Duration) -> Outcome {
    if report.success().is_some() && latency <= deadline {
        return Outcome::Good;
    }
    let is_rejected = report.verdict() == Some(Verdict::NotRun);
    if is_rejected { Outcome::Rejected } else { Outcome::Failed }
}

fn record_request(measured: &mut Measured, scenario: &Scenario, request: &FinishedRequest) {
    if request.arrival.at < scenario.warm_up {
        return;
    }
    measured.requests += 1;
    let lag_us = u64::try_from(request.send_lag.as_micros()).unwrap_or(u64::MAX);
    measured.send_lag_max_us = measured.send_lag_max_us.max(lag_us);
    match request.outcome {
        Outcome::Good => {
            measured.good += 1;
            measured.record(request.latency);
        }
        Outcome::Rejected => measured.refused += 1,
        Outcome::Failed => {
            measured.failed += 1;
            measured.record(request.latency.max(scenario.deadline));
        }
    }
}
