//! Verdicts match the runs at the target when its connections to entries fail at any byte.

use anyhow::{Context, ensure};
use bytes::Bytes;
use http::Method;
use shallotfork_standin::caller::{Call, Report};
use shallotfork_standin::net::ConnectionFaults;
use shallotfork_standin::target::TargetFaults;
use shallotfork_tests::{Case, Running};
use shallotfork_types::{Endpoint, IdempotencyKey, ServiceName, Verdict};

const BODY: Bytes = Bytes::from_static(b"two drums of saltbush pepper");
/// Exceeds the size of every request and response here; each loop ends at the first complete one.
const BYTES_MAX: u64 = 2000;

/// Two entries in front of one target; new connections are unlimited, since every cut costs one.
struct Fixture {
    running: Running,
    service: ServiceName,
    session: String,
}

impl Fixture {
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
        let session = known.session.context("no session issued")?;
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

/// Checks the verdict that a caller received for one send against the number of runs at the target.
fn check_verdict(report: &Report, runs: u64, label: &str) -> anyhow::Result<()> {
    ensure!(runs <= 1, "{label}: ran {runs} times: {report:?}");
    if report.success().is_some() {
        ensure!(runs == 1, "{label}: success without a run: {report:?}");
        return Ok(());
    }
    let verdict = report.verdict().with_context(|| format!("{label}: no verdict: {report:?}"))?;
    ensure!(
        verdict != Verdict::NotRun || runs == 0,
        "{label}: verdict not-run, but it ran: {report:?}"
    );
    ensure!(
        verdict != Verdict::Ran || runs == 1,
        "{label}: verdict ran, but it did not run: {report:?}"
    );
    Ok(())
}

/// A target closes the connection after a given number of bytes of an order without a key. The
/// entry must not run the order twice, nor report a verdict that leads the caller to do so.
#[tokio::test]
async fn request_cut_at_any_byte_gets_correct_verdict() -> anyhow::Result<()> {
    let fixture = Fixture::start().await?;
    for cut in 1..BYTES_MAX {
        let close = ConnectionFaults { close_after_read_bytes: Some(cut), ..Default::default() };
        fixture.set_faults(close).await?;
        let mark = format!("cut-{cut}");

        let report = fixture.send(cut, &fixture.order(&mark)).await?;

        let runs = fixture.running.runs_of_mark(&mark).await?;
        check_verdict(&report, runs, &mark)?;
        if report.success().is_some() {
            return Ok(());
        }
    }
    anyhow::bail!("no request arrived complete")
}

/// A target runs an order and its response breaks off after a given number of bytes. The caller
/// resends the order with the same key through the other entry once the target has recovered; it
/// must not run twice.
#[tokio::test]
async fn order_with_response_cut_at_any_byte_runs_once() -> anyhow::Result<()> {
    let fixture = Fixture::start().await?;
    for cut in 0..BYTES_MAX {
        let close = ConnectionFaults { cut_answer_at_bytes: Some(cut), ..Default::default() };
        fixture.set_faults(close).await?;
        let key = format!("order-{cut}");
        let order = fixture.keyed_order(&key)?;
        let first = fixture.send(cut, &order).await?;
        fixture.set_faults(ConnectionFaults::default()).await?;

        let second = fixture.send(cut + 1, &order).await?;

        let runs = fixture.running.runs_of_key(&key).await?;
        check_verdict(&first, runs, &key)?;
        check_verdict(&second, runs, &key)?;
        if first.success().is_some() {
            return Ok(());
        }
    }
    anyhow::bail!("no response arrived complete")
}

/// A target sheds requests or refuses connections. Such a request may get the verdict `not-run`,
/// and must then not have run.
#[tokio::test]
async fn rejections_by_a_target_get_correct_verdict() -> anyhow::Result<()> {
    let fixture = Fixture::start().await?;
    let refuse = ConnectionFaults { refuse: true, ..Default::default() };
    let faults = [
        ("shed", TargetFaults { shed: true, ..Default::default() }),
        ("refused", TargetFaults { connections: refuse, ..Default::default() }),
    ];
    for (name, faults) in faults {
        fixture.running.targets[0].set_faults(faults).await?;
        for (number, keyed) in [(0, false), (1, true)] {
            let mark = format!("{name}-{number}");
            let order = if keyed { fixture.keyed_order(&mark)? } else { fixture.order(&mark) };
            let report = fixture.send(number, &order).await?;
            check_verdict(&report, fixture.running.runs_of_mark(&mark).await?, &mark)?;
            assert!(report.success().is_none(), "{mark}");
            if name == "shed" {
                assert_eq!(Some(Verdict::NotRun), report.verdict(), "{mark}: {report:?}");
            }
        }
    }
    Ok(())
}
