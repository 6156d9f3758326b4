//! Sends planned requests on time.

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
/// How long answers are awaited after the last arrival.
const DRAIN_LIMIT: Duration = Duration::from_secs(10);

/// How one request ended.
enum End {
    Good,
    Refused,
    Failed,
}

struct Ended {
    arrival: Arrival,
    end: End,
    latency: Duration,
    send_lag: Duration,
}

/// Sends every request at its planned time, measured from `begin`, and waits for the ends.
///
/// Latency counts from the planned time: a request that was sent late because the system or this
/// process was slow is late all the same.
///
/// # Errors
/// When the histogram can't be made.
pub async fn open_loop(
    scenario: &Scenario,
    planned: &[Arrival],
    callers: &[Arc<Caller>],
    begin: Instant,
) -> anyhow::Result<Measured> {
    let (ends, mut ended) = mpsc::unbounded_channel();
    for arrival in planned {
        tokio::time::sleep_until(begin + arrival.at).await;
        let caller = Arc::clone(&callers[arrival.caller % callers.len()]);
        let sending = send(scenario.clone(), *arrival, caller, begin);
        let ends = ends.clone();
        tokio::spawn(async move {
            let _collected = ends.send(sending.await);
        });
    }
    drop(ends);
    let mut measured = Measured::new(scenario.length - scenario.warm_up)?;
    let limit = Instant::now() + DRAIN_LIMIT;
    while let Ok(Some(ended)) = tokio::time::timeout_at(limit, ended.recv()).await {
        note(&mut measured, scenario, &ended);
    }
    Ok(measured)
}

async fn send(scenario: Scenario, arrival: Arrival, caller: Arc<Caller>, begin: Instant) -> Ended {
    let due = begin + arrival.at;
    let send_lag = due.elapsed();
    let call = Call::get(scenario.service.name, "/card")
        .with_header(SERVICE_US_HEADER, &arrival.work.as_micros().to_string())
        .with_header(DEADLINE_HEADER, &scenario.deadline.as_millis().to_string());
    let report = caller.call(&call).await;
    let latency = due.elapsed();
    let end = report.map_or(End::Failed, |report| end(&report, latency, scenario.deadline));
    Ended { arrival, end, latency, send_lag }
}

fn end(report: &Report, latency: Duration, deadline: Duration) -> End {
    if report.success().is_some() && latency <= deadline {
        return End::Good;
    }
    let refused = report.verdict() == Some(Verdict::NotRun);
    if refused { End::Refused } else { End::Failed }
}

fn note(measured: &mut Measured, scenario: &Scenario, ended: &Ended) {
    if ended.arrival.at < scenario.warm_up {
        return;
    }
    measured.requests += 1;
    let lag_us = u64::try_from(ended.send_lag.as_micros()).unwrap_or(u64::MAX);
    measured.send_lag_max_us = measured.send_lag_max_us.max(lag_us);
    match ended.end {
        End::Good => {
            measured.good += 1;
            measured.record(ended.latency);
        }
        End::Refused => measured.refused += 1,
        End::Failed => {
            measured.failed += 1;
            measured.record(ended.latency.max(scenario.deadline));
        }
    }
}
