//! Whoever is told "not run" can rely on it: cuts at every byte between entry and target.

use anyhow::{Context, ensure};
use bytes::Bytes;
use http::Method;
use shallotfork_standin::caller::{Call, Report};
use shallotfork_standin::net::ConnectionFaults;
use shallotfork_standin::target::TargetFaults;
use shallotfork_tests::{Case, Running};
use shallotfork_types::{Endpoint, IdempotencyKey, ServiceName, Verdict};

const BODY: Bytes = Bytes::from_static(b"two drums of saltbush pepper");
/// More bytes than a request or an answer of these tests has; the tests end at the first whole one.
const BYTES_MAX: u64 = 2000;

/// Two entries before one target, without a limit on new connections, since every cut costs one.
struct Bench {
    running: Running,
    service: ServiceName,
    session: String,
}

impl Bench {
    async fn start() -> anyhow::Result<Self> {
        let running = Case::new()
            .with_entries(2)
            .with_service("order-desk", 1)
            .with_setting("measure", "new_connections_per_s", "1000000")
            .with_target_option("--connection-us", "0")
            .with_target_option("--service-us", "0")
            .start()
            .await?;
        let service: ServiceName = "order-desk".parse()?;
        let known = running.caller()?.entries(&service).await?;
        let session = known.session.context("a session")?;
        Ok(Self { running, service, session })
    }

    fn entry(&self, number: u64) -> Endpoint {
        let entries = self.running.caller_addresses();
        entries[usize::try_from(number).unwrap_or(0) % entries.len()]
    }

    async fn set_faults(&self, connections: ConnectionFaults) -> anyhow::Result<()> {
        let faults = TargetFaults { connections, ..Default::default() };
        self.running.targets[0].set_faults(faults).await
    }

    async fn send(&self, entry: u64, call: &Call) -> anyhow::Result<Report> {
        Ok(self.running.caller()?.send_to(self.entry(entry), call).await)
    }

    fn order(&self, mark: &str) -> Call {
        Call::new(self.service.clone(), Method::POST, "/orders", BODY).with_mark(mark)
    }

    fn keyed_order(&self, key: &str) -> anyhow::Result<Call> {
        let key = IdempotencyKey::new(key)?;
        let order = Call::post(self.service.clone(), "/orders", key.clone(), BODY);
        Ok(order.with_mark(key.as_str()).with_session(&self.session))
    }
}

/// What a caller is told about one send, and whether the target agrees.
fn check(report: &Report, runs: u64, what: &str) -> anyhow::Result<()> {
    ensure!(runs <= 1, "{what}: ran {runs} times: {report:?}");
    if report.success().is_some() {
        ensure!(runs == 1, "{what}: a success without a run: {report:?}");
        return Ok(());
    }
    let verdict = report.verdict().with_context(|| format!("{what}: no verdict: {report:?}"))?;
    ensure!(verdict != Verdict::NotRun || runs == 0, "{what}: not-run, yet it ran: {report:?}");
    ensure!(verdict != Verdict::Ran || runs == 1, "{what}: ran, yet it did not: {report:?}");
    Ok(())
}

/// A target closes the connection after so many bytes of an order without a key. Whatever the
/// entry says, a second run would mill the order twice.
#[tokio::test]
async fn a_request_cut_at_any_byte_is_told_truly() -> anyhow::Result<()> {
    let bench = Bench::start().await?;
    for cut in 1..BYTES_MAX {
        let close = ConnectionFaults { close_after_read_bytes: Some(cut), ..Default::default() };
        bench.set_faults(close).await?;
        let mark = format!("cut-{cut}");

        let report = bench.send(cut, &bench.order(&mark)).await?;

        let runs = bench.running.runs_of_mark(&mark).await?;
        check(&report, runs, &mark)?;
        if report.success().is_some() {
            return Ok(());
        }
    }
    anyhow::bail!("no request came whole")
}

/// A target runs an order and its answer breaks off after so many bytes. The caller resends it
/// under its key through the other entry, once the target is well again.
#[tokio::test]
async fn an_order_whose_answer_is_cut_at_any_byte_runs_once() -> anyhow::Result<()> {
    let bench = Bench::start().await?;
    for cut in 0..BYTES_MAX {
        let close = ConnectionFaults { cut_answer_at_bytes: Some(cut), ..Default::default() };
        bench.set_faults(close).await?;
        let key = format!("order-{cut}");
        let order = bench.keyed_order(&key)?;
        let first = bench.send(cut, &order).await?;
        bench.set_faults(ConnectionFaults::default()).await?;

        let second = bench.send(cut + 1, &order).await?;

        let runs = bench.running.runs_of_key(&key).await?;
        check(&first, runs, &key)?;
        check(&second, runs, &key)?;
        if first.success().is_some() {
            return Ok(());
        }
    }
    anyhow::bail!("no answer came whole")
}

/// A target sheds, refuses connections or is gone. Each may be told as "not run", and then holds.
#[tokio::test]
async fn refusals_before_a_run_are_not_run() -> anyhow::Result<()> {
    let bench = Bench::start().await?;
    let refuse = ConnectionFaults { refuse: true, ..Default::default() };
    let faults = [
        ("shed", TargetFaults { shed: true, ..Default::default() }),
        ("refused", TargetFaults { connections: refuse, ..Default::default() }),
    ];
    for (name, faults) in faults {
        bench.running.targets[0].set_faults(faults).await?;
        for (number, keyed) in [(0, false), (1, true)] {
            let mark = format!("{name}-{number}");
            let order = if keyed { bench.keyed_order(&mark)? } else { bench.order(&mark) };
            let report = bench.send(number, &order).await?;
            check(&report, bench.running.runs_of_mark(&mark).await?, &mark)?;
            assert!(report.success().is_none(), "{mark}");
            if name == "shed" {
                assert_eq!(Some(Verdict::NotRun), report.verdict(), "{mark}: {report:?}");
            }
        }
    }
    Ok(())
}
