//! Budgets of probes and new connections, counted by the targets themselves.

use std::time::Duration;

use shallotfork_standin::caller::{Call, CallerConfig};
use shallotfork_standin::platform::ReplicaMode;
use shallotfork_standin::target::{SERVICE_US_HEADER, TargetRecords};
use shallotfork_tests::{Case, Running, Traffic, TrafficConfig, wait_until};
use shallotfork_types::ServiceName;

const SERVICE: &str = "register";
/// Probes per second to one target from the whole fleet: one hundredth of two slots at 6 ms a
/// probe, which is 3.3 probes a second.
const PROBES_A_SECOND: u64 = 3;
/// New connections per second to one target from the whole fleet.
const CONNECTIONS_A_SECOND: u64 = 12;

fn case() -> Case {
    Case::new()
        .with_entries(3)
        .with_service(SERVICE, 2)
        .with_setting("vm", "probe_shares", "3")
        .with_setting("measure", "probe_budget_permille", "10")
        .with_setting("measure", "new_connections_per_s", &CONNECTIONS_A_SECOND.to_string())
}

fn service() -> anyhow::Result<ServiceName> {
    Ok(SERVICE.parse()?)
}

/// Sends requests through every entry, since an entry starts probing a target at its first answer.
async fn send_through_all_entries(running: &Running) -> anyhow::Result<()> {
    let caller = running.caller()?;
    let call = Call::get(service()?, "/card").with_header(SERVICE_US_HEADER, "30000");
    for address in running.caller_addresses() {
        let sends = (0..8).map(|_| caller.send_to(address, &call));
        futures::future::join_all(sends).await;
    }
    Ok(())
}

async fn wait_for_probes(running: &Running, more: u64) -> anyhow::Result<()> {
    let before = running.records().await?;
    wait_until("every target was probed again", async || {
        let Ok(now) = running.records().await else { return false };
        before.iter().zip(&now).all(|(before, now)| now.probes >= before.probes + more)
    })
    .await
}

/// Guards against probes that delay requests: entries are restarted, paused and disconnected from
/// the platform, receive different VM lists, and each probes by its own clock and view. Targets
/// count the probes in every window of a second.
#[tokio::test]
async fn probe_budget_holds_under_entry_faults() -> anyhow::Result<()> {
    let mut running = case().start().await?;
    send_through_all_entries(&running).await?;
    wait_for_probes(&running, 3).await?;

    running.entries[0].program.kill().await?;
    running.restart_entry(0).await?;
    running.entries[1].program.pause()?;
    running.platform.set_mode(ReplicaMode::Down).await?;
    wait_for_probes(&running, 2).await?;
    running.entries[1].program.resume()?;
    send_through_all_entries(&running).await?;
    wait_for_probes(&running, 4).await?;

    for (target, records) in running.targets.iter().zip(running.records().await?) {
        let most = records.probes_max_in_second;
        assert!(most <= PROBES_A_SECOND, "{}: {most} probes in a second", target.id);
    }
    Ok(())
}

/// Guards against a burst of probes to a target that resumes after seconds of pause. If entries
/// kept probing it, it would have to answer all the probes in its buffers at once.
#[tokio::test]
async fn resumed_target_gets_no_probe_burst() -> anyhow::Result<()> {
    let running = case().start().await?;
    send_through_all_entries(&running).await?;
    wait_for_probes(&running, 1).await?;

    running.targets[0].program.pause()?;
    tokio::time::sleep(Duration::from_secs(4)).await;
    running.targets[0].program.resume()?;
    wait_until("the target answers again", async || running.targets[0].records().await.is_ok())
        .await?;
    send_through_all_entries(&running).await?;
    wait_for_probes(&running, 2).await?;

    let most = running.targets[0].records().await?.probes_max_in_second;
    assert!(most <= PROBES_A_SECOND, "{most} probes in a second");
    Ok(())
}

/// Guards against needless probes: answers carry load reports, so a target that serves traffic
/// needs no probes.
#[tokio::test]
async fn targets_reporting_load_in_answers_are_not_probed() -> anyhow::Result<()> {
    let running = case().with_entries(1).with_setting("vm", "probe_shares", "1").start().await?;
    let caller = CallerConfig::new(running.caller_addresses());
    let traffic = Traffic::start(&TrafficConfig::new(caller).with_reads(&service()?))?;
    wait_until("both targets serve", async || {
        let records = running.records().await.unwrap_or_default();
        records.iter().filter(|records| records.runs > 20).count() == 2
    })
    .await?;
    let probes = |records: Vec<TargetRecords>| records.iter().map(|one| one.probes).sum::<u64>();
    let before = probes(running.records().await?);
    let done = traffic.done();
    wait_until("much more traffic has passed", async || traffic.done() > done + 1000).await?;
    let after = probes(running.records().await?);
    traffic.stop().await;
    assert_eq!(before, after);
    let budgets = running.entries[0].status().await?.budgets;
    assert_eq!(after, budgets.probes);
    assert!(budgets.attempts > 1000, "operators see {} attempts", budgets.attempts);
    Ok(())
}

/// Returns the number of connections that each target has accepted so far.
async fn opened(running: &Running) -> anyhow::Result<Vec<u64>> {
    let records = running.records().await?;
    Ok(records.iter().map(|records| records.connections.opened).collect())
}

/// Guards against a burst of reconnects when all entries are killed and restarted under traffic.
/// Without spacing, each would cost a millisecond of targets that are already overloaded.
#[tokio::test]
async fn connection_budget_holds_when_all_entries_restart() -> anyhow::Result<()> {
    let mut running = case().start().await?;
    let caller = CallerConfig::new(running.caller_addresses());
    let mut config = TrafficConfig::new(caller).with_reads(&service()?);
    config.callers = 12;
    let traffic = Traffic::start(&config)?;
    wait_until("traffic flows", async || traffic.done() > 200).await?;
    traffic.stop().await;
    let before = opened(&running).await?;

    for index in 0..3 {
        running.entries[index].program.kill().await?;
    }
    for index in 0..3 {
        running.restart_entry(index).await?;
    }
    running.wait_ready().await?;
    let caller = CallerConfig::new(running.caller_addresses());
    config.caller = caller;
    let traffic = Traffic::start(&config)?;
    wait_until("traffic flows again", async || traffic.done() > 400).await?;
    // The entries choose the targets, and the budget is only tested at targets that are connected
    // to again, so traffic continues until all of them are.
    wait_until("all targets are reconnected to", async || {
        let Ok(after) = opened(&running).await else { return false };
        before.iter().zip(after).all(|(before, after)| after > *before)
    })
    .await?;
    traffic.stop().await;

    for (target, records) in running.targets.iter().zip(running.records().await?) {
        let most = records.connections.opened_max_in_second;
        assert!(most <= CONNECTIONS_A_SECOND, "{}: {most} in a second", target.id);
    }
    Ok(())
}
