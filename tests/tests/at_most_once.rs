//! Orders run at most once, with real processes and the faults that speak against it.

use std::time::{Duration, Instant};

use futures::future::join_all;
use shallotfork_standin::caller::Report;
use shallotfork_tests::{OrderFixture, has_verdict, is_kept_answer, wait_until};
use shallotfork_types::Verdict;

const ISSUER: usize = 0;
const EXECUTOR: usize = 1;
const OTHER: usize = 2;

/// Longer than a caller should wait for "may have run", and far shorter than a request's deadline.
const AT_ONCE: Duration = Duration::from_secs(3);

/// A clerk presses "send" again and again, and the copies go through all entries at once. The mill
/// must run the order once, and every later repeat gets its answer.
#[tokio::test]
async fn copies_through_every_entry_run_once() -> anyhow::Result<()> {
    let desk = OrderFixture::start_default().await?;
    let session = desk.session(ISSUER).await?;
    let order = desk.slow_order("copies", &session, Duration::from_millis(50))?;

    let copies = (0..12).map(|number| desk.send(number % 3, &order));
    let reports = join_all(copies).await;

    for report in &reports {
        let known = report.success().is_some() || has_verdict(report, Verdict::MayHaveRun);
        assert!(known, "{report:?}");
    }
    assert!(reports.iter().any(|report| report.success().is_some()));
    for entry in [ISSUER, EXECUTOR, OTHER] {
        let repeat = desk.send(entry, &order).await;
        assert!(is_kept_answer(&repeat), "{repeat:?}");
    }
    assert_eq!(1, desk.runs("copies").await?);
    Ok(())
}

/// The entry that gave the session is killed while an order runs through another one. The order's
/// answer still arrives; a repeat is told at once that it may have run, and is never run again. A
/// new session from a live entry works.
#[tokio::test]
async fn a_killed_issuer_costs_knowledge_and_no_second_run() -> anyhow::Result<()> {
    let mut desk = OrderFixture::start_default().await?;
    let session = desk.session(ISSUER).await?;
    let order = desk.slow_order("issuer-killed", &session, Duration::from_millis(400))?;

    let address = desk.running.caller_addresses()[EXECUTOR];
    let caller = desk.running.caller()?;
    let sending = async { caller.send_to(address, &order).await };
    let killing = async {
        wait_until("the order runs", async || {
            matches!(desk.running.runs_of_key("issuer-killed").await, Ok(1))
        })
        .await?;
        desk.running.entries[ISSUER].program.kill().await
    };
    let (report, killed) = tokio::join!(sending, killing);
    killed?;

    assert!(report.success().is_some(), "{report:?}");
    for entry in [EXECUTOR, OTHER] {
        let began = Instant::now();
        let repeat = desk.send(entry, &order).await;
        assert!(has_verdict(&repeat, Verdict::MayHaveRun), "{repeat:?}");
        assert!(repeat.answer.as_ref().is_some_and(|answer| answer.retry_after_s.is_some()));
        assert!(began.elapsed() < AT_ONCE, "told after {:?}", began.elapsed());
    }
    let fresh = desk.order("issuer-killed-new", &desk.session(OTHER).await?)?;
    assert!(desk.send(EXECUTOR, &fresh).await.success().is_some());
    assert_eq!(1, desk.runs("issuer-killed").await?);
    Ok(())
}

/// The issuer is restarted on the same VM and has lost its memory. A repeat of an order that ran
/// must not be taken for a new one.
#[tokio::test]
async fn a_restarted_issuer_does_not_run_old_orders_again() -> anyhow::Result<()> {
    let mut desk = OrderFixture::start_default().await?;
    let session = desk.session(ISSUER).await?;
    let order = desk.order("restarted", &session)?;
    assert!(desk.send(EXECUTOR, &order).await.success().is_some());

    desk.running.entries[ISSUER].program.kill().await?;
    desk.running.restart_entry(ISSUER).await?;
    desk.running.wait_ready().await?;

    for entry in [ISSUER, EXECUTOR, OTHER] {
        let repeat = desk.send(entry, &order).await;
        assert!(has_verdict(&repeat, Verdict::MayHaveRun), "{repeat:?}");
    }
    assert_eq!(1, desk.runs("restarted").await?);
    Ok(())
}

/// The entry that runs an order is killed in the middle. The clerk repeats the order through
/// another entry: it may have run, and must not run a second time.
#[tokio::test]
async fn a_killed_executor_leaves_its_order_as_may_have_run() -> anyhow::Result<()> {
    let mut desk = OrderFixture::start_default().await?;
    let session = desk.session(ISSUER).await?;
    let order = desk.slow_order("executor-killed", &session, Duration::from_millis(400))?;

    let address = desk.running.caller_addresses()[EXECUTOR];
    let caller = desk.running.caller()?;
    let first = tokio::spawn({
        let order = order.clone();
        async move { caller.send_to(address, &order).await }
    });
    desk.wait_until_running("executor-killed").await?;
    desk.running.entries[EXECUTOR].program.kill().await?;

    let first = first.await?;
    assert!(first.answer.is_none(), "{first:?}");
    for _ in 0..10 {
        let repeat = desk.send(OTHER, &order).await;
        assert!(has_verdict(&repeat, Verdict::MayHaveRun), "{repeat:?}");
    }
    assert_eq!(1, desk.runs("executor-killed").await?);
    Ok(())
}

/// The issuer is paused for longer than every timeout and wakes up with old claims in its buffers.
/// Callers are told at once that nobody knows. After it woke up, the key of the order that nobody
/// ran is closed, so its late claim starts nothing; the order that ended meanwhile has its answer.
#[tokio::test]
async fn a_paused_issuer_grants_nothing_late() -> anyhow::Result<()> {
    let desk = OrderFixture::start_default().await?;
    let session = desk.session(ISSUER).await?;
    // Ends when the issuer is under suspicion already, so that its report cannot wait in a buffer.
    let ended = desk.slow_order("ends-in-pause", &session, Duration::from_millis(1500))?;
    let order = desk.order("in-pause", &session)?;

    let ending = desk.send(EXECUTOR, &ended);
    let pausing = async {
        desk.wait_until_running("ends-in-pause").await?;
        desk.running.entries[ISSUER].program.pause()?;
        let began = Instant::now();
        let told = desk.send(EXECUTOR, &order).await;
        let waited = began.elapsed();
        tokio::time::sleep(Duration::from_secs(3)).await;
        let later = desk.send(OTHER, &order).await;
        desk.running.entries[ISSUER].program.resume()?;
        anyhow::Ok((told, waited, later))
    };
    let (first, paused) = tokio::join!(ending, pausing);
    let (told, waited, later) = paused?;

    assert!(first.success().is_some(), "{first:?}");
    assert!(has_verdict(&told, Verdict::MayHaveRun), "{told:?}");
    assert!(waited < AT_ONCE, "told after {waited:?}");
    assert!(has_verdict(&later, Verdict::MayHaveRun), "{later:?}");
    let not_run = |report: &Report| has_verdict(report, Verdict::NotRun);
    desk.resend_until(EXECUTOR, &order, "the key is closed", not_run).await?;
    desk.resend_until(OTHER, &ended, "the late report counts", is_kept_answer).await?;
    assert_eq!(0, desk.runs("in-pause").await?);
    assert_eq!(1, desk.runs("ends-in-pause").await?);
    Ok(())
}

/// The issuer hangs and nobody suspects it yet, while many clerks send orders under its sessions.
/// Each is told at once that nobody knows; none waits for the timeouts of those before it.
#[tokio::test]
async fn many_orders_to_a_hanging_issuer_are_all_answered_at_once() -> anyhow::Result<()> {
    let case = OrderFixture::default_case().with_setting("peers", "suspect_after_ms", "60000");
    let desk = OrderFixture::start(case).await?;
    let session = desk.session(ISSUER).await?;
    desk.running.entries[ISSUER].program.pause()?;

    for round in 0..3 {
        let began = Instant::now();
        let orders = (0..10).map(|number| desk.order(&format!("hung-{round}-{number}"), &session));
        let orders = orders.collect::<anyhow::Result<Vec<_>>>()?;
        let reports = join_all(orders.iter().map(|order| desk.send(EXECUTOR, order))).await;
        let waited = began.elapsed();

        for report in &reports {
            assert!(has_verdict(report, Verdict::MayHaveRun), "{report:?}");
        }
        assert!(waited < AT_ONCE, "round {round}: told after {waited:?}");
    }
    desk.running.entries[ISSUER].program.resume()?;
    Ok(())
}

/// The entry that runs an order is paused until it is given up for dead, and then wakes up. Repeats
/// in between are told "may have run"; afterwards they get the answer of the one run.
#[tokio::test]
async fn a_paused_executor_wakes_up_and_runs_nothing_twice() -> anyhow::Result<()> {
    let desk = OrderFixture::start_default().await?;
    let session = desk.session(ISSUER).await?;
    let order = desk.slow_order("executor-paused", &session, Duration::from_millis(300))?;

    let sending = desk.send(EXECUTOR, &order);
    let pausing = async {
        desk.wait_until_running("executor-paused").await?;
        desk.running.entries[EXECUTOR].program.pause()?;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let repeat = desk.send(OTHER, &order).await;
        desk.running.entries[EXECUTOR].program.resume()?;
        anyhow::Ok(repeat)
    };
    let (_first, repeat) = tokio::join!(sending, pausing);
    let repeat = repeat?;

    assert!(has_verdict(&repeat, Verdict::MayHaveRun), "{repeat:?}");
    desk.resend_until(OTHER, &order, "the late report counts", is_kept_answer).await?;
    assert_eq!(1, desk.runs("executor-paused").await?);
    Ok(())
}

/// The link between two entries is cut, one way or both, while callers reach either side. An order
/// through the cut-off entry is not run there on a guess; through the third one it runs once.
#[tokio::test]
async fn a_cut_between_entries_runs_nothing_on_a_guess() -> anyhow::Result<()> {
    let desk = OrderFixture::start(OrderFixture::default_case().with_peer_relays()).await?;
    let session = desk.session(ISSUER).await?;
    let vm = |entry: usize| &desk.running.entries[entry].vm;
    for (number, both) in [(1, true), (2, false)] {
        let order = desk.order(&format!("cut-{number}"), &session)?;
        match both {
            true => desk.running.links.cut_both(vm(EXECUTOR), vm(ISSUER)),
            false => desk.running.links.cut(vm(ISSUER), vm(EXECUTOR)),
        }

        let cut_off = desk.send(EXECUTOR, &order).await;
        let other = desk.send(OTHER, &order).await;
        let again = desk.send(EXECUTOR, &order).await;
        desk.running.links.heal();

        for report in [&cut_off, &again] {
            assert!(has_verdict(report, Verdict::MayHaveRun), "{report:?}");
        }
        // With one direction cut, the claim arrives and only its answer is lost: the key is taken,
        // and is closed once the link is back.
        let runs = u64::from(other.success().is_some());
        assert!(runs == u64::from(both), "{other:?}");
        let settled = |report: &Report| match both {
            true => is_kept_answer(report),
            false => has_verdict(report, Verdict::NotRun),
        };
        desk.resend_until(EXECUTOR, &order, "the entries are in touch", settled).await?;
        assert_eq!(runs, desk.runs(&format!("cut-{number}")).await?);
    }
    Ok(())
}

/// All entries are replaced one after the other, as on any ordinary day, and then a clerk repeats
/// an order of before. Every entry that knew it has gone; its ledger was passed on, so the repeat
/// gets the kept answer.
#[tokio::test]
async fn knowledge_outlives_the_replacement_of_every_entry() -> anyhow::Result<()> {
    let mut desk = OrderFixture::start_default().await?;
    let session = desk.session(ISSUER).await?;
    let order = desk.order("before-replacement", &session)?;
    assert!(desk.send(EXECUTOR, &order).await.success().is_some());

    // One more than there are: the first successor may hold the ledger as well.
    for _ in 0..4 {
        desk.running.start_entry().await?;
        desk.running.publish_vms().await?;
        desk.running.wait_ready().await?;
        desk.running.entries[0].program.terminate()?;
        desk.running.entries[0].program.wait_exit().await?;
        desk.running.remove_entry(0).await?;
    }

    for entry in 0..3 {
        let repeat = desk.send(entry, &order).await;
        assert!(is_kept_answer(&repeat), "{repeat:?}");
    }
    assert_eq!(1, desk.runs("before-replacement").await?);
    Ok(())
}

/// The issuer is stopped as planned. Its peers go on answering for its sessions: repeats get the
/// kept answer, and an order never seen before is refused as "not run", for good.
#[tokio::test]
async fn a_planned_stop_leaves_its_knowledge_with_peers() -> anyhow::Result<()> {
    let mut desk = OrderFixture::start_default().await?;
    let session = desk.session(ISSUER).await?;
    let ran = desk.order("before-stop", &session)?;
    let unknown = desk.order("after-stop", &session)?;
    assert!(desk.send(EXECUTOR, &ran).await.success().is_some());
    // Ends after the issuer has begun to drain.
    let slow = desk.slow_order("during-stop", &session, Duration::from_millis(2500))?;

    let address = desk.running.caller_addresses()[EXECUTOR];
    let caller = desk.running.caller()?;
    let during = tokio::spawn({
        let slow = slow.clone();
        async move { caller.send_to(address, &slow).await }
    });
    desk.wait_until_running("during-stop").await?;
    desk.running.entries[ISSUER].program.terminate()?;
    let status = desk.running.entries[ISSUER].program.wait_exit().await?;

    assert!(status.success());
    assert!(during.await?.success().is_some());
    for entry in [EXECUTOR, OTHER] {
        for order in [&ran, &slow] {
            let repeat = desk.send(entry, order).await;
            assert!(is_kept_answer(&repeat), "{repeat:?}");
        }
        let refused = desk.send(entry, &unknown).await;
        assert!(has_verdict(&refused, Verdict::NotRun), "{refused:?}");
    }
    assert_eq!(1, desk.runs("before-stop").await?);
    assert_eq!(1, desk.runs("during-stop").await?);
    assert_eq!(0, desk.runs("after-stop").await?);
    Ok(())
}
