//! The whole path with real processes: caller, entries, targets, platform.

use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use shallotfork_standin::caller::{Call, Caller, CallerConfig, Report};
use shallotfork_standin::digest::content_digest;
use shallotfork_standin::target::{SERVICE_US_HEADER, SIZE_HEADER};
use shallotfork_tests::{Case, Running, wait_until};
use shallotfork_types::{IdempotencyKey, ServiceName, Verdict};

const SERVICE_US: &str = "300000";

/// Three entries before the targets of one service.
struct Bench {
    running: Running,
    service: ServiceName,
}

impl Bench {
    async fn start(targets: usize) -> anyhow::Result<Self> {
        let case = Case::new().with_entries(3).with_service("order-desk", targets);
        let running = case.start().await?;
        Ok(Self { running, service: "order-desk".parse()? })
    }

    /// A caller that knows only one entry.
    fn caller_of(&self, entry: usize) -> anyhow::Result<Caller> {
        let address = self.running.caller_addresses()[entry];
        Ok(Caller::new(CallerConfig::new(vec![address]))?)
    }

    async fn session_of(&self, entry: usize) -> anyhow::Result<String> {
        let known = self.caller_of(entry)?.entries(&self.service).await?;
        known.session.context("a session")
    }

    async fn order(&self, key: &str, issuer: usize) -> anyhow::Result<Call> {
        let session = self.session_of(issuer).await?;
        let key = IdempotencyKey::new(key)?;
        let body = Bytes::from_static(b"two drums");
        let order = Call::post(self.service.clone(), "/orders", key.clone(), body);
        Ok(order.with_mark(key.as_str()).with_session(&session))
    }

    async fn send_to(&self, entry: usize, call: &Call) -> anyhow::Result<Report> {
        let address = self.running.caller_addresses()[entry];
        Ok(self.running.caller()?.send_to(address, call).await)
    }
}

#[tokio::test]
async fn every_entry_answers_whole_with_its_own_mark() -> anyhow::Result<()> {
    let bench = Bench::start(2).await?;
    for entry in 0..3 {
        for size in [0, 1, 70_000] {
            let mark = format!("m-{entry}-{size}");
            let call = Call::get(bench.service.clone(), "/card?x=1")
                .with_mark(&mark)
                .with_header(SIZE_HEADER, &size.to_string());

            let report = bench.send_to(entry, &call).await?;

            let answer = report.success().with_context(|| format!("{report:?}"))?;
            let work = answer.work().context("a target's answer")?;
            assert_eq!(Some(mark.clone()), work.mark);
            assert_eq!(size, work.filler.len());
            assert_eq!(Some(true), answer.digest_holds);
            assert_eq!(1, bench.running.runs_of_mark(&mark).await?);
        }
    }
    Ok(())
}

#[tokio::test]
async fn uploads_arrive_whole() -> anyhow::Result<()> {
    let bench = Bench::start(1).await?;
    let dossier: Vec<u8> = (0..300_000_u32).map(|n| (n % 251) as u8).collect();
    let call = Call::new(
        bench.service.clone(),
        http::Method::PUT,
        "/dossiers/7",
        Bytes::from(dossier.clone()),
    );

    let report = bench.send_to(0, &call).await?;

    let answer = report.success().with_context(|| format!("{report:?}"))?;
    let work = answer.work().context("a target's answer")?;
    assert_eq!(content_digest(&dossier), work.received_digest);
    Ok(())
}

/// A stallholder's order is lodged through one entry under another's session. The entry that
/// carried it is killed, the caller never saw the answer and resends through a third entry. The
/// order must have run once, and the caller must get its answer.
#[tokio::test]
async fn an_order_resent_after_its_entry_was_killed_runs_once() -> anyhow::Result<()> {
    let mut bench = Bench::start(2).await?;
    let order = bench.order("order-1", 0).await?;
    let first = bench.send_to(1, &order).await?;
    assert!(first.success().is_some(), "{first:?}");

    bench.running.entries[1].program.kill().await?;
    let second = bench.send_to(2, &order).await?;

    let answer = second.success().with_context(|| format!("{second:?}"))?;
    assert_eq!(first.success().map(|first| &first.body), Some(&answer.body));
    assert_eq!(1, bench.running.runs_of_key("order-1").await?);
    Ok(())
}

/// An order runs at a target while the entry that issued its session is killed. Whoever resends
/// it can learn nothing: the only process that could permit a run has lost its memory. The answer
/// must be `may-have-run`, at once, and nothing may run again.
#[tokio::test]
async fn an_order_whose_issuer_was_killed_is_never_run_again() -> anyhow::Result<()> {
    let mut bench = Bench::start(2).await?;
    let order = bench.order("order-2", 0).await?;
    let first = bench.send_to(1, &order).await?;
    assert!(first.success().is_some(), "{first:?}");

    bench.running.entries[0].program.kill().await?;
    bench.running.restart_entry(0).await?;
    bench.running.wait_ready().await?;
    for entry in 0..3 {
        let again = bench.send_to(entry, &order).await?;
        assert!(again.success().is_none(), "{again:?}");
        assert_eq!(Some(Verdict::MayHaveRun), again.verdict(), "{again:?}");
    }

    assert_eq!(1, bench.running.runs_of_key("order-2").await?);
    Ok(())
}

/// A caller sends the same order twice at the same time through two entries, as an impatient app
/// does. One of the two runs it; the other is told that it is in progress, or gets its answer.
#[tokio::test]
async fn an_order_sent_through_two_entries_at_once_runs_once() -> anyhow::Result<()> {
    let bench = Bench::start(2).await?;
    let order = bench.order("order-3", 0).await?.with_header(SERVICE_US_HEADER, SERVICE_US);

    let (one, other) = tokio::join!(bench.send_to(1, &order), bench.send_to(2, &order));

    let succeeded = [one?, other?].iter().filter(|report| report.success().is_some()).count();
    assert!(succeeded >= 1);
    assert_eq!(1, bench.running.runs_of_key("order-3").await?);
    Ok(())
}

/// A caller's entry is killed while the caller still holds the answer that names it. The caller
/// fails over to the next entry of that answer and never sees a failed read.
#[tokio::test]
async fn reads_go_on_when_an_entry_is_killed() -> anyhow::Result<()> {
    let mut bench = Bench::start(2).await?;
    let caller = bench.running.caller()?;
    let known = caller.entries(&bench.service).await?;
    let preferred = bench.running.entry_at(known.entries[0].address)?;

    bench.running.entries[preferred].program.kill().await?;
    for number in 0..10 {
        let mark = format!("m{number}");
        let call = Call::get(bench.service.clone(), "/card").with_mark(&mark);
        let report = caller.call(&call).await?;
        let answer = report.success().with_context(|| format!("{report:?}"))?;
        assert_eq!(Some(mark.as_str()), answer.mark.as_deref());
    }
    Ok(())
}

#[tokio::test]
async fn a_killed_entry_leaves_the_answers_of_the_others() -> anyhow::Result<()> {
    let mut bench = Bench::start(1).await?;
    let killed = bench.running.caller_addresses()[1];
    bench.running.entries[1].program.kill().await?;

    let survivor = bench.caller_of(0)?;
    wait_until("the killed entry is named no more", async || {
        survivor.forget(&bench.service).await;
        let known = survivor.entries(&bench.service).await;
        known.is_ok_and(|known| known.entries.iter().all(|entry| entry.address != killed))
    })
    .await
}

#[tokio::test]
async fn an_unknown_service_is_refused_as_not_run() -> anyhow::Result<()> {
    let bench = Bench::start(1).await?;
    let call = Call::get("no-such-desk".parse()?, "/card");

    let report = bench.send_to(0, &call).await?;

    let answer = report.answer.context("an answer")?;
    assert!((400..500).contains(&answer.status), "{}", answer.status);
    assert_eq!(Some(Verdict::NotRun), answer.verdict);
    assert_eq!(Some("application/problem+json"), content_type(&answer.headers));
    Ok(())
}

fn content_type(headers: &http::HeaderMap) -> Option<&str> {
    headers.get("content-type").and_then(|value| value.to_str().ok())
}

/// A target takes longer than the caller can wait. The caller is answered when its time is up,
/// not when the target is done, and is told that the request may have run.
#[tokio::test]
async fn a_request_past_its_deadline_is_answered_at_once() -> anyhow::Result<()> {
    let bench = Bench::start(1).await?;
    let call = Call::get(bench.service.clone(), "/card")
        .with_header(SERVICE_US_HEADER, "20000000")
        .with_header("shallotfork-deadline-ms", "200");

    let sent = bench.send_to(0, &call);
    let report = tokio::time::timeout(Duration::from_secs(10), sent).await??;

    assert_eq!(Some(Verdict::MayHaveRun), report.verdict(), "{report:?}");
    Ok(())
}
