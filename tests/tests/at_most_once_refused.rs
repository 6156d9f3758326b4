//! Orders that are rejected before they are claimed, and sessions that are invalid.

use shallotfork_standin::caller::{Caller, CallerConfig, Report};
use shallotfork_tests::{OrderFixture, has_verdict, wait_until};
use shallotfork_types::Verdict;

const ISSUER: usize = 0;
const EXECUTOR: usize = 1;
const OTHER: usize = 2;

/// A digest that does not match the body of any order here.
const WRONG_DIGEST: &str = "sha-256=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:";

fn status(report: &Report) -> Option<u16> {
    report.answer.as_ref().map(|answer| answer.status)
}

/// Guards against a duplicate order: a damaged copy is rejected as `not-run`, so the caller may
/// send the order anew under another key. An intact copy that arrives late must not run.
#[tokio::test]
async fn rejected_key_never_runs() -> anyhow::Result<()> {
    let fixture = OrderFixture::start_default().await?;
    let session = fixture.session(ISSUER).await?;
    let whole = fixture.order("damaged", &session)?;
    let damaged = whole.clone().with_header("content-digest", WRONG_DIGEST);

    let rejected = fixture.send(EXECUTOR, &damaged).await;
    let late = fixture.send(OTHER, &whole).await;

    assert!(has_verdict(&rejected, Verdict::NotRun), "{rejected:?}");
    assert!(has_verdict(&late, Verdict::NotRun), "{late:?}");
    assert_eq!(0, fixture.runs("damaged").await?);
    Ok(())
}

/// Guards against a false `not-run`: the issuer is unreachable, so the key of the rejected order
/// cannot be closed and a late copy could still run.
#[tokio::test]
async fn rejection_without_issuer_yields_may_have_run() -> anyhow::Result<()> {
    let mut fixture = OrderFixture::start_default().await?;
    let session = fixture.session(ISSUER).await?;
    let order = fixture.order("damaged", &session)?.with_header("content-digest", WRONG_DIGEST);
    fixture.running.entries[ISSUER].program.kill().await?;

    let rejected = fixture.send(EXECUTOR, &order).await;

    assert!(has_verdict(&rejected, Verdict::MayHaveRun), "{rejected:?}");
    Ok(())
}

/// Guards against a rejected order that runs through another entry: the ledger is full and rejects
/// an order as `not-run`. Its copies are rejected everywhere, and a new session of another entry
/// accepts new orders.
#[tokio::test]
async fn full_ledger_rejects_orders_everywhere() -> anyhow::Result<()> {
    let fixture = OrderFixture::start(OrderFixture::default_case().with_setting(
        "once",
        "operations_max",
        "2",
    ))
    .await?;
    let session = fixture.session(ISSUER).await?;
    for number in 0..2 {
        let taken =
            fixture.send(EXECUTOR, &fixture.order(&format!("taken-{number}"), &session)?).await;
        assert!(taken.success().is_some(), "{taken:?}");
    }

    let order = fixture.order("no-room", &session)?;
    let rejected = fixture.send(EXECUTOR, &order).await;
    let copy = fixture.send(OTHER, &order).await;
    let elsewhere = fixture.order("elsewhere", &fixture.session(OTHER).await?)?;
    let fresh = fixture.send(EXECUTOR, &elsewhere).await;

    assert!(has_verdict(&rejected, Verdict::NotRun), "{rejected:?}");
    assert_eq!(Some(503), status(&rejected));
    assert!(rejected.answer.as_ref().is_some_and(|answer| answer.retry_after_s.is_some()));
    assert!(has_verdict(&copy, Verdict::NotRun), "{copy:?}");
    assert!(fresh.success().is_some(), "{fresh:?}");
    assert_eq!(0, fixture.runs("no-room").await?);
    Ok(())
}

/// Guards against orders that run under malformed sessions, or under sessions that no entry has
/// signed. Each is rejected with status 400.
#[tokio::test]
async fn forged_sessions_are_rejected() -> anyhow::Result<()> {
    let fixture = OrderFixture::start_default().await?;
    let session = fixture.session(ISSUER).await?;
    let longer = session.replace("~600000~", "~999999999~");
    assert_ne!(session, longer);
    let long = "a".repeat(4000);
    for (number, forged) in [longer.as_str(), "", "~~~~~~", &long].into_iter().enumerate() {
        for entry in [ISSUER, EXECUTOR] {
            let order = fixture.order(&format!("forged-{number}"), forged)?;
            let answer = fixture.send(entry, &order).await;
            assert!(has_verdict(&answer, Verdict::NotRun), "{forged:?}: {answer:?}");
            assert_eq!(Some(400), status(&answer), "{forged:?}");
        }
        assert_eq!(0, fixture.runs(&format!("forged-{number}")).await?);
    }
    Ok(())
}

/// Guards against a leaving entry that issues its own session, which would end with the entry, so
/// that the caller's next order would be rejected.
#[tokio::test]
async fn leaving_entry_issues_sessions_of_others() -> anyhow::Result<()> {
    let mut fixture = OrderFixture::start_default().await?;
    let address = fixture.running.caller_addresses()[ISSUER];
    let caller = Caller::new(CallerConfig::new(vec![address]))?;
    fixture.running.entries[ISSUER].program.terminate()?;

    let mut session = None;
    wait_until("the leaving entry gives another's session", async || {
        caller.forget(&fixture.service).await;
        session = caller.entries(&fixture.service).await.ok().and_then(|answer| answer.session);
        session.as_deref().is_some_and(|session| !session.starts_with("1~entry-0~"))
    })
    .await?;
    fixture.running.entries[ISSUER].program.wait_exit().await?;

    let order = fixture.order("after-leaving", &session.unwrap_or_default())?;
    let report = fixture.send(OTHER, &order).await;
    assert!(report.success().is_some(), "{report:?}");
    Ok(())
}
