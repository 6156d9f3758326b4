//! Every answer is whole and the request's own; every verdict agrees with the target's count.

use std::time::{Duration, Instant};

use anyhow::Context;
use bytes::Bytes;
use shallotfork_standin::caller::{Call, Caller, CallerConfig, Report};
use shallotfork_standin::net::ConnectionFaults;
use shallotfork_standin::target::{Noise, TargetFaults};
use shallotfork_tests::{Case, Running, Traffic, TrafficConfig, TrafficReport, wait_until};
use shallotfork_types::{IdempotencyKey, ServiceName, Verdict};

/// Distance of the positions tried; it is prime, so that it falls in step with nothing.
const CUT_STEP: usize = 7;
/// Beyond the end of every request and answer of these tests.
const CUT_END: u64 = 1000;
/// Callers of each kind.
const CALLERS: usize = 12;
const REQUESTS_UNDER_FAULTS: u64 = 3000;
/// A hasty caller's patience, as a multiple of what a read takes on this machine while nothing
/// else runs.
const HASTY_LATENCIES: u32 = 3;
const LATENCIES_TAKEN: usize = 15;
const RULES: &str = "[everything]\nthen.hedge = yes\nthen.retries = 2\nthen.deadline_ms = 4000\n";

struct Bench {
    running: Running,
    caller: Caller,
    service: ServiceName,
}

impl Bench {
    async fn start(case: Case) -> anyhow::Result<Self> {
        let running = case.start().await?;
        let config = CallerConfig::new(running.caller_addresses()).with_attempts_max(1);
        Ok(Self { running, caller: Caller::new(config)?, service: "order-desk".parse()? })
    }

    /// The median time of a read without faults.
    async fn usual_latency(&self) -> anyhow::Result<Duration> {
        let mut taken = Vec::new();
        for number in 0..LATENCIES_TAKEN {
            let sent = Instant::now();
            self.read(&format!("usual-{number}")).await?;
            taken.push(sent.elapsed());
        }
        taken.sort();
        Ok(taken[LATENCIES_TAKEN / 2])
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

    /// Sends a read and an order under one cut; gives the verdict on the order, if it failed.
    async fn check_cut(&self, name: &str) -> anyhow::Result<Option<Verdict>> {
        let read = self.read(&format!("read-{name}")).await?;
        check_whole_or_refused(&format!("read-{name}"), &read)?;
        let key = format!("order-{name}");
        let order = self.order(&key).await?;
        check_whole_or_refused(&key, &order)?;
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

/// A success must be whole and the request's own; anything else must carry a verdict.
fn check_whole_or_refused(mark: &str, report: &Report) -> anyhow::Result<()> {
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

/// A second target would show an order that was sent again.
fn two_targets() -> Case {
    Case::new().with_service("order-desk", 2).with_rules(RULES)
}

fn cuts() -> impl Iterator<Item = u64> {
    (0..=CUT_END).step_by(CUT_STEP)
}

/// A target dies while it answers, at any byte. A stallholder must never see half a recipe, and
/// an order whose answer was lost must not be called not-run: it did run.
#[tokio::test]
async fn an_answer_cut_at_any_byte_is_never_passed_on() -> anyhow::Result<()> {
    let bench = Bench::start(two_targets()).await?;
    let mut unknown = 0;
    for cut_at in cuts() {
        let connections =
            ConnectionFaults { cut_answer_at_bytes: Some(cut_at), ..ConnectionFaults::default() };
        let faults = TargetFaults { connections, ..TargetFaults::default() };
        for target in &bench.running.targets {
            target.set_faults(faults).await?;
        }

        let verdict = bench.check_cut(&format!("answer-{cut_at}")).await?;

        unknown += u32::from(verdict == Some(Verdict::MayHaveRun));
    }
    assert!(unknown > 0, "no cut fell into an answer");
    Ok(())
}

/// Targets straggle, answer late and out of order, drop answers half way and fail fast, in turns
/// of milliseconds, while callers read and order, some of them giving up early. Entries hedge and
/// retry. No answer may be short, mixed or another's, and no order may run twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn thousands_of_requests_under_faults_get_their_own_answers() -> anyhow::Result<()> {
    let case = Case::new().with_entries(2).with_service("order-desk", 4).with_rules(RULES);
    let bench = Bench::start(case.with_target_option("--service-us", "2000")).await?;
    let caller = CallerConfig::new(bench.running.caller_addresses());
    let patience = bench.usual_latency().await? * HASTY_LATENCIES;
    let hasty = caller.clone().with_timeout(patience).with_attempts_max(2);
    let config = TrafficConfig { callers: CALLERS, ..TrafficConfig::new(caller) };
    let config = config.with_reads(&bench.service);
    let patient = Traffic::start(&config.clone().with_orders(&bench.service))?;
    let impatient = Traffic::start(&TrafficConfig { caller: hasty, ..config })?;

    let mut turn = 0;
    wait_until("thousands of requests have ended", async || {
        let set = bench.set_turn(turn).await;
        turn += 1;
        let both = patient.whole_reads() > 0 && impatient.whole_reads() > 0;
        set.is_ok() && both && patient.done() >= REQUESTS_UNDER_FAULTS
    })
    .await?;
    let patient = patient.stop().await;
    let impatient = impatient.stop().await;

    assert_eq!(Vec::<String>::new(), patient.wrong_answers);
    assert_eq!(Vec::<String>::new(), impatient.wrong_answers);
    assert!(patient.reads > 0 && impatient.reads > 0);
    bench.check_orders(&patient).await
}

impl Bench {
    /// Gives each target another fault each turn.
    async fn set_turn(&self, turn: usize) -> anyhow::Result<()> {
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
            target.set_faults(faults[(turn + index) % faults.len()]).await?;
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
