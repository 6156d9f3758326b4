//! More demand than targets can serve, and targets that misbehave, through a real entry.

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

/// One entry before two targets that take 20 ms a request: two hundred requests a second.
async fn start() -> anyhow::Result<Running> {
    Case::new()
        .with_service(SERVICE, 2)
        .with_rules(RULES)
        .with_target_option("--service-us", "20000")
        .start()
        .await
}

const CAPACITY_A_SECOND: f64 = 200.0;

/// One request of an open loop and what became of it.
struct Sent {
    urgent: bool,
    status: Option<u16>,
    verdict: Option<Verdict>,
    retry_after: bool,
    took: Duration,
}

impl Sent {
    fn succeeded(&self) -> bool {
        self.status == Some(200)
    }
}

/// Sends at a fixed rate whatever becomes of earlier requests; each fifth one is urgent.
async fn open_loop(running: &Running, rate: f64, count: u32) -> anyhow::Result<Vec<Sent>> {
    let caller = running.caller()?;
    let entry = running.caller_addresses()[0];
    let service: ServiceName = SERVICE.parse()?;
    let begin = tokio::time::Instant::now();
    let send = async |number: u32| {
        tokio::time::sleep_until(begin + Duration::from_secs_f64(f64::from(number) / rate)).await;
        let urgent = number.is_multiple_of(5);
        let call = Call::get(service.clone(), "/card")
            .with_header("shallotfork-deadline-ms", DEADLINE_MS)
            .with_header("shallotfork-caller", if urgent { "insurer" } else { "member" });
        sent(&caller, entry, &call, urgent).await
    };
    Ok(join_all((0..count).map(send)).await)
}

async fn sent(
    caller: &Caller,
    entry: shallotfork_types::Endpoint,
    call: &Call,
    urgent: bool,
) -> Sent {
    let begin = Instant::now();
    let report = caller.send_to(entry, call).await;
    let answer = report.answer.as_ref();
    Sent {
        urgent,
        status: answer.map(|answer| answer.status),
        verdict: report.verdict(),
        retry_after: answer.is_some_and(|answer| answer.headers.contains_key("retry-after")),
        took: begin.elapsed(),
    }
}

fn successes(sent: &[Sent]) -> usize {
    sent.iter().filter(|sent| sent.succeeded()).count()
}

/// Twice as many requests come as the servers can serve. Requests of the insurers go first; those
/// that can't be served hear so at once, with the proof that they did not run and when to come
/// back; the servers stay fully used; and when the burst is over all is as before.
#[tokio::test]
async fn overload_serves_what_it_can_and_refuses_the_rest_at_once() -> anyhow::Result<()> {
    let running = start().await?;
    open_loop(&running, 50.0, 50).await?;

    let sent = open_loop(&running, 2.0 * CAPACITY_A_SECOND, 1200).await?;

    let seconds = 1200.0 / (2.0 * CAPACITY_A_SECOND);
    let served = successes(&sent) as f64 / (CAPACITY_A_SECOND * seconds);
    assert!(served > 0.75, "served {served:.2} of capacity");
    let refused: Vec<&Sent> = sent.iter().filter(|sent| sent.status == Some(503)).collect();
    assert!(refused.len() > 200, "{} refused", refused.len());
    assert!(refused.iter().all(|sent| sent.verdict == Some(Verdict::NotRun)));
    assert!(refused.iter().all(|sent| sent.retry_after));
    let mut waits: Vec<Duration> = refused.iter().map(|sent| sent.took).collect();
    waits.sort();
    let median = waits[waits.len() / 2];
    assert!(median < Duration::from_millis(100), "median wait for a refusal: {median:?}");

    let urgent: Vec<&Sent> = sent.iter().filter(|sent| sent.urgent).collect();
    let urgent_served = urgent.iter().filter(|sent| sent.succeeded()).count();
    assert!(urgent_served * 100 >= urgent.len() * 97, "{urgent_served} of {}", urgent.len());

    let after = open_loop(&running, 50.0, 50).await?;
    assert_eq!(50, successes(&after), "after the burst");
    Ok(())
}

/// One server fails every request at once, as with a broken dependency. It always has a free slot,
/// so a choice by free slots alone would send it most requests.
#[tokio::test]
async fn a_target_that_fails_fast_loses_its_requests() -> anyhow::Result<()> {
    let running = start().await?;
    open_loop(&running, 50.0, 50).await?;
    let faults = TargetFaults { fail_status: Some(500), ..TargetFaults::default() };
    running.targets[0].set_faults(faults).await?;

    let sent = open_loop(&running, 0.3 * CAPACITY_A_SECOND, 240).await?;

    let failed = sent.iter().filter(|sent| sent.status == Some(500)).count();
    assert!(failed * 6 < sent.len(), "{failed} of {} failed", sent.len());
    Ok(())
}

/// One server becomes twenty times slower without warning. Requests must go to the other one.
#[tokio::test]
async fn a_straggler_loses_its_requests() -> anyhow::Result<()> {
    let running = start().await?;
    open_loop(&running, 50.0, 50).await?;
    let faults = TargetFaults { slowdown_permille: 20_000, ..TargetFaults::default() };
    running.targets[0].set_faults(faults).await?;

    let before = running.targets[0].records().await?.arrived;
    let sent = open_loop(&running, 0.3 * CAPACITY_A_SECOND, 240).await?;
    let arrived = running.targets[0].records().await?.arrived - before;

    assert!(arrived < 40, "{arrived} of {} went to the straggler", sent.len());
    let slow = sent.iter().filter(|sent| sent.took > Duration::from_millis(200)).count();
    assert!(slow < 40, "{slow} of {} were slow", sent.len());
    Ok(())
}
