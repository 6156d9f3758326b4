//! Requests that are refused before they are claimed, and sessions that nobody may use.

use shallotfork_standin::caller::{Caller, CallerConfig, Report};
use shallotfork_tests::{OrderFixture, has_verdict, wait_until};
use shallotfork_types::Verdict;

const ISSUER: usize = 0;
const EXECUTOR: usize = 1;
const OTHER: usize = 2;

/// The digest of some other body.
const WRONG_DIGEST: &str = "sha-256=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:";

fn status(report: &Report) -> Option<u16> {
    report.answer.as_ref().map(|answer| answer.status)
}

/// A damaged copy of an order is refused as "not run", so the clerk lodges it anew under another
/// key. A whole copy of the first order was held up on its way and arrives now: run, it would
/// double the order.
#[tokio::test]
async fn a_key_refused_as_not_run_never_runs_by_another_copy() -> anyhow::Result<()> {
    let desk = OrderFixture::start_default().await?;
    let session = desk.session(ISSUER).await?;
    let whole = desk.order("damaged", &session)?;
    let damaged = whole.clone().with_header("content-digest", WRONG_DIGEST);

    let refused = desk.send(EXECUTOR, &damaged).await;
    let late = desk.send(OTHER, &whole).await;

    assert!(has_verdict(&refused, Verdict::NotRun), "{refused:?}");
    assert!(has_verdict(&late, Verdict::NotRun), "{late:?}");
    assert_eq!(0, desk.runs("damaged").await?);
    Ok(())
}

/// The same, but the issuer cannot be reached to close the key: "not run" would be a guess.
#[tokio::test]
async fn a_refusal_that_cannot_be_closed_is_not_called_not_run() -> anyhow::Result<()> {
    let mut desk = OrderFixture::start_default().await?;
    let session = desk.session(ISSUER).await?;
    let order = desk.order("damaged", &session)?.with_header("content-digest", WRONG_DIGEST);
    desk.running.entries[ISSUER].program.kill().await?;

    let refused = desk.send(EXECUTOR, &order).await;

    assert!(has_verdict(&refused, Verdict::MayHaveRun), "{refused:?}");
    Ok(())
}

/// The ledger has no room for another order and refuses it as "not run". The clerk goes on under a
/// new session of another entry; copies of the refused order stay refused everywhere.
#[tokio::test]
async fn a_full_ledger_refuses_and_others_go_on() -> anyhow::Result<()> {
    let desk = OrderFixture::start(OrderFixture::default_case().with_setting(
        "once",
        "operations_max",
        "2",
    ))
    .await?;
    let session = desk.session(ISSUER).await?;
    for number in 0..2 {
        let taken = desk.send(EXECUTOR, &desk.order(&format!("taken-{number}"), &session)?).await;
        assert!(taken.success().is_some(), "{taken:?}");
    }

    let order = desk.order("no-room", &session)?;
    let refused = desk.send(EXECUTOR, &order).await;
    let copy = desk.send(OTHER, &order).await;
    let elsewhere = desk.order("elsewhere", &desk.session(OTHER).await?)?;
    let fresh = desk.send(EXECUTOR, &elsewhere).await;

    assert!(has_verdict(&refused, Verdict::NotRun), "{refused:?}");
    assert_eq!(Some(503), status(&refused));
    assert!(refused.answer.as_ref().is_some_and(|answer| answer.retry_after_s.is_some()));
    assert!(has_verdict(&copy, Verdict::NotRun), "{copy:?}");
    assert!(fresh.success().is_some(), "{fresh:?}");
    assert_eq!(0, desk.runs("no-room").await?);
    Ok(())
}

/// Somebody sends sessions that are no sessions, or that no entry has signed. Each gets a clear
/// answer, and nothing runs.
#[tokio::test]
async fn forged_sessions_run_nothing() -> anyhow::Result<()> {
    let desk = OrderFixture::start_default().await?;
    let session = desk.session(ISSUER).await?;
    let longer = session.replace("~600000~", "~999999999~");
    assert_ne!(session, longer);
    let long = "a".repeat(4000);
    for (number, forged) in [longer.as_str(), "", "~~~~~~", &long].into_iter().enumerate() {
        for entry in [ISSUER, EXECUTOR] {
            let order = desk.order(&format!("forged-{number}"), forged)?;
            let answer = desk.send(entry, &order).await;
            assert!(has_verdict(&answer, Verdict::NotRun), "{forged:?}: {answer:?}");
            assert_eq!(Some(400), status(&answer), "{forged:?}");
        }
        assert_eq!(0, desk.runs(&format!("forged-{number}")).await?);
    }
    Ok(())
}

/// A caller asks an entry that is leaving. The session it gets must outlive that entry, or its
/// next order would be refused.
#[tokio::test]
async fn a_leaving_entry_gives_sessions_of_others() -> anyhow::Result<()> {
    let mut desk = OrderFixture::start_default().await?;
    let address = desk.running.caller_addresses()[ISSUER];
    let caller = Caller::new(CallerConfig::new(vec![address]))?;
    desk.running.entries[ISSUER].program.terminate()?;

    let mut session = None;
    wait_until("the leaving entry gives another's session", async || {
        caller.forget(&desk.service).await;
        session = caller.entries(&desk.service).await.ok().and_then(|answer| answer.session);
        session.as_deref().is_some_and(|session| !session.starts_with("1~entry-0~"))
    })
    .await?;
    desk.running.entries[ISSUER].program.wait_exit().await?;

    let order = desk.order("after-leaving", &session.unwrap_or_default())?;
    let report = desk.send(OTHER, &order).await;
    assert!(report.success().is_some(), "{report:?}");
    Ok(())
}
