//! Orders under load while a fault comes and goes: none runs twice, each verdict is true, and the
//! share that ends as may-have-run is printed for each fault.

use std::time::Duration;

use shallotfork_standin::caller::CallerConfig;
use shallotfork_tests::{Case, Running, Traffic, TrafficConfig, TrafficReport, wait_until};
use shallotfork_types::{ServiceName, Verdict};

const CALLERS: usize = 6;
const FAULTY: usize = 0;
const ALSO_FAULTY: usize = 1;

/// Orders that have to end before the fault, and again after it.
const ORDERS: u64 = 150;

/// Longer than the silence after which an entry is suspected.
const PAUSE: Duration = Duration::from_secs(2);

struct Shift {
    running: Running,
    traffic: Traffic,
}

impl Shift {
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
        let shift = Self { running, traffic: Traffic::start(&config)? };
        shift.wait_orders().await?;
        Ok(shift)
    }

    /// Waits until that many more orders have ended.
    async fn wait_orders(&self) -> anyhow::Result<()> {
        let goal = self.traffic.done() + ORDERS;
        wait_until("orders end", async || self.traffic.done() >= goal).await
    }

    /// Lets orders go on after the fault, then checks and counts how all of them ended.
    async fn end(self, fault: &str) -> anyhow::Result<Share> {
        self.wait_orders().await?;
        let report = self.traffic.stop().await;
        let share = check(&self.running, &report).await?;
        println!("{fault}: {share:?}");
        Ok(share)
    }
}

/// How orders ended, as their callers know it.
#[derive(Debug, Default, PartialEq, Eq)]
struct Share {
    orders: usize,
    succeeded: usize,
    not_run: usize,
    may_have_run: usize,
    ran: usize,
    /// No entry gave a whole answer to the last send.
    unknown: usize,
}

async fn check(running: &Running, report: &TrafficReport) -> anyhow::Result<Share> {
    let records = running.records().await?;
    let mut share = Share { orders: report.orders.len(), ..Share::default() };
    for order in &report.orders {
        let runs: u64 = records.iter().map(|records| records.runs_of_key(&order.key)).sum();
        assert!(runs <= 1, "{order:?} ran {runs} times");
        if order.succeeded {
            assert_eq!(1, runs, "{order:?}");
            share.succeeded += 1;
            continue;
        }
        match order.verdict {
            Some(Verdict::NotRun) => {
                assert_eq!(0, runs, "{order:?}");
                share.not_run += 1;
            }
            Some(Verdict::Ran) => {
                assert_eq!(1, runs, "{order:?}");
                share.ran += 1;
            }
            Some(Verdict::MayHaveRun) => share.may_have_run += 1,
            None => share.unknown += 1,
        }
    }
    assert_eq!(Vec::<String>::new(), report.wrong_answers);
    Ok(share)
}

/// An entry is killed in the middle of the morning's orders. Those under its sessions may end
/// without anybody knowing, but none runs twice and "not run" stays true.
#[tokio::test]
async fn orders_while_an_entry_is_killed() -> anyhow::Result<()> {
    let mut shift = Shift::start(Case::new()).await?;
    shift.running.entries[FAULTY].program.kill().await?;
    shift.end("entry killed").await?;
    Ok(())
}

/// An entry is paused for longer than every timeout and wakes up believing old facts.
#[tokio::test]
async fn orders_while_an_entry_is_paused() -> anyhow::Result<()> {
    let shift = Shift::start(Case::new()).await?;
    shift.running.entries[FAULTY].program.pause()?;
    tokio::time::sleep(PAUSE).await;
    shift.running.entries[FAULTY].program.resume()?;
    shift.end("entry paused for 2 s").await?;
    Ok(())
}

/// An entry is cut off from its peers, while callers and targets still reach all of them.
#[tokio::test]
async fn orders_while_an_entry_is_cut_off() -> anyhow::Result<()> {
    let shift = Shift::start(Case::new().with_peer_relays()).await?;
    let vm = |entry: usize| &shift.running.entries[entry].vm;
    shift.running.links.cut_both(vm(FAULTY), vm(1));
    shift.running.links.cut_both(vm(FAULTY), vm(2));
    tokio::time::sleep(PAUSE).await;
    shift.running.links.heal();
    shift.end("entry cut off from its peers for 2 s").await?;
    Ok(())
}

/// An entry is stopped as planned. Nobody is left in doubt: no order ends as may-have-run.
#[tokio::test]
async fn orders_while_an_entry_is_stopped_as_planned() -> anyhow::Result<()> {
    let mut shift = Shift::start(Case::new()).await?;
    shift.running.entries[FAULTY].program.terminate()?;
    shift.running.entries[FAULTY].program.wait_exit().await?;
    let share = shift.end("planned stop").await?;
    assert_eq!(share.orders, share.succeeded, "{share:?}");
    Ok(())
}

/// Every entry is replaced, one after the other, as on any ordinary day. No order is left in
/// doubt or doubled.
#[tokio::test]
async fn orders_while_all_entries_are_replaced() -> anyhow::Result<()> {
    let mut shift = Shift::start(Case::new()).await?;
    for _ in 0..3 {
        shift.running.start_entry().await?;
        shift.running.publish_vms().await?;
        shift.running.wait_ready().await?;
        shift.running.entries[FAULTY].program.terminate()?;
        shift.running.entries[FAULTY].program.wait_exit().await?;
        shift.running.remove_entry(FAULTY).await?;
    }
    let share = shift.end("all entries replaced").await?;
    assert_eq!(share.orders, share.succeeded, "{share:?}");
    Ok(())
}

/// One entry is paused while another one loses its link to it: claims wait on both.
#[tokio::test]
async fn orders_while_one_entry_is_paused_and_another_cut_off() -> anyhow::Result<()> {
    let shift = Shift::start(Case::new().with_peer_relays()).await?;
    let vm = |entry: usize| &shift.running.entries[entry].vm;
    shift.running.entries[FAULTY].program.pause()?;
    shift.running.links.cut_both(vm(ALSO_FAULTY), vm(2));
    tokio::time::sleep(PAUSE).await;
    shift.running.entries[FAULTY].program.resume()?;
    tokio::time::sleep(PAUSE / 2).await;
    shift.running.links.heal();
    shift.end("one entry paused, another cut off").await?;
    Ok(())
}

/// One entry is killed while another one is paused, which wakes up believing that it lives.
#[tokio::test]
async fn orders_while_one_entry_is_paused_and_another_killed() -> anyhow::Result<()> {
    let mut shift = Shift::start(Case::new()).await?;
    shift.running.entries[ALSO_FAULTY].program.pause()?;
    shift.running.entries[FAULTY].program.kill().await?;
    tokio::time::sleep(PAUSE).await;
    shift.running.restart_entry(FAULTY).await?;
    shift.running.entries[ALSO_FAULTY].program.resume()?;
    shift.end("one entry killed and restarted, another paused").await?;
    Ok(())
}

/// An entry is stopped as planned while it is cut off from its peers: nobody takes its ledger, and
/// ends of operations do not reach it.
#[tokio::test]
async fn orders_while_an_entry_that_is_cut_off_is_stopped() -> anyhow::Result<()> {
    let case = Case::new().with_peer_relays().with_setting("leaving", "grace_max_ms", "1500");
    let mut shift = Shift::start(case).await?;
    let vm = |entry: usize| shift.running.entries[entry].vm.clone();
    let (faulty, others) = (vm(FAULTY), [vm(1), vm(2)]);
    for other in &others {
        shift.running.links.cut_both(&faulty, other);
    }
    shift.running.entries[FAULTY].program.terminate()?;
    shift.running.entries[FAULTY].program.wait_exit().await?;
    shift.running.links.heal();
    shift.end("planned stop of an entry that is cut off").await?;
    Ok(())
}

/// An entry is stopped as planned, and the one that may hold its ledger is killed meanwhile.
#[tokio::test]
async fn orders_while_one_entry_is_stopped_and_another_killed() -> anyhow::Result<()> {
    let mut shift = Shift::start(Case::new()).await?;
    shift.running.entries[FAULTY].program.terminate()?;
    shift.running.entries[ALSO_FAULTY].program.kill().await?;
    shift.running.entries[FAULTY].program.wait_exit().await?;
    shift.end("planned stop, another entry killed").await?;
    Ok(())
}
