//! Published rule lists take effect on every entry or on none.

use shallotfork_standin::platform::Fault;
use shallotfork_tests::{Case, RevisionWatch, Running, wait_until};
use shallotfork_types::Revision;
use shallotfork_types::report::AuditOutcome;

/// Returns a valid rule list whose content depends on `number`.
fn rule_list(number: u32) -> String {
    format!("[everything]\nthen.deadline_ms = {}\n", 1000 + number)
}

/// Publishes on top of the list in force and returns the new revision.
async fn publish(running: &Running, content: &str) -> anyhow::Result<Revision> {
    let before = running.entries[0].rules_revision().await;
    let published = running.platform.publish_over("rules", content, before).await?;
    published.ok_or_else(|| anyhow::anyhow!("another operator published first"))
}

#[tokio::test]
async fn published_rule_list_applies_on_every_entry() -> anyhow::Result<()> {
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

/// An operator publishes an invalid list without checking it first. Every entry must keep serving
/// callers by the last valid list and report the refusal; the corrected list then takes effect.
#[tokio::test]
async fn invalid_list_keeps_last_valid_list_in_force() -> anyhow::Result<()> {
    let running = Case::new().with_entries(2).start().await?;
    let valid = publish(&running, &rule_list(1)).await?;
    wait_until("the valid list is in force", async || running.has_rules_everywhere(valid).await)
        .await?;
    let invalid = publish(&running, "[broken]\nwhen.colour = red\n").await?;
    for entry in &running.entries {
        wait_until("the invalid list is refused", async || {
            entry.rules().await.is_ok_and(|rules| rules.refused_revision == Some(invalid))
        })
        .await?;
        assert_eq!(valid, entry.rules().await?.revision);
        let outcomes: Vec<AuditOutcome> =
            entry.audit().await?.into_iter().map(|change| change.outcome).collect();
        assert!(outcomes.contains(&AuditOutcome::Invalid), "{outcomes:?}");
        assert!(entry.is_ready().await);
    }
    let published = running.platform.publish_over("rules", &rule_list(2), invalid).await?;
    let corrected = published.ok_or_else(|| anyhow::anyhow!("another operator published first"))?;
    wait_until("the corrected list is in force", async || {
        running.has_rules_everywhere(corrected).await
    })
    .await
}

/// Two operators publish a series of changes at the same time. Each change is either refused or in
/// force on every entry; all entries must end with the last one, and no revision may ever fall.
#[tokio::test]
async fn concurrent_publishes_converge_on_one_list() -> anyhow::Result<()> {
    let running = Case::new().with_entries(3).start().await?;
    let watch = RevisionWatch::start(&running.entries);
    let operator = async |offset: u32| {
        let mut last = Revision::NONE;
        for number in 0..10 {
            let seen = running.entries[0].rules_revision().await;
            let content = rule_list(offset + number);
            if let Some(revision) = running.platform.publish_over("rules", &content, seen).await? {
                last = revision;
            }
        }
        anyhow::Ok(last)
    };
    let (first, second) = tokio::join!(operator(0), operator(100));
    let last = first?.max(second?);
    wait_until("the last list is in force", async || running.has_rules_everywhere(last).await)
        .await?;
    assert!(running.agrees_on_rules().await);
    assert_eq!(Vec::<String>::new(), watch.decreases());
    Ok(())
}

/// Two platform replicas hold different lists under the same revision, and each entry reads a
/// different replica. Without a comparison between entries, callers would permanently get different
/// rules; the entries must agree on one list and record the conflict in the audit trail.
#[tokio::test]
async fn conflicting_replicas_are_audited_and_resolved_alike() -> anyhow::Result<()> {
    let running = Case::new().with_entries(2).with_replica_for_each_entry().start().await?;
    let watch = RevisionWatch::start(&running.entries);
    let conflict = Fault::Conflict { name: "rules".into(), content: rule_list(2) };
    running.platform.fault(Some(1), conflict).await?;
    let revision = publish(&running, &rule_list(1)).await?;
    wait_until("both entries have the revision", async || {
        running.has_rules_everywhere(revision).await
    })
    .await?;
    wait_until("both entries have the same content", async || running.agrees_on_rules().await)
        .await?;
    for entry in &running.entries {
        let has_conflict = async || {
            let changes = entry.audit().await.unwrap_or_default();
            let is_conflict = |outcome| {
                matches!(outcome, AuditOutcome::ConflictAccepted | AuditOutcome::ConflictRefused)
            };
            changes.into_iter().any(|change| is_conflict(change.outcome))
        };
        wait_until("the conflict is audited", has_conflict).await?;
    }
    assert_eq!(Vec::<String>::new(), watch.decreases());
    Ok(())
}
