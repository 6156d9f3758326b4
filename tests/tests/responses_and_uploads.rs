//! Responses and uploads stay complete and unmixed while connections are cut and responses late.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, ensure};
use bytes::Bytes;
use futures::stream::{StreamExt, iter};
use http::Method;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallotfork_standin::caller::{Call, Caller, CallerConfig};
use shallotfork_standin::digest::content_digest;
use shallotfork_standin::net::ConnectionFaults;
use shallotfork_standin::target::{SERVICE_US_HEADER, SIZE_HEADER, TargetFaults};
use shallotfork_tests::{Case, Running};
use shallotfork_types::{Endpoint, ServiceName, Verdict};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const SEED: u64 = 0x0a11;
const REQUESTS: usize = 3000;
const CONCURRENT: usize = 60;
const WAVES: usize = 6;
const TARGETS: usize = 6;
/// Hedges and retries are on, so that the responses of two attempts at one request can collide.
const RULES: &str = "[everything]\nthen.deadline_ms = 5000\nthen.retries = 2\nthen.hedge = yes\n";
const GATEWAY_TIMEOUT: u16 = 504;
const DEADLINE_HEADER: &str = "shallotfork-deadline-ms";

/// Parameters of one request, drawn from the seed.
#[derive(Debug, Clone)]
struct RequestPlan {
    mark: String,
    entry: Endpoint,
    size_bytes: usize,
    service_us: u64,
    deadline_ms: u64,
    cancels_after: Option<Duration>,
    is_upload: bool,
}

#[derive(Debug, Default)]
struct Tally {
    complete: usize,
    failed: usize,
    timed_out: usize,
    cancelled: usize,
}

async fn start() -> anyhow::Result<Running> {
    Case::new()
        .with_entries(2)
        .with_service("recipe-desk", TARGETS)
        .with_rules(RULES)
        .with_setting("measure", "new_connections_per_s", "1000000")
        .with_target_option("--slots", "64")
        .with_target_option("--connection-us", "0")
        .start()
        .await
}

fn draw_plan(rng: &mut StdRng, number: usize, entries: &[Endpoint]) -> RequestPlan {
    let cancels = rng.random_range(0..10) == 0;
    let has_short_deadline = rng.random_range(0..10) == 0;
    RequestPlan {
        mark: format!("mark-{number}"),
        entry: entries[number % entries.len()],
        size_bytes: rng.random_range(0..20_000),
        service_us: if has_short_deadline { 60_000 } else { rng.random_range(0..4_000) },
        deadline_ms: if has_short_deadline { 30 } else { 5000 },
        cancels_after: cancels.then(|| Duration::from_micros(rng.random_range(0..6_000))),
        is_upload: rng.random_range(0..4) == 0,
    }
}

/// One target cuts responses, one closes while it reads, one responds late; the roles rotate.
fn faults_of(target: usize, wave: usize) -> TargetFaults {
    let connections = match (target + wave) % TARGETS {
        0 => ConnectionFaults { cut_answer_at_bytes: Some(900), ..Default::default() },
        1 => ConnectionFaults { close_after_read_bytes: Some(150), ..Default::default() },
        _ => ConnectionFaults::default(),
    };
    let late_ms = if (target + wave) % TARGETS == 2 { 12 } else { 0 };
    TargetFaults { connections, late_ms, ..Default::default() }
}

async fn send_planned(
    caller: Arc<Caller>,
    service: ServiceName,
    plan: RequestPlan,
) -> anyhow::Result<Tally> {
    let body = if plan.is_upload {
        Bytes::from(plan.mark.repeat(plan.size_bytes / 10 + 1))
    } else {
        Bytes::new()
    };
    let method = if plan.is_upload { Method::PUT } else { Method::GET };
    let call = Call::new(service, method, "/card", body.clone())
        .with_mark(&plan.mark)
        .with_header(SIZE_HEADER, &plan.size_bytes.to_string())
        .with_header(SERVICE_US_HEADER, &plan.service_us.to_string())
        .with_header(DEADLINE_HEADER, &plan.deadline_ms.to_string());
    let response = caller.send_to(plan.entry, &call);
    let report = match plan.cancels_after {
        None => response.await,
        Some(after) => match tokio::time::timeout(after, response).await {
            Ok(report) => report,
            Err(_) => return Ok(Tally { cancelled: 1, ..Tally::default() }),
        },
    };
    let answer = report.answer.as_ref().with_context(|| format!("{plan:?}: {report:?}"))?;
    if !answer.is_success() {
        ensure!(answer.verdict.is_some(), "no verdict: {plan:?}: {report:?}");
        let timed_out = answer.status == GATEWAY_TIMEOUT && answer.verdict != Some(Verdict::NotRun);
        return Ok(Tally { failed: 1, timed_out: usize::from(timed_out), ..Tally::default() });
    }
    let work = answer.work().with_context(|| format!("incomplete body: {plan:?}"))?;
    ensure!(
        answer.mark.as_deref() == Some(&plan.mark),
        "response to another request: {plan:?}: {:?}",
        answer.mark
    );
    ensure!(work.mark.as_deref() == Some(&plan.mark), "body of another request: {plan:?}");
    ensure!(answer.digest_holds == Some(true), "digest mismatch: {plan:?}");
    ensure!(work.filler.len() == plan.size_bytes, "wrong body length: {plan:?}");
    ensure!(work.received_digest == content_digest(&body), "upload incomplete: {plan:?}");
    Ok(Tally { complete: 1, ..Tally::default() })
}

/// Thousands of reads and uploads run concurrently. Targets cut responses, close connections while
/// they read and respond late; callers cancel, and entries time out and hedge. A body or connection
/// shared by mistake shows as a response that is truncated, mixed or another caller's.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_caller_gets_a_partial_or_foreign_response() -> anyhow::Result<()> {
    let running = start().await?;
    let service: ServiceName = "recipe-desk".parse()?;
    let entries = running.caller_addresses();
    let caller = Arc::new(Caller::new(CallerConfig::new(entries.clone()))?);
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut total = Tally::default();
    for wave in 0..WAVES {
        for (index, target) in running.targets.iter().enumerate() {
            target.set_faults(faults_of(index, wave)).await?;
        }
        let numbers = wave * REQUESTS / WAVES..(wave + 1) * REQUESTS / WAVES;
        let plans: Vec<RequestPlan> =
            numbers.map(|number| draw_plan(&mut rng, number, &entries)).collect();
        let mut tallies = iter(plans)
            .map(|plan| send_planned(Arc::clone(&caller), service.clone(), plan))
            .buffer_unordered(CONCURRENT);
        while let Some(tally) = tallies.next().await {
            let tally = tally?;
            total.complete += tally.complete;
            total.failed += tally.failed;
            total.timed_out += tally.timed_out;
            total.cancelled += tally.cancelled;
        }
    }

    let records = running.records().await?;
    let cut: u64 = records.iter().map(|records| records.connections.cut).sum();
    assert!(cut > 0, "no connection was cut");
    assert!(total.complete > REQUESTS / 3, "{total:?}");
    assert!(total.cancelled > 0 && total.timed_out > 0, "{total:?}");
    Ok(())
}

/// A caller's connection breaks at any byte of an upload. The request must not reach the target,
/// which would store the partial upload.
#[tokio::test]
async fn partial_upload_never_reaches_a_target() -> anyhow::Result<()> {
    let running = start().await?;
    let entry = running.caller_addresses()[0];
    let body = "dossier ".repeat(10);
    let head = format!(
        "PUT /dossiers/7 HTTP/1.1\r\nhost: recipe-desk\r\nstandin-mark: half\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let upload = format!("{head}{body}");
    for cut in (0..upload.len()).step_by(3) {
        let mut stream = TcpStream::connect(entry.address()).await?;
        stream.write_all(&upload.as_bytes()[..cut]).await?;
        if cut % 2 == 0 {
            stream.set_zero_linger()?;
        }
    }
    let caller = running.caller()?;
    let whole = Call::get("recipe-desk".parse()?, "/card").with_mark("whole");
    assert!(caller.call(&whole).await?.success().is_some());

    assert_eq!(1, running.runs_of_mark("whole").await?);
    assert_eq!(0, running.runs_of_mark("half").await?);
    Ok(())
}
