//! Rules of a single service, published as a separate list.

use shallotfork_standin::caller::plain_client;
use shallotfork_tests::{Case, Running, wait_until};

const GENERAL_RULES: &str = "[all]\nthen.refuse = 451\n";
const SERVICE_RULES: &str =
    "[batch]\nwhen.caller = batch\nthen.refuse = 429\n[rest]\nthen.retries = 0\n";
const INVALID_RULES: &str = "[rest]\nwhen.service = orders\n";

async fn status_of(running: &Running, service: &str, caller: &str) -> anyhow::Result<u16> {
    let http = plain_client(std::time::Duration::from_secs(5))?;
    let request = http.get(format!("http://{}/card", running.caller_addresses()[0]));
    let request = request.header("host", service).header("shallotfork-caller", caller);
    Ok(request.send().await?.status().as_u16())
}

/// The general list rejects everything. A service's own list must apply to that service on top of
/// the general one, and to no other service.
#[tokio::test]
async fn service_rules_apply_to_their_service_only() -> anyhow::Result<()> {
    let case = Case::new().with_entries(1).with_rules(GENERAL_RULES);
    let running = case.with_service("orders", 1).with_service("cards", 1).start().await?;
    assert_eq!(451, status_of(&running, "orders", "shop").await?);

    running.platform.publish("rules.orders", SERVICE_RULES).await?;

    wait_until("the service's rules are in force", async || {
        status_of(&running, "orders", "shop").await.is_ok_and(|status| status == 200)
    })
    .await?;
    assert_eq!(429, status_of(&running, "orders", "batch").await?);
    assert_eq!(451, status_of(&running, "cards", "shop").await?);
    Ok(())
}

/// An operator publishes an invalid list for a service. Its last valid list must stay in force.
#[tokio::test]
async fn invalid_service_list_keeps_last_valid_one_in_force() -> anyhow::Result<()> {
    let case = Case::new().with_entries(1).with_rules(GENERAL_RULES).with_service("orders", 1);
    let running = case.start().await?;
    running.platform.publish("rules.orders", SERVICE_RULES).await?;
    wait_until("the service's rules are in force", async || {
        status_of(&running, "orders", "batch").await.is_ok_and(|status| status == 429)
    })
    .await?;

    running.platform.publish("rules.orders", INVALID_RULES).await?;

    wait_until("the invalid list is refused", async || {
        let status = running.entries[0].status().await;
        status.is_ok_and(|status| status.lists.iter().any(|list| list.refused_revision.is_some()))
    })
    .await?;
    assert_eq!(429, status_of(&running, "orders", "batch").await?);
    Ok(())
}

/// The first list published for a service is invalid, so no list of that name is in force. A status
/// that shows only lists in force would leave the refusal visible in the log alone.
#[tokio::test]
async fn invalid_first_service_list_shows_as_refused() -> anyhow::Result<()> {
    let case = Case::new().with_entries(1).with_rules(GENERAL_RULES).with_service("orders", 1);
    let running = case.start().await?;

    running.platform.publish("rules.orders", INVALID_RULES).await?;

    wait_until("the invalid list is refused", async || {
        let status = running.entries[0].status().await;
        status.is_ok_and(|status| status.lists.iter().any(|list| list.refused_revision.is_some()))
    })
    .await?;
    assert_eq!(451, status_of(&running, "orders", "batch").await?);
    Ok(())
}
