//! Every response is complete and belongs to its request; each verdict matches the target's runs.

use std::time::{Duration, Instant};

use anyhow::Context;
use bytes::Bytes;
use shallotfork_standin::caller::{Call, Caller, CallerConfig, Report};
use shallotfork_standin::net::ConnectionFaults;
use shallotfork_standin::target::{Noise, TargetFaults};
use shallotfork_tests::{Case, Running, Traffic, TrafficConfig, TrafficReport, wait_until};
use shallotfork_types::{IdempotencyKey, ServiceName, Verdict};

/// Distance between the cut positions tried, in bytes; prime, so that it aligns with no structure.
const CUT_STEP: usize = 7;
/// Last cut position in bytes, beyond the end of every request and response of these tests.
const CUT_END: u64 = 1000;
/// Number of callers of each kind.
const CALLERS: usize = 12;
const REQUESTS_UNDER_FAULTS: u64 = 3000;
/// Timeout of an impatient caller, as a multiple of the latency of a read on the machine at rest.
const IMPATIENT_TIMEOUT_FACTOR: u32 = 3;
const LATENCY_SAMPLES: usize = 15;
const RULES: &str = "[everything]\nthen.hedge = yes\nthen.retries = 2\nthen.deadline_ms = 4000\n";

struct Fixture {
    running: Running,
    caller: Caller,
    service: ServiceName,
}

impl Fixture {
    async fn start(case: Case) -> anyhow::Result<Self> {
        let running = case.start().await?;
        let config = CallerConfig::new(running.caller_addresses()).with_attempts_max(1);
        Ok(Self { running, caller: Caller::new(config)?, service: "order-desk".parse()? })
    }

    /// Returns the median latency of a read without faults.
    async fn median_latency(&self) -> anyhow::Result<Duration> {
        let mut latencies = Vec::new();
        for number in 0..LATENCY_SAMPLES {
            let sent_at = Instant::now();
            self.read(&format!("usual-{number}")).await?;
            latencies.push(sent_at.elapsed());
        }
        latencies.sort();
        Ok(latencies[LATENCY_SAMPLES / 2])
    }

    async fn read(&self, mark: &str) -> anyhow::Result<Report> {
        let call = Call::get(self.service.clone(), "/orders/7").with_mark(mark);
        Ok(self.caller.call(&call).await?)
    }

    async fn order(&self, key: &str) -> anyhow::Result<Report> {
        let body = Bytes::from_static(b"two drums of saltbush pepper");
        let order = Call::post(self.service.clone(), "/orders", IdempotencyKey::new(key)?, body);
        Ok(self.caller.call(&order.with_mark(key)).await?)
    }

    /// Sends a read and an order under one cut; returns the verdict of the order if it failed.
    async fn check_cut(&self, name: &str) -> anyhow::Result<Option<Verdict>> {
        let read = self.read(&format!("read-{name}")).await?;
        check_complete_or_verdict(&format!("read-{name}"), &read)?;
        let key = format!("order-{name}");
        let order = self.order(&key).await?;
        check_complete_or_verdict(&key, &order)?;
        let runs = self.running.runs_of_key(&key).await?;
        assert!(runs <= 1, "{key} ran {runs} times");
        match (order.success(), order.verdict()) {
            (Some(_), _) => assert_eq!(1, runs, "{key}: {order:?}"),
            (None, Some(Verdict::NotRun)) => assert_eq!(0, runs, "{key}: {order:?}"),
            (None, Some(Verdict::Ran)) => assert_eq!(1, runs, "{key}: {order:?}"),
            (None, _) => {}
        }
        Ok(order.verdict().filter(|_| order.success().is_none()))
    }
}

/// Checks that a success is complete and belongs to its request, and a failure has a verdict.
fn check_complete_or_verdict(mark: &str, report: &Report) -> anyhow::Result<()> {
    let answer = report.answer.as_ref().with_context(|| format!("{mark}: {report:?}"))?;
    if answer.is_success() {
        assert_eq!(Some(mark), answer.mark.as_deref());
        assert_eq!(Some(true), answer.digest_holds, "{mark}");
        assert!(answer.work().is_some(), "{mark}");
        return Ok(());
    }
    assert!(answer.verdict.is_some(), "{mark}: {report:?}");
    Ok(())
}

/// A second target, so that an order sent twice shows as two runs.
fn two_targets() -> Case {
    Case::new().with_service("order-desk", 2).with_rules(RULES)
}

fn cut_positions() -> impl Iterator<Item = u64> {
    (0..=CUT_END).step_by(CUT_STEP)
}

/// A target dies at any byte of its response. A caller must never receive a truncated response, and
/// an order whose response was lost must not get the verdict `not-run`, since it ran.
#[tokio::test]
async fn response_cut_at_any_byte_is_never_forwarded() -> anyhow::Result<()> {
    let fixture = Fixture::start(two_targets()).await?;
    let mut may_have_run_count = 0;
    for cut_at in cut_positions() {
        let connections =
            ConnectionFaults { cut_answer_at_bytes: Some(cut_at), ..ConnectionFaults::default() };
        let faults = TargetFaults { connections, ..TargetFaults::default() };
        for target in &fixture.running.targets {
            target.set_faults(faults).await?;
        }

        let verdict = fixture.check_cut(&format!("answer-{cut_at}")).await?;

        may_have_run_count += u32::from(verdict == Some(Verdict::MayHaveRun));
    }
    assert!(may_have_run_count > 0, "no cut hit a response");
    Ok(())
}

/// Targets slow down, respond late and out of order, truncate responses and fail fast, alternating
/// within milliseconds, while callers read and order and some give up early. Entries hedge and
/// retry. No response may be truncated, mixed or another request's, and no order may run twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_under_faults_are_complete_and_their_own() -> anyhow::Result<()> {
    let case = Case::new().with_entries(2).with_service("order-desk", 4).with_rules(RULES);
    let fixture = Fixture::start(case.with_target_option("--service-us", "2000")).await?;
    let caller = CallerConfig::new(fixture.running.caller_addresses());
    let impatient_timeout = fixture.median_latency().await? * IMPATIENT_TIMEOUT_FACTOR;
    let impatient_caller = caller.clone().with_timeout(impatient_timeout).with_attempts_max(2);
    let config = TrafficConfig { callers: CALLERS, ..TrafficConfig::new(caller) };
    let config = config.with_reads(&fixture.service);
    let patient = Traffic::start(&config.clone().with_orders(&fixture.service))?;
    let impatient = Traffic::start(&TrafficConfig { caller: impatient_caller, ..config })?;

    let mut round = 0;
    wait_until("enough requests have completed", async || {
        let faults_set = fixture.rotate_faults(round).await;
        round += 1;
        let both_read = patient.whole_reads() > 0 && impatient.whole_reads() > 0;
        faults_set.is_ok() && both_read && patient.done() >= REQUESTS_UNDER_FAULTS
    })
    .await?;
    let patient = patient.stop().await;
    let impatient = impatient.stop().await;

    assert_eq!(Vec::<String>::new(), patient.wrong_answers);
    assert_eq!(Vec::<String>::new(), impatient.wrong_answers);
    assert!(patient.reads > 0 && impatient.reads > 0);
    fixture.check_orders(&patient).await
}

impl Fixture {
    /// Sets a different fault on each target in each round.
    async fn rotate_faults(&self, round: usize) -> anyhow::Result<()> {
        let cut = ConnectionFaults { cut_answer_at_bytes: Some(500), ..Default::default() };
        let faults = [
            TargetFaults { late_ms: 15, ..TargetFaults::default() },
            TargetFaults { connections: cut, ..TargetFaults::default() },
            TargetFaults { slowdown_permille: 8000, ..TargetFaults::default() },
            TargetFaults {
                noise: Some(Noise { turn_ms: 3, slowdown_permille: 6000 }),
                ..TargetFaults::default()
            },
            TargetFaults { fail_status: Some(500), ..TargetFaults::default() },
            TargetFaults::default(),
        ];
        for (index, target) in self.running.targets.iter().enumerate() {
            target.set_faults(faults[(round + index) % faults.len()]).await?;
        }
        Ok(())
    }

    async fn check_orders(&self, report: &TrafficReport) -> anyhow::Result<()> {
        let records = self.running.records().await?;
        let mut succeeded = 0;
        for order in &report.orders {
            let runs: u64 = records.iter().map(|records| records.runs_of_key(&order.key)).sum();
            assert!(runs <= 1, "{runs} runs of {order:?}");
            if order.succeeded {
                assert_eq!(1, runs, "{order:?}");
                succeeded += 1;
            }
            if order.verdict == Some(Verdict::NotRun) {
                assert_eq!(0, runs, "{order:?}");
            }
        }
        assert!(succeeded > 0);
        Ok(())
    }
}
