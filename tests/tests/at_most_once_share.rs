//! Orders under load during a temporary fault: none runs twice and every verdict is true. Prints
//! for each fault how many orders end as `may-have-run`.

use std::time::Duration;

use shallotfork_standin::caller::CallerConfig;
use shallotfork_tests::{Case, Running, Traffic, TrafficConfig, TrafficReport, wait_until};
use shallotfork_types::{ServiceName, Verdict};

const CALLERS: usize = 6;
const FAULTY: usize = 0;
const OTHER_FAULTY: usize = 1;

/// Number of orders that end before the fault is injected, and again after it.
const ORDERS: u64 = 150;

/// Duration of a fault; longer than the silence after which an entry is suspected.
const PAUSE: Duration = Duration::from_secs(2);

struct LoadTest {
    running: Running,
    traffic: Traffic,
}

impl LoadTest {
    async fn start(case: Case) -> anyhow::Result<Self> {
        let case = case
            .with_entries(3)
            .with_service("order-desk", 3)
            .with_setting("callers", "keep_for_ms", "300")
            .with_setting("peers", "heartbeat_ms", "100")
            .with_setting("peers", "suspect_after_ms", "800");
        let running = case.start().await?;
        let service = ServiceName::new("order-desk")?;
        let caller = CallerConfig::new(running.caller_addresses())
            .with_attempts_max(8)
            .with_timeout(Duration::from_secs(3));
        let mut config = TrafficConfig::new(caller).with_orders(&service);
        config.callers = CALLERS;
        let load_test = Self { running, traffic: Traffic::start(&config)? };
        load_test.wait_orders().await?;
        Ok(load_test)
    }

    /// Waits until `ORDERS` more orders have ended.
    async fn wait_orders(&self) -> anyhow::Result<()> {
        let goal = self.traffic.done() + ORDERS;
        wait_until("orders end", async || self.traffic.done() >= goal).await
    }

    /// Lets orders continue after the fault, then checks and counts the outcomes of all of them.
    async fn end(self, fault: &str) -> anyhow::Result<OutcomeCounts> {
        self.wait_orders().await?;
        let report = self.traffic.stop().await;
        let counts = check(&self.running, &report).await?;
        println!("{fault}: {counts:?}");
        for order in report.failed_orders() {
            println!("{order:?}");
        }
        Ok(counts)
    }
}

/// Outcomes of orders as seen by their callers.
#[derive(Debug, Default, PartialEq, Eq)]
struct OutcomeCounts {
    orders: usize,
    succeeded: usize,
    not_run: usize,
    may_have_run: usize,
    ran: usize,
    /// Orders whose last attempt got no complete answer from an entry.
    unknown: usize,
}

async fn check(running: &Running, report: &TrafficReport) -> anyhow::Result<OutcomeCounts> {
    let records = running.records().await?;
    let mut counts = OutcomeCounts { orders: report.orders.len(), ..OutcomeCounts::default() };
    for order in &report.orders {
        let runs: u64 = records.iter().map(|records| records.runs_of_key(&order.key)).sum();
        assert!(runs <= 1, "{order:?} ran {runs} times");
        if order.succeeded {
            assert_eq!(1, runs, "{order:?}");
            counts.succeeded += 1;
            continue;
        }
        match order.verdict {
            Some(Verdict::NotRun) => {
                assert_eq!(0, runs, "{order:?}");
                counts.not_run += 1;
            }
            Some(Verdict::Ran) => {
                assert_eq!(1, runs, "{order:?}");
                counts.ran += 1;
            }
            Some(Verdict::MayHaveRun) => counts.may_have_run += 1,
            None => counts.unknown += 1,
        }
    }
    assert_eq!(Vec::<String>::new(), report.wrong_answers);
    Ok(counts)
}

/// Guards against second runs and false `not-run` verdicts when an entry is killed under load.
/// Orders under its sessions may end as `may-have-run`.
#[tokio::test]
async fn orders_while_an_entry_is_killed() -> anyhow::Result<()> {
    let mut load_test = LoadTest::start(Case::new()).await?;
    load_test.running.entries[FAULTY].program.kill().await?;
    load_test.end("entry killed").await?;
    Ok(())
}

/// Guards against stale state: an entry is paused for longer than every timeout and resumes with an
/// outdated view.
#[tokio::test]
async fn orders_while_an_entry_is_paused() -> anyhow::Result<()> {
    let load_test = LoadTest::start(Case::new()).await?;
    load_test.running.entries[FAULTY].program.pause()?;
    tokio::time::sleep(PAUSE).await;
    load_test.running.entries[FAULTY].program.resume()?;
    load_test.end("entry paused for 2 s").await?;
    Ok(())
}

/// Guards against second runs while an entry is partitioned from its peers, but callers and targets
/// still reach every entry.
#[tokio::test]
async fn orders_while_an_entry_is_cut_off() -> anyhow::Result<()> {
    let load_test = LoadTest::start(Case::new().with_peer_relays()).await?;
    let vm = |entry: usize| &load_test.running.entries[entry].vm;
    load_test.running.links.cut_both(vm(FAULTY), vm(1));
    load_test.running.links.cut_both(vm(FAULTY), vm(2));
    tokio::time::sleep(PAUSE).await;
    load_test.running.links.heal();
    load_test.end("entry cut off from its peers for 2 s").await?;
    Ok(())
}

/// Guards against `may-have-run` verdicts after a planned stop of an entry.
#[tokio::test]
async fn orders_while_an_entry_is_stopped_as_planned() -> anyhow::Result<()> {
    let mut load_test = LoadTest::start(Case::new()).await?;
    load_test.running.entries[FAULTY].program.terminate()?;
    load_test.running.entries[FAULTY].program.wait_exit().await?;
    let counts = load_test.end("planned stop").await?;
    assert_eq!(counts.orders, counts.succeeded, "{counts:?}");
    Ok(())
}

/// Guards against `may-have-run` verdicts and second runs when all entries are replaced one after
/// another, as in routine operation.
#[tokio::test]
async fn orders_while_all_entries_are_replaced() -> anyhow::Result<()> {
    let mut load_test = LoadTest::start(Case::new()).await?;
    for _ in 0..3 {
        load_test.running.start_entry().await?;
        load_test.running.publish_vms().await?;
        load_test.running.wait_ready().await?;
        load_test.running.entries[FAULTY].program.terminate()?;
        load_test.running.entries[FAULTY].program.wait_exit().await?;
        load_test.running.remove_entry(FAULTY).await?;
    }
    let counts = load_test.end("all entries replaced").await?;
    assert_eq!(counts.orders, counts.succeeded, "{counts:?}");
    Ok(())
}

/// Guards against second runs while one entry is paused and another is cut off from the third one,
/// so that claims wait on both.
#[tokio::test]
async fn orders_while_one_entry_is_paused_and_another_cut_off() -> anyhow::Result<()> {
    let load_test = LoadTest::start(Case::new().with_peer_relays()).await?;
    let vm = |entry: usize| &load_test.running.entries[entry].vm;
    load_test.running.entries[FAULTY].program.pause()?;
    load_test.running.links.cut_both(vm(OTHER_FAULTY), vm(2));
    tokio::time::sleep(PAUSE).await;
    load_test.running.entries[FAULTY].program.resume()?;
    tokio::time::sleep(PAUSE / 2).await;
    load_test.running.links.heal();
    load_test.end("one entry paused, another cut off").await?;
    Ok(())
}

/// Guards against stale state: one entry is killed while another is paused, which resumes with a
/// view in which the killed entry is live.
#[tokio::test]
async fn orders_while_one_entry_is_paused_and_another_killed() -> anyhow::Result<()> {
    let mut load_test = LoadTest::start(Case::new()).await?;
    load_test.running.entries[OTHER_FAULTY].program.pause()?;
    load_test.running.entries[FAULTY].program.kill().await?;
    tokio::time::sleep(PAUSE).await;
    load_test.running.restart_entry(FAULTY).await?;
    load_test.running.entries[OTHER_FAULTY].program.resume()?;
    load_test.end("one entry killed and restarted, another paused").await?;
    Ok(())
}

/// Guards against second runs when an entry is stopped as planned while partitioned from its peers:
/// no peer takes its ledger, and reports that operations have ended do not reach it.
#[tokio::test]
async fn orders_while_an_entry_that_is_cut_off_is_stopped() -> anyhow::Result<()> {
    let case = Case::new().with_peer_relays().with_setting("leaving", "grace_max_ms", "1500");
    let mut load_test = LoadTest::start(case).await?;
    let vm = |entry: usize| load_test.running.entries[entry].vm.clone();
    let (faulty, others) = (vm(FAULTY), [vm(1), vm(2)]);
    for other in &others {
        load_test.running.links.cut_both(&faulty, other);
    }
    load_test.running.entries[FAULTY].program.terminate()?;
    load_test.running.entries[FAULTY].program.wait_exit().await?;
    load_test.running.links.heal();
    load_test.end("planned stop of an entry that is cut off").await?;
    Ok(())
}

/// Guards against second runs when an entry is stopped as planned and the peer that may hold its
/// ledger is killed meanwhile.
#[tokio::test]
async fn orders_while_one_entry_is_stopped_and_another_killed() -> anyhow::Result<()> {
    let mut load_test = LoadTest::start(Case::new()).await?;
    load_test.running.entries[FAULTY].program.terminate()?;
    load_test.running.entries[OTHER_FAULTY].program.kill().await?;
    load_test.running.entries[FAULTY].program.wait_exit().await?;
    load_test.end("planned stop, another entry killed").await?;
    Ok(())
}
