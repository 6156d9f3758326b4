//! Planned stops of entries, targets and the platform lose no request.

use std::time::{Duration, Instant};

use anyhow::Context;
use shallotfork_standin::caller::{Call, Caller, CallerConfig};
use shallotfork_standin::platform::{Fault, ReplicaMode};
use shallotfork_standin::target::SERVICE_US_HEADER;
use shallotfork_tests::{Case, Running, Traffic, TrafficConfig, TrafficReport, wait_until};
use shallotfork_types::{Endpoint, ServiceName};

const KEEP_FOR_MS: u64 = 1000;
/// Time that a stopping target keeps accepting requests; long enough that late ones are recorded
/// instead of rejected.
const TARGET_GRACE_MS: u64 = 2 * LEAVING_MAX_MS;
/// Requests that must end before a stop, so that it happens under traffic.
const WARM_UP_REQUESTS: u64 = 50;
/// Reads through each entry once a draining target must get no new work.
const READS_PER_ENTRY: u32 = 10;
/// Delay of a published list; far longer than a target takes to stop.
const LIST_LAG_MS: u64 = 60_000;
/// Time for which new work may still reach a leaving entry or a draining target.
const LEAVING_MAX_MS: u64 = 3000;

struct Fixture {
    running: Running,
    recipes: ServiceName,
    orders: ServiceName,
}

impl Fixture {
    /// Replaces every entry, one after another: a new one starts, then an old one gets SIGTERM.
    async fn replace_all(&mut self, traffic: &Traffic) -> anyhow::Result<()> {
        for _ in 0..self.running.entries.len() {
            self.running.start_entry().await?;
            self.running.publish_vms().await?;
            self.running.wait_ready().await?;
            self.running.entries[0].program.terminate()?;
            let status = self.running.entries[0].program.wait_exit().await?;
            assert!(status.success(), "{status}");
            self.running.remove_entry(0).await?;
            wait_for_requests(traffic, WARM_UP_REQUESTS).await?;
        }
        Ok(())
    }

    async fn start(case: Case) -> anyhow::Result<Self> {
        let case = case
            .with_service("recipe-desk", 2)
            .with_service("order-desk", 2)
            .with_setting("callers", "keep_for_ms", &KEEP_FOR_MS.to_string())
            .with_target_option("--grace-ms", &TARGET_GRACE_MS.to_string());
        let running = case.start().await?;
        Ok(Self { running, recipes: "recipe-desk".parse()?, orders: "order-desk".parse()? })
    }

    fn traffic(&self) -> anyhow::Result<Traffic> {
        let caller = CallerConfig::new(self.running.caller_addresses());
        let config = TrafficConfig::new(caller).with_reads(&self.recipes);
        Traffic::start(&config.with_orders(&self.orders))
    }

    fn caller_of(&self, entry: usize) -> anyhow::Result<Caller> {
        let address = self.running.caller_addresses()[entry];
        Ok(Caller::new(CallerConfig::new(vec![address]))?)
    }

    /// Returns the `recipe-desk` target with the most runs, since entries may prefer some targets.
    async fn busiest_target(&self) -> anyhow::Result<usize> {
        let records = self.running.records().await?;
        let of_recipes = |index: &usize| self.running.targets[*index].service == self.recipes;
        let targets = (0..records.len()).filter(of_recipes);
        targets.max_by_key(|index| records[*index].runs).context("no target")
    }

    async fn check_no_request_lost(&self, report: &TrafficReport) -> anyhow::Result<()> {
        assert_eq!(Vec::<String>::new(), report.failed_reads);
        assert_eq!(Vec::<String>::new(), report.wrong_answers);
        assert!(report.failed_orders().is_empty(), "{:?}", report.failed_orders());
        assert!(report.reads > 0 && !report.orders.is_empty());
        let records = self.running.records().await?;
        for order in &report.orders {
            let runs: u64 = records.iter().map(|records| records.runs_of_key(&order.key)).sum();
            assert_eq!(1, runs, "{order:?}");
        }
        Ok(())
    }
}

/// Waits until `count` more requests have ended.
async fn wait_for_requests(traffic: &Traffic, count: u64) -> anyhow::Result<()> {
    let wanted = traffic.done() + count;
    wait_until("more requests have ended", async || traffic.done() >= wanted).await
}

async fn advertised_entries(caller: &Caller, service: &ServiceName) -> Vec<Endpoint> {
    caller.forget(service).await;
    let known = caller.entries(service).await;
    let entries = known.map(|known| known.entries).unwrap_or_default();
    entries.into_iter().map(|entry| entry.address).collect()
}

/// Guards against failed requests and second runs when all entries are replaced one after another
/// under traffic. Callers still hold answers that advertise the old entries, with their sessions.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_replacement_loses_no_requests() -> anyhow::Result<()> {
    let mut fixture = Fixture::start(Case::new().with_entries(3)).await?;
    let traffic = fixture.traffic()?;
    wait_for_requests(&traffic, WARM_UP_REQUESTS).await?;

    fixture.replace_all(&traffic).await?;

    fixture.check_no_request_lost(&traffic.stop().await).await
}

/// Guards against the same losses when the VM list lags by a minute, so that it contains all the
/// old entries and none of the new ones until the test ends. Entries must advertise the new ones,
/// which only they know of.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_replacement_with_stale_vm_list_loses_no_requests() -> anyhow::Result<()> {
    let mut fixture = Fixture::start(Case::new().with_entries(3)).await?;
    fixture.running.platform.delay("vms", LIST_LAG_MS).await?;
    let traffic = fixture.traffic()?;
    wait_for_requests(&traffic, WARM_UP_REQUESTS).await?;

    fixture.replace_all(&traffic).await?;

    fixture.check_no_request_lost(&traffic.stop().await).await
}

/// Guards against losing the answer of a read that is at its target when its entry gets SIGTERM and
/// that takes longer than the stop would take without it.
#[tokio::test]
async fn stopping_entry_answers_requests_in_flight() -> anyhow::Result<()> {
    let mut fixture = Fixture::start(Case::new().with_entries(2)).await?;
    let address = fixture.running.caller_addresses()[0];
    let caller = fixture.running.caller()?;
    let call = Call::get(fixture.recipes.clone(), "/card")
        .with_mark("slow")
        .with_header(SERVICE_US_HEADER, "3000000");
    let reading = tokio::spawn(async move { caller.send_to(address, &call).await });
    wait_until("the read is at its target", async || {
        fixture.running.runs_of_mark("slow").await.is_ok_and(|runs| runs == 1)
    })
    .await?;

    fixture.running.entries[0].program.terminate()?;

    let report = reading.await?;
    assert!(report.success().is_some(), "{report:?}");
    assert!(fixture.running.entries[0].program.wait_exit().await?.success());
    Ok(())
}

/// Guards against an entry that stops serving too early after SIGTERM: until the answer that
/// advertises it expires, callers may open new connections to it and must be served.
#[tokio::test]
async fn stopping_entry_serves_until_advertisements_expire() -> anyhow::Result<()> {
    let fixture = Fixture::start(Case::new().with_entries(2)).await?;
    let address = fixture.running.caller_addresses()[0];
    let asked = Instant::now();
    fixture.caller_of(0)?.entries(&fixture.recipes).await?;

    fixture.running.entries[0].program.terminate()?;

    let mut served = 0;
    // Well before the end, since a request sent at the very end may arrive after it.
    while asked.elapsed() < Duration::from_millis(KEEP_FOR_MS * 8 / 10) {
        // A new caller each time, so that no open connection is reused.
        let call = Call::get(fixture.recipes.clone(), "/card");
        let report = fixture.running.caller()?.send_to(address, &call).await;
        assert!(report.success().is_some(), "after {:?}: {report:?}", asked.elapsed());
        served += 1;
    }
    assert!(served > 0);
    Ok(())
}

/// Guards against advertising an entry that got SIGTERM while the platform still lists it as live.
/// One of the other entries is disconnected from the platform.
#[tokio::test]
async fn leaving_entry_is_not_advertised() -> anyhow::Result<()> {
    let case = Case::new().with_entries(3).with_replica_for_each_entry();
    let fixture = Fixture::start(case).await?;
    let leaving = fixture.running.caller_addresses()[0];
    let others = [fixture.caller_of(1)?, fixture.caller_of(2)?];
    for other in &others {
        wait_until("the entry is advertised", async || {
            advertised_entries(other, &fixture.recipes).await.contains(&leaving)
        })
        .await?;
    }
    let hanging = Fault::Mode(ReplicaMode::Hanging);
    fixture.running.platform.fault(Some(2), hanging).await?;

    let terminated_at = Instant::now();
    fixture.running.entries[0].program.terminate()?;
    for other in &others {
        wait_until("the leaving entry is no longer advertised", async || {
            let advertised = advertised_entries(other, &fixture.recipes).await;
            !advertised.is_empty() && !advertised.contains(&leaving)
        })
        .await?;
    }

    let took_ms = terminated_at.elapsed().as_millis();
    assert!(took_ms < u128::from(LEAVING_MAX_MS), "took {took_ms} ms");
    Ok(())
}

/// Guards against new work for a target that got SIGTERM under load and is published as draining.
/// It still answers the requests it has; after three seconds no entry may send it new ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_target_gets_no_new_work() -> anyhow::Result<()> {
    let fixture = Fixture::start(Case::new().with_entries(3)).await?;
    check_drain(fixture).await
}

/// As above, but the target list lags for longer than the target takes to stop, so the report in
/// the target's own answers is the only sign of the drain.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_target_gets_no_new_work_before_publication() -> anyhow::Result<()> {
    let fixture = Fixture::start(Case::new().with_entries(2)).await?;
    fixture.running.platform.delay("targets.recipe-desk", LIST_LAG_MS).await?;
    check_drain(fixture).await
}

/// As above, but one entry is disconnected from the platform and can learn of the drain only from
/// its peers. Requests through that entry must not reach the target either.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_target_gets_no_new_work_through_disconnected_entry() -> anyhow::Result<()> {
    let case = Case::new().with_entries(3).with_replica_for_each_entry();
    let fixture = Fixture::start(case).await?;
    let hanging = Fault::Mode(ReplicaMode::Hanging);
    fixture.running.platform.fault(Some(2), hanging).await?;
    check_drain(fixture).await
}

/// Stops a target under load and checks that new work for it ends in time and no request fails.
async fn check_drain(mut fixture: Fixture) -> anyhow::Result<()> {
    let traffic = fixture.traffic()?;
    wait_for_requests(&traffic, WARM_UP_REQUESTS).await?;
    let recipes = fixture.recipes.clone();
    let busiest = fixture.busiest_target().await?;
    fixture.running.targets[busiest].program.terminate()?;
    fixture.running.targets[busiest].published_draining = true;
    fixture.running.publish_targets(&recipes).await?;

    tokio::time::sleep(Duration::from_millis(LEAVING_MAX_MS)).await;
    // Sends reads through every entry, also through one that no caller happens to use.
    for address in fixture.running.caller_addresses() {
        for _ in 0..READS_PER_ENTRY {
            let call = Call::get(recipes.clone(), "/card");
            let report = fixture.running.caller()?.send_to(address, &call).await;
            assert!(report.success().is_some(), "{report:?}");
        }
    }
    let records = fixture.running.targets[busiest].records().await?;
    let last_ms = records.arrived_after_drain_ms.iter().max().copied().unwrap_or(0);
    let status = fixture.running.targets[busiest].program.wait_exit().await?;
    let report = traffic.stop().await;

    assert!(records.runs > 0, "the target had no work before");
    assert!(last_ms <= LEAVING_MAX_MS, "new work {last_ms} ms after the drain began");
    assert!(status.success(), "{status}");
    assert_eq!(Vec::<String>::new(), report.failed_reads);
    assert!(report.failed_orders().is_empty(), "{:?}", report.failed_orders());
    Ok(())
}

/// Guards against failed requests when the platform stand-in is stopped under load and never
/// returns. Entries continue with the lists in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_stop_loses_no_requests() -> anyhow::Result<()> {
    let mut fixture = Fixture::start(Case::new().with_entries(2)).await?;
    let traffic = fixture.traffic()?;
    wait_for_requests(&traffic, WARM_UP_REQUESTS).await?;

    fixture.running.platform.program.terminate()?;
    let status = fixture.running.platform.program.wait_exit().await.context("platform")?;
    wait_for_requests(&traffic, 4 * WARM_UP_REQUESTS).await?;

    assert!(status.success(), "{status}");
    for entry in &fixture.running.entries {
        assert!(entry.is_ready().await, "{}", entry.vm);
    }
    fixture.check_no_request_lost(&traffic.stop().await).await
}
