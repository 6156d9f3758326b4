//! Planned stops of any part cut nobody off.

use std::time::{Duration, Instant};

use anyhow::Context;
use shallotfork_standin::caller::{Call, Caller, CallerConfig};
use shallotfork_standin::platform::{Fault, ReplicaMode};
use shallotfork_standin::target::SERVICE_US_HEADER;
use shallotfork_tests::{Case, Running, Traffic, TrafficConfig, TrafficReport, wait_until};
use shallotfork_types::{Endpoint, ServiceName};

const KEEP_FOR_MS: u64 = 1000;
/// A stopping target takes requests for so long that late ones are seen and not refused.
const TARGET_GRACE_MS: u64 = 2 * LEAVING_MAX_MS;
/// Requests that must end before a fault is caused, so that it hits callers at work.
const WARM_UP: u64 = 50;
/// Reads through each entry once a target must be left alone.
const READS_PER_ENTRY: u32 = 10;
/// Far longer than a target takes to stop.
const LIST_LAG_MS: u64 = 60_000;
/// New work may reach a leaving part for this long.
const LEAVING_MAX_MS: u64 = 3000;

struct Bench {
    running: Running,
    recipes: ServiceName,
    orders: ServiceName,
}

impl Bench {
    /// Replaces every entry, one after another: a new one starts, an old one gets SIGTERM.
    async fn replace_all(&mut self, traffic: &Traffic) -> anyhow::Result<()> {
        for _ in 0..self.running.entries.len() {
            self.running.start_entry().await?;
            self.running.publish_vms().await?;
            self.running.wait_ready().await?;
            self.running.entries[0].program.terminate()?;
            let status = self.running.entries[0].program.wait_exit().await?;
            assert!(status.success(), "{status}");
            self.running.remove_entry(0).await?;
            go_on(traffic, WARM_UP).await?;
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

    /// The target for recipes with the most runs, since an entry may prefer some targets.
    async fn busiest_target(&self) -> anyhow::Result<usize> {
        let records = self.running.records().await?;
        let of_recipes = |index: &usize| self.running.targets[*index].service == self.recipes;
        let targets = (0..records.len()).filter(of_recipes);
        targets.max_by_key(|index| records[*index].runs).context("no target")
    }

    async fn check_nobody_was_cut_off(&self, report: &TrafficReport) -> anyhow::Result<()> {
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
async fn go_on(traffic: &Traffic, count: u64) -> anyhow::Result<()> {
    let wanted = traffic.done() + count;
    wait_until("callers are at work", async || traffic.done() >= wanted).await
}

async fn entries_named(caller: &Caller, service: &ServiceName) -> Vec<Endpoint> {
    caller.forget(service).await;
    let known = caller.entries(service).await;
    let entries = known.map(|known| known.entries).unwrap_or_default();
    entries.into_iter().map(|entry| entry.address).collect()
}

/// All entries are replaced one after another while callers read and order: a new one starts, an
/// old one gets SIGTERM. Callers hold answers that name the old ones, with sessions issued there.
/// No read may fail, no order may fail or run twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replacing_every_entry_cuts_nobody_off() -> anyhow::Result<()> {
    let mut bench = Bench::start(Case::new().with_entries(3)).await?;
    let traffic = bench.traffic()?;
    go_on(&traffic, WARM_UP).await?;

    bench.replace_all(&traffic).await?;

    bench.check_nobody_was_cut_off(&traffic.stop().await).await
}

/// All entries are replaced one after another while the platform's list of them lags by a minute:
/// it names none of the new ones, and all of the old ones, until the test has ended. Callers must be
/// led to the new ones all the same, which only the entries themselves know of.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replacing_every_entry_under_a_lagging_list_cuts_nobody_off() -> anyhow::Result<()> {
    let mut bench = Bench::start(Case::new().with_entries(3)).await?;
    bench.running.platform.delay("vms", LIST_LAG_MS).await?;
    let traffic = bench.traffic()?;
    go_on(&traffic, WARM_UP).await?;

    bench.replace_all(&traffic).await?;

    bench.check_nobody_was_cut_off(&traffic.stop().await).await
}

/// A stallholder's read is at its target when the entry that carries it gets SIGTERM. The read
/// takes longer than the stop would need without it; the answer must still arrive.
#[tokio::test]
async fn a_request_in_flight_is_answered_by_a_stopping_entry() -> anyhow::Result<()> {
    let mut bench = Bench::start(Case::new().with_entries(2)).await?;
    let address = bench.running.caller_addresses()[0];
    let caller = bench.running.caller()?;
    let call = Call::get(bench.recipes.clone(), "/card")
        .with_mark("slow")
        .with_header(SERVICE_US_HEADER, "3000000");
    let reading = tokio::spawn(async move { caller.send_to(address, &call).await });
    wait_until("the read is at its target", async || {
        bench.running.runs_of_mark("slow").await.is_ok_and(|runs| runs == 1)
    })
    .await?;

    bench.running.entries[0].program.terminate()?;

    let report = reading.await?;
    assert!(report.success().is_some(), "{report:?}");
    assert!(bench.running.entries[0].program.wait_exit().await?.success());
    Ok(())
}

/// A caller holds an answer that names an entry, and the entry gets SIGTERM a moment later. Until
/// the answer has run out the caller may connect there anew, and must be served.
#[tokio::test]
async fn a_stopping_entry_serves_until_answers_that_name_it_run_out() -> anyhow::Result<()> {
    let bench = Bench::start(Case::new().with_entries(2)).await?;
    let address = bench.running.caller_addresses()[0];
    let asked = Instant::now();
    bench.caller_of(0)?.entries(&bench.recipes).await?;

    bench.running.entries[0].program.terminate()?;

    let mut served = 0;
    // Well before the end, since a request sent at the very end may arrive after it.
    while asked.elapsed() < Duration::from_millis(KEEP_FOR_MS * 8 / 10) {
        // A new caller each time has no connection that is open already.
        let call = Call::get(bench.recipes.clone(), "/card");
        let report = bench.running.caller()?.send_to(address, &call).await;
        assert!(report.success().is_some(), "after {:?}: {report:?}", asked.elapsed());
        served += 1;
    }
    assert!(served > 0);
    Ok(())
}

/// An entry gets SIGTERM while the platform still lists it as live, and one other entry cannot
/// reach the platform at all. Neither of the others may name it to callers any longer.
#[tokio::test]
async fn no_entry_names_a_leaving_one() -> anyhow::Result<()> {
    let case = Case::new().with_entries(3).with_replica_for_each_entry();
    let bench = Bench::start(case).await?;
    let leaving = bench.running.caller_addresses()[0];
    let others = [bench.caller_of(1)?, bench.caller_of(2)?];
    for other in &others {
        wait_until("the entry is named", async || {
            entries_named(other, &bench.recipes).await.contains(&leaving)
        })
        .await?;
    }
    let hanging = Fault::Mode(ReplicaMode::Hanging);
    bench.running.platform.fault(Some(2), hanging).await?;

    let told = Instant::now();
    bench.running.entries[0].program.terminate()?;
    for other in &others {
        wait_until("the leaving entry is named no more", async || {
            let named = entries_named(other, &bench.recipes).await;
            !named.is_empty() && !named.contains(&leaving)
        })
        .await?;
    }

    let took_ms = told.elapsed().as_millis();
    assert!(took_ms < u128::from(LEAVING_MAX_MS), "took {took_ms} ms");
    Ok(())
}

/// A target gets SIGTERM under load and the platform then publishes that it is draining. It
/// still answers what it has. No entry may send it new work after three seconds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_target_gets_no_new_work_through_any_entry() -> anyhow::Result<()> {
    let bench = Bench::start(Case::new().with_entries(3)).await?;
    check_drain(bench).await
}

/// As above, but the published list lags for longer than the target takes to stop. Its own word
/// in its answers is the only sign.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_target_is_left_alone_before_it_is_published() -> anyhow::Result<()> {
    let bench = Bench::start(Case::new().with_entries(2)).await?;
    bench.running.platform.delay("targets.recipe-desk", LIST_LAG_MS).await?;
    check_drain(bench).await
}

/// As above, but one entry cannot reach the platform and can only hear of the drain from its
/// peers. Callers who use that entry must not keep the target busy either.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_target_gets_no_new_work_through_a_blind_entry() -> anyhow::Result<()> {
    let case = Case::new().with_entries(3).with_replica_for_each_entry();
    let bench = Bench::start(case).await?;
    let hanging = Fault::Mode(ReplicaMode::Hanging);
    bench.running.platform.fault(Some(2), hanging).await?;
    check_drain(bench).await
}

/// Stops a target under load and checks that its work ends in time and nobody notices.
async fn check_drain(mut bench: Bench) -> anyhow::Result<()> {
    let traffic = bench.traffic()?;
    go_on(&traffic, WARM_UP).await?;
    let recipes = bench.recipes.clone();
    let busiest = bench.busiest_target().await?;
    bench.running.targets[busiest].program.terminate()?;
    bench.running.targets[busiest].published_draining = true;
    bench.running.publish_targets(&recipes).await?;

    tokio::time::sleep(Duration::from_millis(LEAVING_MAX_MS)).await;
    // Every entry is asked again, also the one that no caller happens to use.
    for address in bench.running.caller_addresses() {
        for _ in 0..READS_PER_ENTRY {
            let call = Call::get(recipes.clone(), "/card");
            let report = bench.running.caller()?.send_to(address, &call).await;
            assert!(report.success().is_some(), "{report:?}");
        }
    }
    let records = bench.running.targets[busiest].records().await?;
    let last_ms = records.arrived_after_drain_ms.iter().max().copied().unwrap_or(0);
    let status = bench.running.targets[busiest].program.wait_exit().await?;
    let report = traffic.stop().await;

    assert!(records.runs > 0, "the target had no work before");
    assert!(last_ms <= LEAVING_MAX_MS, "new work {last_ms} ms after the drain began");
    assert!(status.success(), "{status}");
    assert_eq!(Vec::<String>::new(), report.failed_reads);
    assert!(report.failed_orders().is_empty(), "{:?}", report.failed_orders());
    Ok(())
}

/// The platform stand-in is stopped under load and never comes back. Entries go on by what they
/// know; callers notice nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopped_platform_cuts_nobody_off() -> anyhow::Result<()> {
    let mut bench = Bench::start(Case::new().with_entries(2)).await?;
    let traffic = bench.traffic()?;
    go_on(&traffic, WARM_UP).await?;

    bench.running.platform.program.terminate()?;
    let status = bench.running.platform.program.wait_exit().await.context("platform")?;
    go_on(&traffic, 4 * WARM_UP).await?;

    assert!(status.success(), "{status}");
    for entry in &bench.running.entries {
        assert!(entry.is_ready().await, "{}", entry.vm);
    }
    bench.check_nobody_was_cut_off(&traffic.stop().await).await
}
