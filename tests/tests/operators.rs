//! The operators' port with real processes.

use std::time::Duration;

use http::StatusCode;
use shallotfork_standin::caller::{Call, plain_client};
use shallotfork_tests::{Case, Running, wait_until};
use shallotfork_types::Endpoint;
use shallotfork_types::report::{AuditReport, LifeCycleState};

const PAGES: [&str; 5] = ["/v1/ready", "/v1/status", "/v1/audit", "/v1/lists/rules", "/metrics"];
const TOKEN: &str = "0123456789abcdef0123456789abcdef";

async fn status_of(
    address: Endpoint,
    path: &str,
    token: Option<&str>,
) -> anyhow::Result<StatusCode> {
    let mut request = plain_client(Duration::from_secs(10))?.get(format!("http://{address}{path}"));
    if let Some(token) = token {
        request = request.bearer_auth(token);
    }
    Ok(request.send().await?.status())
}

async fn start() -> anyhow::Result<Running> {
    Case::new().with_service("recipe-desk", 1).start().await
}

#[tokio::test]
async fn status_and_audit_tell_what_is_in_force() -> anyhow::Result<()> {
    let running = start().await?;
    let entry = &running.entries[0];

    let status = entry.status().await?;
    let audit: AuditReport = serde_json::from_str(&entry.operator_get("/v1/audit").await?)?;
    let rules = entry.operator_get("/v1/lists/rules").await?;

    let lists: Vec<String> = status.lists.iter().map(|list| list.name.to_string()).collect();
    let changes: Vec<String> = audit.changes.iter().map(|change| change.list.to_string()).collect();
    assert_eq!(LifeCycleState::Serving, status.state);
    assert_eq!(["rules", "targets.recipe-desk", "vms"], lists[..]);
    assert_eq!(["targets.recipe-desk", "vms", "rules"], changes[..]);
    assert!(rules.contains("[everything]"), "{rules}");
    Ok(())
}

#[tokio::test]
async fn metrics_count_answers_by_verdict() -> anyhow::Result<()> {
    let running = start().await?;
    let entry = &running.entries[0];
    for service in ["recipe-desk", "no-such-desk"] {
        let call = Call::get(service.parse()?, "/card");
        running.caller()?.send_to(entry.ready.callers, &call).await;
    }

    let page = entry.operator_get("/metrics").await?;

    for line in [
        r#"shallotd_answers_total{status="2xx",verdict="none"} 1"#,
        r#"shallotd_answers_total{status="4xx",verdict="not-run"} 1"#,
        r#"shallotd_list_revision{list="rules"} 3"#,
        r#"shallotd_targets{state="serving"} 1"#,
        "shallotd_answer_seconds_count 2",
        "shallotd_ready 1",
    ] {
        assert!(page.lines().any(|found| found == line), "{line} is not in\n{page}");
    }
    Ok(())
}

/// An operator judges by the status whether retries, hedges and probes stay within their budgets.
/// Counts that stay at zero whatever is sent would hide a storm of them.
#[tokio::test]
async fn status_counts_what_is_sent_to_targets() -> anyhow::Result<()> {
    let case = Case::new().with_service("recipe-desk", 1).with_setting("vm", "probe_shares", "1");
    let running = case.start().await?;
    let entry = &running.entries[0];
    let call = Call::get("recipe-desk".parse()?, "/card");
    for _ in 0..3 {
        running.caller()?.send_to(entry.ready.callers, &call).await;
    }
    let budgets = entry.status().await?.budgets;
    assert_eq!((3, 0), (budgets.attempts, budgets.retries), "{budgets:?}");
    // Probes begin only after an answer that came when the process knew the target.
    let caller = running.caller()?;
    wait_until("a probe is counted", async || {
        let counted = entry.status().await.is_ok_and(|status| status.budgets.probes > 0);
        if !counted {
            tokio::time::sleep(Duration::from_secs(1)).await;
            caller.send_to(entry.ready.callers, &call).await;
        }
        counted
    })
    .await
}

/// An entry is killed. An operator's alarm rests on the count of suspected entries of the others,
/// which must follow what the status says.
#[tokio::test]
async fn metrics_count_suspected_entries() -> anyhow::Result<()> {
    let mut running = Case::new().with_entries(2).start().await?;
    running.entries[1].program.kill().await?;
    let other = &running.entries[0];
    let counted = "shallotd_entries{state=\"suspected\"} 1";
    wait_until("the killed entry is counted", async || {
        other.operator_get("/metrics").await.is_ok_and(|page| page.contains(counted))
    })
    .await
}

#[tokio::test]
async fn a_guarded_port_answers_only_with_the_token() -> anyhow::Result<()> {
    let file = std::env::temp_dir().join(format!("shallotfork-token-{}", std::process::id()));
    std::fs::write(&file, format!("{TOKEN}\n"))?;
    let case = Case::new().with_setting("operators", "token_file", &file.display().to_string());
    let running = case.without_waiting().start().await?;
    std::fs::remove_file(&file)?;
    let address = running.entries[0].ready.operators;

    for page in PAGES {
        let shorter = &TOKEN[..TOKEN.len() - 1];
        let other = TOKEN.replace('f', "e");
        for token in [None, Some(""), Some(shorter), Some(other.as_str())] {
            let status = status_of(address, page, token).await?;
            assert_eq!(StatusCode::UNAUTHORIZED, status, "{page} with {token:?}");
        }
        let status = status_of(address, page, Some(TOKEN)).await?;
        assert_ne!(StatusCode::UNAUTHORIZED, status, "{page}");
    }
    Ok(())
}

/// A caller tries the operators' pages on the callers' port. It must learn nothing there: neither
/// with the address as host, nor by naming a service like a page.
#[tokio::test]
async fn callers_cannot_reach_operators_pages() -> anyhow::Result<()> {
    let running = start().await?;
    let entry = &running.entries[0];

    for page in PAGES {
        assert_eq!(StatusCode::NOT_FOUND, status_of(entry.ready.callers, page, None).await?);
        let call = Call::get("recipe-desk".parse()?, page);
        let report = running.caller()?.send_to(entry.ready.callers, &call).await;
        let answered_by_target = report.success().is_some_and(|answer| answer.target.is_some());
        assert!(answered_by_target, "{page}: {report:?}");
    }
    Ok(())
}
