//! Overload and faulty targets behind a running entry.

use std::time::{Duration, Instant};

use futures::future::join_all;
use shallotfork_standin::caller::{Call, Caller};
use shallotfork_standin::target::TargetFaults;
use shallotfork_tests::{Case, Running};
use shallotfork_types::{ServiceName, Verdict};

const SERVICE: &str = "recipe-desk";
const DEADLINE_MS: &str = "500";
const RULES: &str = "\
[insurers]
when.caller = insurer
then.priority = high
[everything]
then.deadline_ms = 5000
";

/// One entry in front of two targets that take 20 ms a request: 200 requests a second.
async fn start() -> anyhow::Result<Running> {
    Case::new()
        .with_service(SERVICE, 2)
        .with_rules(RULES)
        .with_target_option("--service-us", "20000")
        .start()
        .await
}

const CAPACITY_PER_S: f64 = 200.0;

/// Outcome of one request of an open loop.
struct Outcome {
    is_high_priority: bool,
    status: Option<u16>,
    verdict: Option<Verdict>,
    has_retry_after: bool,
    latency: Duration,
}

impl Outcome {
    fn succeeded(&self) -> bool {
        self.status == Some(200)
    }
}

/// Sends requests at a fixed rate regardless of earlier ones; every fifth one has high priority.
async fn open_loop(running: &Running, rate: f64, count: u32) -> anyhow::Result<Vec<Outcome>> {
    let caller = running.caller()?;
    let entry = running.caller_addresses()[0];
    let service: ServiceName = SERVICE.parse()?;
    let begin = tokio::time::Instant::now();
    let send = async |number: u32| {
        tokio::time::sleep_until(begin + Duration::from_secs_f64(f64::from(number) / rate)).await;
        let is_high_priority = number.is_multiple_of(5);
        let call = Call::get(service.clone(), "/card")
            .with_header("shallotfork-deadline-ms", DEADLINE_MS)
            .with_header("shallotfork-caller", if is_high_priority { "insurer" } else { "member" });
        send_one(&caller, entry, &call, is_high_priority).await
    };
    Ok(join_all((0..count).map(send)).await)
}

async fn send_one(
    caller: &Caller,
    entry: shallotfork_types::Endpoint,
    call: &Call,
    is_high_priority: bool,
) -> Outcome {
    let begin = Instant::now();
    let report = caller.send_to(entry, call).await;
    let answer = report.answer.as_ref();
    Outcome {
        is_high_priority,
        status: answer.map(|answer| answer.status),
        verdict: report.verdict(),
        has_retry_after: answer.is_some_and(|answer| answer.headers.contains_key("retry-after")),
        latency: begin.elapsed(),
    }
}

fn successes(outcomes: &[Outcome]) -> usize {
    outcomes.iter().filter(|outcome| outcome.succeeded()).count()
}

/// Requests arrive at twice the capacity of the targets. Requests with high priority must be served
/// first and the excess rejected at once, with the verdict `not-run` and a `retry-after`. The
/// targets must stay fully used, and service must be back to normal after the burst.
#[tokio::test]
async fn overload_serves_capacity_and_rejects_excess_at_once() -> anyhow::Result<()> {
    let running = start().await?;
    open_loop(&running, 50.0, 50).await?;

    let outcomes = open_loop(&running, 2.0 * CAPACITY_PER_S, 1200).await?;

    let seconds = 1200.0 / (2.0 * CAPACITY_PER_S);
    let served = successes(&outcomes) as f64 / (CAPACITY_PER_S * seconds);
    assert!(served > 0.75, "served {served:.2} of capacity");
    let rejected: Vec<&Outcome> =
        outcomes.iter().filter(|outcome| outcome.status == Some(503)).collect();
    assert!(rejected.len() > 200, "{} rejected", rejected.len());
    assert!(rejected.iter().all(|outcome| outcome.verdict == Some(Verdict::NotRun)));
    assert!(rejected.iter().all(|outcome| outcome.has_retry_after));
    let mut latencies: Vec<Duration> = rejected.iter().map(|outcome| outcome.latency).collect();
    latencies.sort();
    let median_latency = latencies[latencies.len() / 2];
    assert!(
        median_latency < Duration::from_millis(100),
        "median latency of a rejection: {median_latency:?}"
    );

    let high_priority: Vec<&Outcome> =
        outcomes.iter().filter(|outcome| outcome.is_high_priority).collect();
    let high_priority_served = high_priority.iter().filter(|outcome| outcome.succeeded()).count();
    assert!(
        high_priority_served * 100 >= high_priority.len() * 97,
        "{high_priority_served} of {}",
        high_priority.len()
    );

    let after = open_loop(&running, 50.0, 50).await?;
    assert_eq!(50, successes(&after), "after the burst");
    Ok(())
}

/// A target fails every request at once, as with a broken dependency. It always has a free slot, so
/// selection by free slots alone would send it most requests.
#[tokio::test]
async fn fast_failing_target_loses_its_traffic() -> anyhow::Result<()> {
    let running = start().await?;
    open_loop(&running, 50.0, 50).await?;
    let faults = TargetFaults { fail_status: Some(500), ..TargetFaults::default() };
    running.targets[0].set_faults(faults).await?;

    let outcomes = open_loop(&running, 0.3 * CAPACITY_PER_S, 240).await?;

    let failed = outcomes.iter().filter(|outcome| outcome.status == Some(500)).count();
    assert!(failed * 6 < outcomes.len(), "{failed} of {} failed", outcomes.len());
    Ok(())
}

/// A target suddenly becomes 20 times slower. Requests must go to the other target.
#[tokio::test]
async fn straggling_target_loses_its_traffic() -> anyhow::Result<()> {
    let running = start().await?;
    open_loop(&running, 50.0, 50).await?;
    let faults = TargetFaults { slowdown_permille: 20_000, ..TargetFaults::default() };
    running.targets[0].set_faults(faults).await?;

    let before = running.targets[0].records().await?.arrived;
    let outcomes = open_loop(&running, 0.3 * CAPACITY_PER_S, 240).await?;
    let arrived = running.targets[0].records().await?.arrived - before;

    assert!(arrived < 40, "{arrived} of {} went to the straggler", outcomes.len());
    let slow =
        outcomes.iter().filter(|outcome| outcome.latency > Duration::from_millis(200)).count();
    assert!(slow < 40, "{slow} of {} were slow", outcomes.len());
    Ok(())
}
