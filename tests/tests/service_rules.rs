//! Rules of one service, published as a list of their own.

use shallotfork_standin::caller::plain_client;
use shallotfork_tests::{Case, Running, wait_until};

const GENERAL: &str = "[all]\nthen.refuse = 451\n";
const OWN: &str = "[batch]\nwhen.caller = batch\nthen.refuse = 429\n[rest]\nthen.retries = 0\n";
const BAD: &str = "[rest]\nwhen.service = orders\n";

async fn status(running: &Running, service: &str, caller: &str) -> anyhow::Result<u16> {
    let http = plain_client(std::time::Duration::from_secs(5))?;
    let request = http.get(format!("http://{}/card", running.caller_addresses()[0]));
    let request = request.header("host", service).header("shallotfork-caller", caller);
    Ok(request.send().await?.status().as_u16())
}

/// The general list refuses everything; one service's own list must decide for that service, on
/// top of the general one, and for no other.
#[tokio::test]
async fn rules_of_a_service_decide_for_it_alone() -> anyhow::Result<()> {
    let case = Case::new().with_entries(1).with_rules(GENERAL);
    let running = case.with_service("orders", 1).with_service("cards", 1).start().await?;
    assert_eq!(451, status(&running, "orders", "shop").await?);

    running.platform.publish("rules.orders", OWN).await?;

    wait_until("the service's rules are in force", async || {
        status(&running, "orders", "shop").await.is_ok_and(|status| status == 200)
    })
    .await?;
    assert_eq!(429, status(&running, "orders", "batch").await?);
    assert_eq!(451, status(&running, "cards", "shop").await?);
    Ok(())
}

/// An operator publishes a bad list for one service. Its last good rules must go on deciding.
#[tokio::test]
async fn a_bad_list_of_a_service_leaves_its_last_good_one_in_force() -> anyhow::Result<()> {
    let case = Case::new().with_entries(1).with_rules(GENERAL).with_service("orders", 1);
    let running = case.start().await?;
    running.platform.publish("rules.orders", OWN).await?;
    wait_until("the service's rules are in force", async || {
        status(&running, "orders", "batch").await.is_ok_and(|status| status == 429)
    })
    .await?;

    running.platform.publish("rules.orders", BAD).await?;

    wait_until("the bad list is refused", async || {
        let status = running.entries[0].status().await;
        status.is_ok_and(|status| status.lists.iter().any(|list| list.refused_revision.is_some()))
    })
    .await?;
    assert_eq!(429, status(&running, "orders", "batch").await?);
    Ok(())
}

/// An operator's first list for a service is bad. Nothing of that name is in force, and the status
/// once showed lists in force only: the refusal was seen nowhere but in the log.
#[tokio::test]
async fn a_first_list_that_is_bad_shows_as_refused() -> anyhow::Result<()> {
    let case = Case::new().with_entries(1).with_rules(GENERAL).with_service("orders", 1);
    let running = case.start().await?;

    running.platform.publish("rules.orders", BAD).await?;

    wait_until("the bad list is refused", async || {
        let status = running.entries[0].status().await;
        status.is_ok_and(|status| status.lists.iter().any(|list| list.refused_revision.is_some()))
    })
    .await?;
    assert_eq!(451, status(&running, "orders", "batch").await?);
    Ok(())
}
