//! Orders run at most once, with real processes and under the faults that could break this.

use std::time::{Duration, Instant};

use futures::future::join_all;
use shallotfork_standin::caller::Report;
use shallotfork_tests::{OrderFixture, has_verdict, is_kept_answer, wait_until};
use shallotfork_types::Verdict;

const ISSUER: usize = 0;
const EXECUTOR: usize = 1;
const OTHER: usize = 2;

/// Upper bound on the wait for a `may-have-run` answer: longer than a caller should ever wait, and
/// far shorter than the deadline of a request.
const PROMPT_ANSWER_MAX: Duration = Duration::from_secs(3);

/// Guards against a second run when copies of one order arrive through all entries at once. Later
/// repeats get the kept answer.
#[tokio::test]
async fn concurrent_copies_run_once() -> anyhow::Result<()> {
    let fixture = OrderFixture::start_default().await?;
    let session = fixture.session(ISSUER).await?;
    let order = fixture.slow_order("copies", &session, Duration::from_millis(50))?;

    let copies = (0..12).map(|number| fixture.send(number % 3, &order));
    let reports = join_all(copies).await;

    for report in &reports {
        let is_expected = report.success().is_some() || has_verdict(report, Verdict::MayHaveRun);
        assert!(is_expected, "{report:?}");
    }
    assert!(reports.iter().any(|report| report.success().is_some()));
    for entry in [ISSUER, EXECUTOR, OTHER] {
        let repeat = fixture.send(entry, &order).await;
        assert!(is_kept_answer(&repeat), "{repeat:?}");
    }
    assert_eq!(1, fixture.runs("copies").await?);
    Ok(())
}

/// Guards against a second run after the issuer is killed while an order runs through another
/// entry. The order's answer still arrives, repeats get `may-have-run` promptly, and a new session
/// from a live entry works.
#[tokio::test]
async fn killed_issuer_causes_no_second_run() -> anyhow::Result<()> {
    let mut fixture = OrderFixture::start_default().await?;
    let session = fixture.session(ISSUER).await?;
    let order = fixture.slow_order("issuer-killed", &session, Duration::from_millis(400))?;

    let address = fixture.running.caller_addresses()[EXECUTOR];
    let caller = fixture.running.caller()?;
    let sending = async { caller.send_to(address, &order).await };
    let killing = async {
        wait_until("the order runs", async || {
            matches!(fixture.running.runs_of_key("issuer-killed").await, Ok(1))
        })
        .await?;
        fixture.running.entries[ISSUER].program.kill().await
    };
    let (report, killed) = tokio::join!(sending, killing);
    killed?;

    assert!(report.success().is_some(), "{report:?}");
    for entry in [EXECUTOR, OTHER] {
        let began = Instant::now();
        let repeat = fixture.send(entry, &order).await;
        assert!(has_verdict(&repeat, Verdict::MayHaveRun), "{repeat:?}");
        assert!(repeat.answer.as_ref().is_some_and(|answer| answer.retry_after_s.is_some()));
        assert!(began.elapsed() < PROMPT_ANSWER_MAX, "answered after {:?}", began.elapsed());
    }
    let fresh = fixture.order("issuer-killed-new", &fixture.session(OTHER).await?)?;
    assert!(fixture.send(EXECUTOR, &fresh).await.success().is_some());
    assert_eq!(1, fixture.runs("issuer-killed").await?);
    Ok(())
}

/// Guards against running a repeat as a new order after the issuer restarts on the same VM and has
/// lost its ledger.
#[tokio::test]
async fn restarted_issuer_does_not_rerun_orders() -> anyhow::Result<()> {
    let mut fixture = OrderFixture::start_default().await?;
    let session = fixture.session(ISSUER).await?;
    let order = fixture.order("restarted", &session)?;
    assert!(fixture.send(EXECUTOR, &order).await.success().is_some());

    fixture.running.entries[ISSUER].program.kill().await?;
    fixture.running.restart_entry(ISSUER).await?;
    fixture.running.wait_ready().await?;

    for entry in [ISSUER, EXECUTOR, OTHER] {
        let repeat = fixture.send(entry, &order).await;
        assert!(has_verdict(&repeat, Verdict::MayHaveRun), "{repeat:?}");
    }
    assert_eq!(1, fixture.runs("restarted").await?);
    Ok(())
}

/// Guards against a second run after the entry that executes an order is killed during the run.
/// Repeats through another entry get `may-have-run`.
#[tokio::test]
async fn killed_executor_yields_may_have_run() -> anyhow::Result<()> {
    let mut fixture = OrderFixture::start_default().await?;
    let session = fixture.session(ISSUER).await?;
    let order = fixture.slow_order("executor-killed", &session, Duration::from_millis(400))?;

    let address = fixture.running.caller_addresses()[EXECUTOR];
    let caller = fixture.running.caller()?;
    let first = tokio::spawn({
        let order = order.clone();
        async move { caller.send_to(address, &order).await }
    });
    fixture.wait_until_running("executor-killed").await?;
    fixture.running.entries[EXECUTOR].program.kill().await?;

    let first = first.await?;
    assert!(first.answer.is_none(), "{first:?}");
    for _ in 0..10 {
        let repeat = fixture.send(OTHER, &order).await;
        assert!(has_verdict(&repeat, Verdict::MayHaveRun), "{repeat:?}");
    }
    assert_eq!(1, fixture.runs("executor-killed").await?);
    Ok(())
}

/// Guards against a late grant: the issuer is paused for longer than every timeout and resumes with
/// stale claims in its buffers. Meanwhile callers get `may-have-run` promptly. Afterwards the key
/// of the order that did not run is closed, and the order that ended during the pause has its
/// answer.
#[tokio::test]
async fn paused_issuer_grants_no_stale_claim() -> anyhow::Result<()> {
    let fixture = OrderFixture::start_default().await?;
    let session = fixture.session(ISSUER).await?;
    // Ends once the issuer is suspected, so that the report of its end cannot wait in a buffer.
    let ended = fixture.slow_order("ends-in-pause", &session, Duration::from_millis(1500))?;
    let order = fixture.order("in-pause", &session)?;

    let ending = fixture.send(EXECUTOR, &ended);
    let pausing = async {
        fixture.wait_until_running("ends-in-pause").await?;
        fixture.running.entries[ISSUER].program.pause()?;
        let began = Instant::now();
        let unclaimed = fixture.send(EXECUTOR, &order).await;
        let waited = began.elapsed();
        tokio::time::sleep(Duration::from_secs(3)).await;
        let later = fixture.send(OTHER, &order).await;
        fixture.running.entries[ISSUER].program.resume()?;
        anyhow::Ok((unclaimed, waited, later))
    };
    let (first, paused) = tokio::join!(ending, pausing);
    let (unclaimed, waited, later) = paused?;

    assert!(first.success().is_some(), "{first:?}");
    assert!(has_verdict(&unclaimed, Verdict::MayHaveRun), "{unclaimed:?}");
    assert!(waited < PROMPT_ANSWER_MAX, "answered after {waited:?}");
    assert!(has_verdict(&later, Verdict::MayHaveRun), "{later:?}");
    let is_not_run = |report: &Report| has_verdict(report, Verdict::NotRun);
    fixture.resend_until(EXECUTOR, &order, "the key is closed", is_not_run).await?;
    fixture.resend_until(OTHER, &ended, "the late report counts", is_kept_answer).await?;
    assert_eq!(0, fixture.runs("in-pause").await?);
    assert_eq!(1, fixture.runs("ends-in-pause").await?);
    Ok(())
}

/// Guards against orders that wait for the timeouts of earlier ones: the issuer hangs, is not yet
/// suspected, and many orders arrive under its sessions. Each gets `may-have-run` promptly.
#[tokio::test]
async fn hanging_issuer_does_not_delay_answers() -> anyhow::Result<()> {
    let case = OrderFixture::default_case().with_setting("peers", "suspect_after_ms", "60000");
    let fixture = OrderFixture::start(case).await?;
    let session = fixture.session(ISSUER).await?;
    fixture.running.entries[ISSUER].program.pause()?;

    for round in 0..3 {
        let began = Instant::now();
        let orders =
            (0..10).map(|number| fixture.order(&format!("hung-{round}-{number}"), &session));
        let orders = orders.collect::<anyhow::Result<Vec<_>>>()?;
        let reports = join_all(orders.iter().map(|order| fixture.send(EXECUTOR, order))).await;
        let waited = began.elapsed();

        for report in &reports {
            assert!(has_verdict(report, Verdict::MayHaveRun), "{report:?}");
        }
        assert!(waited < PROMPT_ANSWER_MAX, "round {round}: answered after {waited:?}");
    }
    fixture.running.entries[ISSUER].program.resume()?;
    Ok(())
}

/// Guards against a second run when the executing entry is paused until the others consider it dead
/// and then resumes. Repeats get `may-have-run` meanwhile, and the kept answer afterwards.
#[tokio::test]
async fn resumed_executor_does_not_rerun_orders() -> anyhow::Result<()> {
    let fixture = OrderFixture::start_default().await?;
    let session = fixture.session(ISSUER).await?;
    let order = fixture.slow_order("executor-paused", &session, Duration::from_millis(300))?;

    let sending = fixture.send(EXECUTOR, &order);
    let pausing = async {
        fixture.wait_until_running("executor-paused").await?;
        fixture.running.entries[EXECUTOR].program.pause()?;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let repeat = fixture.send(OTHER, &order).await;
        fixture.running.entries[EXECUTOR].program.resume()?;
        anyhow::Ok(repeat)
    };
    let (_first, repeat) = tokio::join!(sending, pausing);
    let repeat = repeat?;

    assert!(has_verdict(&repeat, Verdict::MayHaveRun), "{repeat:?}");
    fixture.resend_until(OTHER, &order, "the late report counts", is_kept_answer).await?;
    assert_eq!(1, fixture.runs("executor-paused").await?);
    Ok(())
}

/// Guards against an entry running an order without a granted claim: the link to the issuer is cut
/// in one or both directions while callers reach either side. With both directions cut, the order
/// runs once through the third entry.
#[tokio::test]
async fn partitioned_entry_runs_no_unclaimed_orders() -> anyhow::Result<()> {
    let fixture = OrderFixture::start(OrderFixture::default_case().with_peer_relays()).await?;
    let session = fixture.session(ISSUER).await?;
    let vm = |entry: usize| &fixture.running.entries[entry].vm;
    for (number, both) in [(1, true), (2, false)] {
        let order = fixture.order(&format!("cut-{number}"), &session)?;
        match both {
            true => fixture.running.links.cut_both(vm(EXECUTOR), vm(ISSUER)),
            false => fixture.running.links.cut(vm(ISSUER), vm(EXECUTOR)),
        }

        let partitioned = fixture.send(EXECUTOR, &order).await;
        let other = fixture.send(OTHER, &order).await;
        let again = fixture.send(EXECUTOR, &order).await;
        fixture.running.links.heal();

        for report in [&partitioned, &again] {
            assert!(has_verdict(report, Verdict::MayHaveRun), "{report:?}");
        }
        // With one direction cut, the claim arrives and only its answer is lost: the key is claimed
        // and is closed once the link is restored.
        let runs = u64::from(other.success().is_some());
        assert!(runs == u64::from(both), "{other:?}");
        let is_settled = |report: &Report| match both {
            true => is_kept_answer(report),
            false => has_verdict(report, Verdict::NotRun),
        };
        fixture.resend_until(EXECUTOR, &order, "the entries are connected", is_settled).await?;
        assert_eq!(runs, fixture.runs(&format!("cut-{number}")).await?);
    }
    Ok(())
}

/// Guards against a lost ledger when all entries are replaced one after another, as in routine
/// operation. No entry that handled the order is left; its ledger was propagated each time, so a
/// repeat gets the kept answer.
#[tokio::test]
async fn kept_answer_survives_replacement_of_all_entries() -> anyhow::Result<()> {
    let mut fixture = OrderFixture::start_default().await?;
    let session = fixture.session(ISSUER).await?;
    let order = fixture.order("before-replacement", &session)?;
    assert!(fixture.send(EXECUTOR, &order).await.success().is_some());

    // One more than the number of entries, since the first new entry may also hold the ledger.
    for _ in 0..4 {
        fixture.running.start_entry().await?;
        fixture.running.publish_vms().await?;
        fixture.running.wait_ready().await?;
        fixture.running.entries[0].program.terminate()?;
        fixture.running.entries[0].program.wait_exit().await?;
        fixture.running.remove_entry(0).await?;
    }

    for entry in 0..3 {
        let repeat = fixture.send(entry, &order).await;
        assert!(is_kept_answer(&repeat), "{repeat:?}");
    }
    assert_eq!(1, fixture.runs("before-replacement").await?);
    Ok(())
}

/// Guards against lost answers after a planned stop of the issuer. Its peers answer for its
/// sessions: repeats get the kept answer, and a new order is permanently rejected as `not-run`.
#[tokio::test]
async fn peers_answer_for_stopped_issuer() -> anyhow::Result<()> {
    let mut fixture = OrderFixture::start_default().await?;
    let session = fixture.session(ISSUER).await?;
    let ran = fixture.order("before-stop", &session)?;
    let unknown = fixture.order("after-stop", &session)?;
    assert!(fixture.send(EXECUTOR, &ran).await.success().is_some());
    // Ends after the issuer has begun to drain.
    let slow = fixture.slow_order("during-stop", &session, Duration::from_millis(2500))?;

    let address = fixture.running.caller_addresses()[EXECUTOR];
    let caller = fixture.running.caller()?;
    let during = tokio::spawn({
        let slow = slow.clone();
        async move { caller.send_to(address, &slow).await }
    });
    fixture.wait_until_running("during-stop").await?;
    fixture.running.entries[ISSUER].program.terminate()?;
    let exit_status = fixture.running.entries[ISSUER].program.wait_exit().await?;

    assert!(exit_status.success());
    assert!(during.await?.success().is_some());
    for entry in [EXECUTOR, OTHER] {
        for order in [&ran, &slow] {
            let repeat = fixture.send(entry, order).await;
            assert!(is_kept_answer(&repeat), "{repeat:?}");
        }
        let refused = fixture.send(entry, &unknown).await;
        assert!(has_verdict(&refused, Verdict::NotRun), "{refused:?}");
    }
    assert_eq!(1, fixture.runs("before-stop").await?);
    assert_eq!(1, fixture.runs("during-stop").await?);
    assert_eq!(0, fixture.runs("after-stop").await?);
    Ok(())
}
