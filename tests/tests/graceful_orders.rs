//! After planned stops, a repeated order still gets its kept answer.

use anyhow::Context;
use bytes::Bytes;
use shallotfork_standin::caller::{Call, Caller, CallerConfig};
use shallotfork_standin::target::SERVICE_US_HEADER;
use shallotfork_tests::{Case, Running, Traffic, TrafficConfig, wait_until};
use shallotfork_types::{IdempotencyKey, ServiceName};

const KEEP_FOR_MS: &str = "500";
/// Run time of a slow order; longer than a stop that does not wait for orders.
const SLOW_US: &str = "4000000";
/// Requests that must end before a stop, so that it happens under traffic.
const WARM_UP_REQUESTS: u64 = 50;

struct Fixture {
    running: Running,
    orders: ServiceName,
}

impl Fixture {
    async fn start() -> anyhow::Result<Self> {
        let case = Case::new()
            .with_entries(3)
            .with_service("recipe-desk", 2)
            .with_service("order-desk", 2)
            .with_setting("callers", "keep_for_ms", KEEP_FOR_MS);
        Ok(Self { running: case.start().await?, orders: "order-desk".parse()? })
    }

    /// Builds an order with a session of the entry `issuer`.
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

/// Guards against a lost answer after the issuer is stopped for good. A repeat through each
/// remaining entry gets the answer of the first run, since the issuer forwards its sealed ledger
/// before it exits.
#[tokio::test]
async fn kept_answer_survives_planned_stop_of_issuer() -> anyhow::Result<()> {
    let mut fixture = Fixture::start().await?;
    let order = fixture.order("kept", 0).await?;
    let addresses = fixture.running.caller_addresses();
    let caller = fixture.running.caller()?;
    let first = caller.send_to(addresses[1], &order).await;
    let first = first.success().with_context(|| format!("{first:?}"))?;

    fixture.stop_entry(0).await?;
    for address in &addresses[1..] {
        let again = caller.send_to(*address, &order).await;
        let answer = again.success().with_context(|| format!("{again:?}"))?;
        assert_eq!(first.body, answer.body);
    }

    assert_eq!(1, fixture.running.runs_of_key("kept").await?);
    Ok(())
}

/// As above, but every entry is replaced, one after another, before the order is repeated. No
/// process that handled the order is left; its sealed ledger was forwarded at each stop.
#[tokio::test]
async fn kept_answer_survives_replacement_of_all_entries() -> anyhow::Result<()> {
    let mut fixture = Fixture::start().await?;
    let order = fixture.order("handed-on", 0).await?;
    let carrier = fixture.running.caller_addresses()[1];
    let first = fixture.running.caller()?.send_to(carrier, &order).await;
    let first = first.success().with_context(|| format!("{first:?}"))?;

    for _ in 0..3 {
        fixture.running.start_entry().await?;
        fixture.running.publish_vms().await?;
        fixture.running.wait_ready().await?;
        fixture.stop_entry(0).await?;
        fixture.running.remove_entry(0).await?;
    }
    for address in fixture.running.caller_addresses() {
        let again = fixture.running.caller()?.send_to(address, &order).await;
        let answer = again.success().with_context(|| format!("{again:?}"))?;
        assert_eq!(first.body, answer.body);
    }

    assert_eq!(1, fixture.running.runs_of_key("handed-on").await?);
    Ok(())
}

/// Guards against an issuer that stops while an order under its session runs through another entry.
/// A ledger sealed before the order ends would lack the answer, and a repeat would get
/// `may-have-run`.
#[tokio::test]
async fn stopping_issuer_waits_for_orders_at_other_entries() -> anyhow::Result<()> {
    let mut fixture = Fixture::start().await?;
    let order = fixture.order("slow", 0).await?.with_header(SERVICE_US_HEADER, SLOW_US);
    let addresses = fixture.running.caller_addresses();
    let caller = fixture.running.caller()?;
    let carrier = addresses[1];
    let sent = order.clone();
    let sending = tokio::spawn(async move { caller.send_to(carrier, &sent).await });
    wait_until("the order is at its target", async || {
        fixture.running.runs_of_key("slow").await.is_ok_and(|runs| runs == 1)
    })
    .await?;

    fixture.stop_entry(0).await?;

    let first = sending.await?;
    let first = first.success().with_context(|| format!("{first:?}"))?;
    let again = fixture.running.caller()?.send_to(addresses[2], &order).await;
    let answer = again.success().with_context(|| format!("{again:?}"))?;
    assert_eq!(first.body, answer.body);
    assert_eq!(1, fixture.running.runs_of_key("slow").await?);
    Ok(())
}

/// Guards against failed requests and wrong answers when an entry, targets and the platform stop at
/// the same moment under load. Nothing is published to the remaining entries.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn simultaneous_planned_stops_lose_no_requests() -> anyhow::Result<()> {
    let mut fixture = Fixture::start().await?;
    let caller = CallerConfig::new(fixture.running.caller_addresses());
    let config = TrafficConfig::new(caller).with_reads(&"recipe-desk".parse()?);
    let traffic = Traffic::start(&config.with_orders(&fixture.orders))?;
    wait_for_requests(&traffic, WARM_UP_REQUESTS).await?;

    fixture.running.platform.program.terminate()?;
    fixture.running.targets[0].program.terminate()?;
    let last = fixture.running.targets.len() - 1;
    fixture.running.targets[last].program.terminate()?;
    fixture.running.entries[0].program.terminate()?;
    assert!(fixture.running.entries[0].program.wait_exit().await?.success());
    for target in [0, last] {
        assert!(fixture.running.targets[target].program.wait_exit().await?.success());
    }
    wait_for_requests(&traffic, WARM_UP_REQUESTS).await?;
    let report = traffic.stop().await;

    assert_eq!(Vec::<String>::new(), report.failed_reads);
    assert_eq!(Vec::<String>::new(), report.wrong_answers);
    assert!(report.failed_orders().is_empty(), "{:?}", report.failed_orders());
    Ok(())
}

async fn wait_for_requests(traffic: &Traffic, count: u64) -> anyhow::Result<()> {
    let wanted = traffic.done() + count;
    wait_until("more requests have ended", async || traffic.done() >= wanted).await
}
