//! Rule lists while the platform, the entries or the links between them fail.

use shallotfork_standin::platform::{Fault, ReplicaMode};
use shallotfork_tests::{Case, Entry, RevisionWatch, Running, wait_until};
use shallotfork_types::Revision;
use shallotfork_types::report::AuditOutcome;

/// A valid list that differs from others by its number.
fn rules(number: u32) -> String {
    format!("[everything]\nthen.deadline_ms = {}\n", 1000 + number)
}

/// Publishes over what the first entry has in force and gives the new revision.
async fn publish(running: &Running, number: u32) -> anyhow::Result<Revision> {
    let before = running.entries[0].rules_revision().await;
    let published = running.platform.publish_over("rules", &rules(number), before).await?;
    published.ok_or_else(|| anyhow::anyhow!("somebody else published"))
}

async fn wait_in_force(running: &Running, revision: Revision) -> anyhow::Result<()> {
    wait_until("the list is in force", async || running.has_rules_everywhere(revision).await).await
}

async fn set_mode(running: &Running, replica: usize, mode: ReplicaMode) -> anyhow::Result<()> {
    running.platform.fault(Some(replica), Fault::Mode(mode)).await
}

/// One entry's replica of the platform is down, hangs or serves what it knew earlier. An operator
/// publishes; the entry cannot read it. Its callers must be treated by the new list all the same,
/// since the other entry has it.
#[tokio::test]
async fn an_entry_cut_off_from_the_platform_is_fed_by_its_peers() -> anyhow::Result<()> {
    let case = Case::new().with_entries(2).with_replica_for_each_entry();
    let running = case.with_setting("platform", "wait_ms", "1000").start().await?;
    let modes = [
        ReplicaMode::Down,
        ReplicaMode::Hanging,
        ReplicaMode::Stale { revision: running.entries[1].rules_revision().await },
    ];
    for (number, mode) in modes.into_iter().enumerate() {
        set_mode(&running, 1, mode).await?;
        let revision = publish(&running, u32::try_from(number)?).await?;
        wait_in_force(&running, revision).await?;
    }
    Ok(())
}

/// One of the platform's replicas serves what it knew before the last change, and each entry comes to
/// it in turn. Were its list taken, callers would see the old rules come back; the entries must
/// refuse it and say so.
#[tokio::test]
async fn a_stale_replica_does_not_undo_a_change() -> anyhow::Result<()> {
    let case = Case::new().with_entries(2).with_replicas(2);
    let case = case.with_setting("platform", "wait_ms", "200");
    let running = case.with_setting("platform", "full_read_ms", "100").start().await?;
    let watch = RevisionWatch::start(&running.entries);
    let old = running.entries[0].status().await?.synced_revision;
    let new = publish(&running, 1).await?;
    wait_in_force(&running, new).await?;
    set_mode(&running, 1, ReplicaMode::Stale { revision: old }).await?;
    for entry in &running.entries {
        let refused = async || {
            let changes = entry.audit().await.unwrap_or_default();
            changes.iter().any(|change| change.outcome == AuditOutcome::Lower)
        };
        wait_until("the old list is refused", refused).await?;
    }
    assert!(running.has_rules_everywhere(new).await);
    assert_eq!(Vec::<String>::new(), watch.decreases());
    Ok(())
}

/// A new list is in force everywhere; then the platform's replicas fall back to an older state and
/// an entry is replaced, with no memory. It must ask the other entry before it serves anybody, or
/// its callers would see the older list come back.
#[tokio::test]
async fn a_restarted_entry_takes_the_newer_list_from_its_peers() -> anyhow::Result<()> {
    let mut running = Case::new().with_entries(2).start().await?;
    let old = running.entries[0].rules_revision().await;
    let stale = running.entries[0].status().await?.synced_revision;
    let new = publish(&running, 1).await?;
    wait_in_force(&running, new).await?;
    assert!(old < new);
    running.platform.set_mode(ReplicaMode::Stale { revision: stale }).await?;
    for _ in 0..3 {
        running.entries[1].program.kill().await?;
        running.restart_entry(1).await?;
        running.wait_ready().await?;
        assert_eq!(new, running.entries[1].rules_revision().await);
    }
    Ok(())
}

/// The platform is down for long and an entry is replaced meanwhile. It cannot read any list, not
/// even that of the entries; the others still call its address, and it must start from them.
#[tokio::test]
async fn an_entry_starts_without_the_platform() -> anyhow::Result<()> {
    let mut running = Case::new().with_entries(2).with_peer_relays().start().await?;
    let revision = publish(&running, 1).await?;
    wait_in_force(&running, revision).await?;
    running.platform.set_mode(ReplicaMode::Down).await?;
    running.entries[1].program.kill().await?;
    running.restart_entry(1).await?;
    running.wait_ready().await?;
    assert_eq!(revision, running.entries[1].rules_revision().await);
    Ok(())
}

/// The platform is restored from a backup, so that its revision falls, and an operator publishes on
/// top of that: other content under a revision that was in force, before any entry asks. No entry
/// may go back; all must notice, settle on one list and raise the alarm; and what is published above the old revision takes effect again.
#[tokio::test]
async fn a_rolled_back_platform_does_not_undo_a_change() -> anyhow::Result<()> {
    let case = Case::new().with_entries(3).with_setting("platform", "wait_ms", "500");
    let running = case.with_setting("platform", "full_read_ms", "1000").start().await?;
    let watch = RevisionWatch::start(&running.entries);
    let first = publish(&running, 1).await?;
    let second = running.platform.publish_over("rules", &rules(2), first).await?;
    let second = second.ok_or_else(|| anyhow::anyhow!("somebody else published"))?;
    wait_in_force(&running, second).await?;
    running.platform.roll_back(first).await?;
    let again = running.platform.publish_over("rules", &rules(3), first).await?;
    assert_eq!(Some(second), again);
    for entry in &running.entries {
        wait_until("the conflict is noticed", async || has_conflict(entry).await).await?;
    }
    wait_until("all settle on one list", async || running.agrees_on_rules().await).await?;
    let third = running.platform.publish_over("rules", &rules(4), second).await?;
    let third = third.ok_or_else(|| anyhow::anyhow!("somebody else published"))?;
    wait_in_force(&running, third).await?;
    assert_eq!(Vec::<String>::new(), watch.decreases());
    Ok(())
}

async fn has_conflict(entry: &Entry) -> bool {
    let changes = entry.audit().await.unwrap_or_default();
    let is_conflict =
        |outcome| matches!(outcome, AuditOutcome::ConflictAccepted | AuditOutcome::ConflictRefused);
    changes.iter().any(|change| is_conflict(change.outcome))
}

/// A partition cuts one entry off from the platform and from the other entries; it goes on serving
/// its callers by the list that it has. When the links between entries heal, it must catch up from
/// them though its replica of the platform is still down.
#[tokio::test]
async fn a_healed_partition_brings_the_newer_list() -> anyhow::Result<()> {
    let case = Case::new().with_entries(3).with_replica_for_each_entry().with_peer_relays();
    let running = case.start().await?;
    let watch = RevisionWatch::start(&running.entries);
    let old = running.entries[2].rules_revision().await;
    let [one, two, three] = [0, 1, 2].map(|index| running.entries[index].vm.clone());
    set_mode(&running, 2, ReplicaMode::Down).await?;
    running.links.cut_both(&three, &one);
    running.links.cut_both(&three, &two);
    let revision = publish(&running, 1).await?;
    for entry in &running.entries[..2] {
        wait_until("this side has it", async || entry.rules_revision().await >= revision).await?;
    }
    assert_eq!(old, running.entries[2].rules_revision().await);
    assert!(running.entries[2].is_ready().await);
    running.links.heal();
    wait_in_force(&running, revision).await?;
    assert_eq!(Vec::<String>::new(), watch.decreases());
    Ok(())
}

/// An entry is paused for longer than every timeout while an operator publishes twice. When it
/// wakes it still believes the old list; it must catch up and must not hand the old list on.
#[tokio::test]
async fn a_paused_entry_catches_up_and_hands_on_nothing_old() -> anyhow::Result<()> {
    let case = Case::new().with_entries(3).with_setting("platform", "wait_ms", "500");
    let running = case.start().await?;
    let watch = RevisionWatch::start(&running.entries[..2]);
    running.entries[2].program.pause()?;
    let first = publish(&running, 1).await?;
    let second = running.platform.publish_over("rules", &rules(2), first).await?;
    let second = second.ok_or_else(|| anyhow::anyhow!("somebody else published"))?;
    for entry in &running.entries[..2] {
        wait_until("the others have it", async || entry.rules_revision().await >= second).await?;
    }
    running.entries[2].program.resume()?;
    wait_in_force(&running, second).await?;
    assert!(running.agrees_on_rules().await);
    assert_eq!(Vec::<String>::new(), watch.decreases());
    Ok(())
}
