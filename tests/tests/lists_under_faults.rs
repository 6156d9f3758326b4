//! Propagation of rule lists while the platform, entries or the links between them fail.

use shallotfork_standin::platform::{Fault, ReplicaMode};
use shallotfork_tests::{Case, Entry, RevisionWatch, Running, wait_until};
use shallotfork_types::Revision;
use shallotfork_types::report::AuditOutcome;

/// Returns a valid rule list whose content depends on `number`.
fn rule_list(number: u32) -> String {
    format!("[everything]\nthen.deadline_ms = {}\n", 1000 + number)
}

/// Publishes on top of the first entry's list in force and returns the new revision.
async fn publish(running: &Running, number: u32) -> anyhow::Result<Revision> {
    let before = running.entries[0].rules_revision().await;
    let published = running.platform.publish_over("rules", &rule_list(number), before).await?;
    published.ok_or_else(|| anyhow::anyhow!("another operator published first"))
}

async fn wait_in_force(running: &Running, revision: Revision) -> anyhow::Result<()> {
    wait_until("the list is in force", async || running.has_rules_everywhere(revision).await).await
}

async fn set_mode(running: &Running, replica: usize, mode: ReplicaMode) -> anyhow::Result<()> {
    running.platform.fault(Some(replica), Fault::Mode(mode)).await
}

/// One entry's platform replica is down, hangs or serves old data, so the entry cannot read a newly
/// published list. It must still apply the list to its callers by pulling it from the other entry.
#[tokio::test]
async fn disconnected_entry_pulls_lists_from_its_peers() -> anyhow::Result<()> {
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

/// One platform replica serves the data from before the last change, and each entry reads it in
/// turn. Accepting its list would bring the old rules back for callers; the entries must refuse it
/// and record the refusal in the audit trail.
#[tokio::test]
async fn stale_replica_does_not_revert_a_change() -> anyhow::Result<()> {
    let case = Case::new().with_entries(2).with_replicas(2);
    let case = case.with_setting("platform", "wait_ms", "200");
    let running = case.with_setting("platform", "full_read_ms", "100").start().await?;
    let watch = RevisionWatch::start(&running.entries);
    let old = running.entries[0].status().await?.synced_revision;
    let new = publish(&running, 1).await?;
    wait_in_force(&running, new).await?;
    set_mode(&running, 1, ReplicaMode::Stale { revision: old }).await?;
    for entry in &running.entries {
        let has_refused = async || {
            let changes = entry.audit().await.unwrap_or_default();
            changes.iter().any(|change| change.outcome == AuditOutcome::Lower)
        };
        wait_until("the old list is refused", has_refused).await?;
    }
    assert!(running.has_rules_everywhere(new).await);
    assert_eq!(Vec::<String>::new(), watch.decreases());
    Ok(())
}

/// After a new list is in force everywhere, the platform's replicas fall back to an older state and
/// an entry restarts without any stored state. It must pull from the other entry before it serves
/// callers, or they would get the older list again.
#[tokio::test]
async fn restarted_entry_pulls_newer_list_from_its_peers() -> anyhow::Result<()> {
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

/// An entry restarts during a long platform outage. It can read no list, not even the VM list that
/// names its peers; the other entries still connect to its address, and it must start from their
/// lists.
#[tokio::test]
async fn entry_starts_without_the_platform() -> anyhow::Result<()> {
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

/// The platform is restored from a backup, which lowers its revision. Before any entry reads it, an
/// operator publishes different content under a revision that was already in force. No entry may
/// revert; all must detect the conflict, agree on one list and record it in the audit trail. Lists
/// published above the old revision must take effect again.
#[tokio::test]
async fn platform_rollback_does_not_revert_a_change() -> anyhow::Result<()> {
    let case = Case::new().with_entries(3).with_setting("platform", "wait_ms", "500");
    let running = case.with_setting("platform", "full_read_ms", "1000").start().await?;
    let watch = RevisionWatch::start(&running.entries);
    let second = conflict_by_rollback(&running).await?;
    let third = running.platform.publish_over("rules", &rule_list(4), second).await?;
    let third = third.ok_or_else(|| anyhow::anyhow!("another operator published first"))?;
    wait_in_force(&running, third).await?;
    assert_eq!(Vec::<String>::new(), watch.decreases());
    Ok(())
}

/// Guards against a conflict that shows only at the next full read, an hour later: the platform is restored
/// from a backup and has passed the known revision again before any entry asks.
#[tokio::test]
async fn rollback_is_noticed_although_the_revision_has_been_passed() -> anyhow::Result<()> {
    let case = Case::new().with_entries(3).with_setting("platform", "wait_ms", "500");
    let running = case.start().await?;
    conflict_by_rollback(&running).await.map(drop)
}

/// Restores the platform from a backup after two changes, publishes another content under the revision of
/// the second one, and waits until all entries have noticed and agree. Returns that revision.
async fn conflict_by_rollback(running: &Running) -> anyhow::Result<Revision> {
    let first = publish(running, 1).await?;
    let second = running.platform.publish_over("rules", &rule_list(2), first).await?;
    let second = second.ok_or_else(|| anyhow::anyhow!("another operator published first"))?;
    wait_in_force(running, second).await?;
    running.platform.roll_back(first).await?;
    let conflicting = running.platform.publish_over("rules", &rule_list(3), first).await?;
    assert_eq!(Some(second), conflicting);
    for entry in &running.entries {
        wait_until("the conflict is audited", async || has_conflict(entry).await).await?;
    }
    wait_until("all entries agree on one list", async || running.agrees_on_rules().await).await?;
    Ok(second)
}

async fn has_conflict(entry: &Entry) -> bool {
    let changes = entry.audit().await.unwrap_or_default();
    let is_conflict =
        |outcome| matches!(outcome, AuditOutcome::ConflictAccepted | AuditOutcome::ConflictRefused);
    changes.iter().any(|change| is_conflict(change.outcome))
}

/// A partition separates one entry from the platform and from the other entries; it keeps serving
/// callers by the list it has. When the links between entries heal, it must catch up from its peers
/// although its platform replica is still down.
#[tokio::test]
async fn newer_list_propagates_after_a_partition_heals() -> anyhow::Result<()> {
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
        wait_until("the connected entries have the list", async || {
            entry.rules_revision().await >= revision
        })
        .await?;
    }
    assert_eq!(old, running.entries[2].rules_revision().await);
    assert!(running.entries[2].is_ready().await);
    running.links.heal();
    wait_in_force(&running, revision).await?;
    assert_eq!(Vec::<String>::new(), watch.decreases());
    Ok(())
}

/// An entry is paused for longer than every timeout while an operator publishes twice. It resumes
/// with the old list in force; it must catch up and must not propagate the old list.
#[tokio::test]
async fn resumed_entry_catches_up_without_propagating_old_lists() -> anyhow::Result<()> {
    let case = Case::new().with_entries(3).with_setting("platform", "wait_ms", "500");
    let running = case.start().await?;
    let watch = RevisionWatch::start(&running.entries[..2]);
    running.entries[2].program.pause()?;
    let first = publish(&running, 1).await?;
    let second = running.platform.publish_over("rules", &rule_list(2), first).await?;
    let second = second.ok_or_else(|| anyhow::anyhow!("another operator published first"))?;
    for entry in &running.entries[..2] {
        wait_until("the other entries have the list", async || {
            entry.rules_revision().await >= second
        })
        .await?;
    }
    running.entries[2].program.resume()?;
    wait_in_force(&running, second).await?;
    assert!(running.agrees_on_rules().await);
    assert_eq!(Vec::<String>::new(), watch.decreases());
    Ok(())
}
