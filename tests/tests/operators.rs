//! The operator port of running entry processes.

use std::time::Duration;

use http::StatusCode;
use shallotfork_standin::caller::{Call, plain_client};
use shallotfork_tests::{Case, Running, wait_until};
use shallotfork_types::Endpoint;
use shallotfork_types::report::{AuditReport, LifeCycleState};

const OPERATOR_PATHS: [&str; 5] =
    ["/v1/ready", "/v1/status", "/v1/audit", "/v1/lists/rules", "/metrics"];
const TOKEN: &str = "0123456789abcdef0123456789abcdef";

async fn get_status(
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
async fn status_and_audit_report_lists_in_force() -> anyhow::Result<()> {
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

/// Operators check in the status whether retries, hedges and probes stay within their budgets.
/// Counters stuck at zero would hide a storm of them.
#[tokio::test]
async fn status_counts_attempts_and_probes() -> anyhow::Result<()> {
    let case = Case::new().with_service("recipe-desk", 1).with_setting("vm", "probe_shares", "1");
    let running = case.start().await?;
    let entry = &running.entries[0];
    let call = Call::get("recipe-desk".parse()?, "/card");
    for _ in 0..3 {
        running.caller()?.send_to(entry.ready.callers, &call).await;
    }
    let budgets = entry.status().await?.budgets;
    assert_eq!((3, 0), (budgets.attempts, budgets.retries), "{budgets:?}");
    // Probing starts only after a response that arrived when the entry already knew the target.
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

/// An entry is killed. Alerts rely on the other entries' metric of suspected entries, which must
/// match their status.
#[tokio::test]
async fn metrics_count_suspected_entries() -> anyhow::Result<()> {
    let mut running = Case::new().with_entries(2).start().await?;
    running.entries[1].program.kill().await?;
    let survivor = &running.entries[0];
    let expected = "shallotd_entries{state=\"suspected\"} 1";
    wait_until("the killed entry is counted as suspected", async || {
        survivor.operator_get("/metrics").await.is_ok_and(|page| page.contains(expected))
    })
    .await
}

#[tokio::test]
async fn operator_port_requires_the_configured_token() -> anyhow::Result<()> {
    let file = std::env::temp_dir().join(format!("shallotfork-token-{}", std::process::id()));
    std::fs::write(&file, format!("{TOKEN}\n"))?;
    let case = Case::new().with_setting("operators", "token_file", &file.display().to_string());
    let running = case.without_waiting().start().await?;
    std::fs::remove_file(&file)?;
    let address = running.entries[0].ready.operators;

    for path in OPERATOR_PATHS {
        let truncated = &TOKEN[..TOKEN.len() - 1];
        let wrong = TOKEN.replace('f', "e");
        for token in [None, Some(""), Some(truncated), Some(wrong.as_str())] {
            let status = get_status(address, path, token).await?;
            assert_eq!(StatusCode::UNAUTHORIZED, status, "{path} with {token:?}");
        }
        let status = get_status(address, path, Some(TOKEN)).await?;
        assert_ne!(StatusCode::UNAUTHORIZED, status, "{path}");
    }
    Ok(())
}

/// A caller requests operator paths on the caller port. Neither the address as host nor a service's
/// host with such a path may reach the operator pages.
#[tokio::test]
async fn callers_cannot_reach_operator_pages() -> anyhow::Result<()> {
    let running = start().await?;
    let entry = &running.entries[0];

    for path in OPERATOR_PATHS {
        assert_eq!(StatusCode::NOT_FOUND, get_status(entry.ready.callers, path, None).await?);
        let call = Call::get("recipe-desk".parse()?, path);
        let report = running.caller()?.send_to(entry.ready.callers, &call).await;
        let answered_by_target = report.success().is_some_and(|answer| answer.target.is_some());
        assert!(answered_by_target, "{path}: {report:?}");
    }
    Ok(())
}
