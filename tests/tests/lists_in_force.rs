//! Published rule lists take effect on every entry, or none does.

use shallotfork_standin::platform::Fault;
use shallotfork_tests::{Case, RevisionWatch, Running, wait_until};
use shallotfork_types::Revision;
use shallotfork_types::report::AuditOutcome;

/// A valid list that differs from others by its number.
fn rules(number: u32) -> String {
    format!("[everything]\nthen.deadline_ms = {}\n", 1000 + number)
}

/// Publishes over whatever is in force and gives the new revision.
async fn publish(running: &Running, content: &str) -> anyhow::Result<Revision> {
    let before = running.entries[0].rules_revision().await;
    let published = running.platform.publish_over("rules", content, before).await?;
    published.ok_or_else(|| anyhow::anyhow!("somebody else published"))
}

#[tokio::test]
async fn a_rule_list_decides_on_every_entry_once_published() -> anyhow::Result<()> {
    let running = Case::new().with_entries(3).with_service("recipes", 1).start().await?;
    let revision = publish(&running, "[closed]\nthen.refuse = 451\n").await?;
    wait_until("the list is in force", async || running.has_rules_everywhere(revision).await)
        .await?;
    for address in running.caller_addresses() {
        let request = reqwest::Client::new().get(format!("http://{address}/card"));
        let answer = request.header("host", "recipes").send().await?;
        assert_eq!(451, answer.status().as_u16(), "{address}");
    }
    Ok(())
}

/// An operator publishes a list with a mistake past the check. Callers must go on being served by
/// the last good list on every entry, and the operator must see the refusal; the mended list takes
/// effect.
#[tokio::test]
async fn a_bad_list_leaves_the_last_good_one_in_force() -> anyhow::Result<()> {
    let running = Case::new().with_entries(2).start().await?;
    let good = publish(&running, &rules(1)).await?;
    wait_until("the good list is in force", async || running.has_rules_everywhere(good).await)
        .await?;
    let bad = publish(&running, "[broken]\nwhen.colour = red\n").await?;
    for entry in &running.entries {
        wait_until("the bad list is refused", async || {
            entry.rules().await.is_ok_and(|rules| rules.refused_revision == Some(bad))
        })
        .await?;
        assert_eq!(good, entry.rules().await?.revision);
        let outcomes: Vec<AuditOutcome> =
            entry.audit().await?.into_iter().map(|change| change.outcome).collect();
        assert!(outcomes.contains(&AuditOutcome::Invalid), "{outcomes:?}");
        assert!(entry.is_ready().await);
    }
    let published = running.platform.publish_over("rules", &rules(2), bad).await?;
    let mended = published.ok_or_else(|| anyhow::anyhow!("somebody else published"))?;
    wait_until("the mended list is in force", async || running.has_rules_everywhere(mended).await)
        .await
}

/// Two operators publish change after change at the same time. Each change is refused or in force
/// everywhere; in the end every entry has the last one, and none ever went back.
#[tokio::test]
async fn two_operators_publishing_at_once_end_with_one_list() -> anyhow::Result<()> {
    let running = Case::new().with_entries(3).start().await?;
    let watch = RevisionWatch::start(&running.entries);
    let operator = async |first: u32| {
        let mut last = Revision::NONE;
        for number in 0..10 {
            let seen = running.entries[0].rules_revision().await;
            let content = rules(first + number);
            if let Some(revision) = running.platform.publish_over("rules", &content, seen).await? {
                last = revision;
            }
        }
        anyhow::Ok(last)
    };
    let (one, other) = tokio::join!(operator(0), operator(100));
    let last = one?.max(other?);
    wait_until("the last list is in force", async || running.has_rules_everywhere(last).await)
        .await?;
    assert!(running.agrees_on_rules().await);
    assert_eq!(Vec::<String>::new(), watch.decreases());
    Ok(())
}

/// Two replicas of the platform hold different lists under one revision, and each entry reads
/// another replica. Callers would be treated by different rules for good; the entries must compare,
/// settle on the same list and raise the alarm.
#[tokio::test]
async fn conflicting_replicas_raise_an_alarm_and_settle_the_same_way() -> anyhow::Result<()> {
    let running = Case::new().with_entries(2).with_replica_for_each_entry().start().await?;
    let watch = RevisionWatch::start(&running.entries);
    let conflict = Fault::Conflict { name: "rules".into(), content: rules(2) };
    running.platform.fault(Some(1), conflict).await?;
    let revision = publish(&running, &rules(1)).await?;
    wait_until("both have the revision", async || running.has_rules_everywhere(revision).await)
        .await?;
    wait_until("both have the same content", async || running.agrees_on_rules().await).await?;
    for entry in &running.entries {
        let conflicts = async || {
            let changes = entry.audit().await.unwrap_or_default();
            let is_conflict = |outcome| {
                matches!(outcome, AuditOutcome::ConflictAccepted | AuditOutcome::ConflictRefused)
            };
            changes.into_iter().any(|change| is_conflict(change.outcome))
        };
        wait_until("the alarm is raised", conflicts).await?;
    }
    assert_eq!(Vec::<String>::new(), watch.decreases());
    Ok(())
}
