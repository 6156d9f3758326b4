//! Planned stops leave no order unknown: whoever resends one gets its answer.

use anyhow::Context;
use bytes::Bytes;
use shallotfork_standin::caller::{Call, Caller, CallerConfig};
use shallotfork_standin::target::SERVICE_US_HEADER;
use shallotfork_tests::{Case, Running, Traffic, TrafficConfig, wait_until};
use shallotfork_types::{IdempotencyKey, ServiceName};

const KEEP_FOR_MS: &str = "500";
/// Longer than a stop takes that does not wait for orders.
const SLOW_US: &str = "4000000";
/// Requests that must end before a part is stopped, so that the stop hits callers at work.
const WARM_UP: u64 = 50;

struct Bench {
    running: Running,
    orders: ServiceName,
}

impl Bench {
    async fn start() -> anyhow::Result<Self> {
        let case = Case::new()
            .with_entries(3)
            .with_service("recipe-desk", 2)
            .with_service("order-desk", 2)
            .with_setting("callers", "keep_for_ms", KEEP_FOR_MS);
        Ok(Self { running: case.start().await?, orders: "order-desk".parse()? })
    }

    /// An order under a session of one entry.
    async fn order(&self, key: &str, issuer: usize) -> anyhow::Result<Call> {
        let address = self.running.caller_addresses()[issuer];
        let caller = Caller::new(CallerConfig::new(vec![address]))?;
        let session = caller.entries(&self.orders).await?.session.context("a session")?;
        let body = Bytes::from_static(b"two drums of saltbush pepper");
        let order = Call::post(self.orders.clone(), "/orders", IdempotencyKey::new(key)?, body);
        Ok(order.with_mark(key).with_session(&session))
    }

    async fn stop_entry(&mut self, index: usize) -> anyhow::Result<()> {
        let entry = &mut self.running.entries[index];
        entry.program.terminate()?;
        let status = entry.program.wait_exit().await?;
        assert!(status.success(), "{status}");
        Ok(())
    }
}

/// A stallholder lodges an order; the entry that issued the session is then stopped for good. The
/// stallholder's app, restarted, sends the order again through each entry left. It gets the answer
/// of the first run, since the issuer handed over its sealed ledger before it ended.
#[tokio::test]
async fn an_answer_outlives_the_planned_stop_of_its_issuer() -> anyhow::Result<()> {
    let mut bench = Bench::start().await?;
    let order = bench.order("kept", 0).await?;
    let addresses = bench.running.caller_addresses();
    let caller = bench.running.caller()?;
    let first = caller.send_to(addresses[1], &order).await;
    let first = first.success().with_context(|| format!("{first:?}"))?;

    bench.stop_entry(0).await?;
    for address in &addresses[1..] {
        let again = caller.send_to(*address, &order).await;
        let answer = again.success().with_context(|| format!("{again:?}"))?;
        assert_eq!(first.body, answer.body);
    }

    assert_eq!(1, bench.running.runs_of_key("kept").await?);
    Ok(())
}

/// As above, but every entry is replaced, one after another, before the order is sent again. No
/// process that knew of the order at first is left; what it knew was handed on each time.
#[tokio::test]
async fn an_answer_outlives_the_replacement_of_every_entry() -> anyhow::Result<()> {
    let mut bench = Bench::start().await?;
    let order = bench.order("handed-on", 0).await?;
    let carrier = bench.running.caller_addresses()[1];
    let first = bench.running.caller()?.send_to(carrier, &order).await;
    let first = first.success().with_context(|| format!("{first:?}"))?;

    for _ in 0..3 {
        bench.running.start_entry().await?;
        bench.running.publish_vms().await?;
        bench.running.wait_ready().await?;
        bench.stop_entry(0).await?;
        bench.running.remove_entry(0).await?;
    }
    for address in bench.running.caller_addresses() {
        let again = bench.running.caller()?.send_to(address, &order).await;
        let answer = again.success().with_context(|| format!("{again:?}"))?;
        assert_eq!(first.body, answer.body);
    }

    assert_eq!(1, bench.running.runs_of_key("handed-on").await?);
    Ok(())
}

/// An order is at its target, sent by one entry under another's session, when the issuer is told
/// to stop. The issuer must wait for its end: sealed too early, its ledger would not know the
/// answer, and a resend would learn only that the order may have run.
#[tokio::test]
async fn a_stopping_issuer_waits_for_orders_that_run_elsewhere() -> anyhow::Result<()> {
    let mut bench = Bench::start().await?;
    let order = bench.order("slow", 0).await?.with_header(SERVICE_US_HEADER, SLOW_US);
    let addresses = bench.running.caller_addresses();
    let caller = bench.running.caller()?;
    let carrier = addresses[1];
    let sent = order.clone();
    let sending = tokio::spawn(async move { caller.send_to(carrier, &sent).await });
    wait_until("the order is at its target", async || {
        bench.running.runs_of_key("slow").await.is_ok_and(|runs| runs == 1)
    })
    .await?;

    bench.stop_entry(0).await?;

    let first = sending.await?;
    let first = first.success().with_context(|| format!("{first:?}"))?;
    let again = bench.running.caller()?.send_to(addresses[2], &order).await;
    let answer = again.success().with_context(|| format!("{again:?}"))?;
    assert_eq!(first.body, answer.body);
    assert_eq!(1, bench.running.runs_of_key("slow").await?);
    Ok(())
}

/// An entry, a target and the platform are all told to stop at the same moment, under load, and
/// nobody tells the entries that are left. Callers notice nothing; no order fails or runs twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_a_target_and_the_platform_stop_at_once() -> anyhow::Result<()> {
    let mut bench = Bench::start().await?;
    let caller = CallerConfig::new(bench.running.caller_addresses());
    let config = TrafficConfig::new(caller).with_reads(&"recipe-desk".parse()?);
    let traffic = Traffic::start(&config.with_orders(&bench.orders))?;
    go_on(&traffic, WARM_UP).await?;

    bench.running.platform.program.terminate()?;
    bench.running.targets[0].program.terminate()?;
    let last = bench.running.targets.len() - 1;
    bench.running.targets[last].program.terminate()?;
    bench.running.entries[0].program.terminate()?;
    assert!(bench.running.entries[0].program.wait_exit().await?.success());
    for target in [0, last] {
        assert!(bench.running.targets[target].program.wait_exit().await?.success());
    }
    go_on(&traffic, WARM_UP).await?;
    let report = traffic.stop().await;

    assert_eq!(Vec::<String>::new(), report.failed_reads);
    assert_eq!(Vec::<String>::new(), report.wrong_answers);
    assert!(report.failed_orders().is_empty(), "{:?}", report.failed_orders());
    Ok(())
}

async fn go_on(traffic: &Traffic, count: u64) -> anyhow::Result<()> {
    let wanted = traffic.done() + count;
    wait_until("callers are at work", async || traffic.done() >= wanted).await
}
