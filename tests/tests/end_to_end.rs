//! End-to-end tests with running processes: caller, entries, targets and platform.

use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use shallotfork_standin::caller::{Call, Caller, CallerConfig, Report};
use shallotfork_standin::digest::content_digest;
use shallotfork_standin::target::{SERVICE_US_HEADER, SIZE_HEADER};
use shallotfork_tests::{Case, Running, wait_until};
use shallotfork_types::{IdempotencyKey, ServiceName, Verdict};

const SERVICE_US: &str = "300000";

/// Three entries in front of the targets of one service.
struct Fixture {
    running: Running,
    service: ServiceName,
}

impl Fixture {
    async fn start(targets: usize) -> anyhow::Result<Self> {
        let case = Case::new().with_entries(3).with_service("order-desk", targets);
        let running = case.start().await?;
        Ok(Self { running, service: "order-desk".parse()? })
    }

    /// Returns a caller that knows only one entry.
    fn caller_for(&self, entry: usize) -> anyhow::Result<Caller> {
        let address = self.running.caller_addresses()[entry];
        Ok(Caller::new(CallerConfig::new(vec![address]))?)
    }

    async fn session_from(&self, entry: usize) -> anyhow::Result<String> {
        let known = self.caller_for(entry)?.entries(&self.service).await?;
        known.session.context("no session issued")
    }

    async fn order(&self, key: &str, issuer: usize) -> anyhow::Result<Call> {
        let session = self.session_from(issuer).await?;
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
async fn every_entry_returns_the_complete_response() -> anyhow::Result<()> {
    let fixture = Fixture::start(2).await?;
    for entry in 0..3 {
        for size in [0, 1, 70_000] {
            let mark = format!("m-{entry}-{size}");
            let call = Call::get(fixture.service.clone(), "/card?x=1")
                .with_mark(&mark)
                .with_header(SIZE_HEADER, &size.to_string());

            let report = fixture.send_to(entry, &call).await?;

            let answer = report.success().with_context(|| format!("{report:?}"))?;
            let work = answer.work().context("not a target's response")?;
            assert_eq!(Some(mark.clone()), work.mark);
            assert_eq!(size, work.filler.len());
            assert_eq!(Some(true), answer.digest_holds);
            assert_eq!(1, fixture.running.runs_of_mark(&mark).await?);
        }
    }
    Ok(())
}

#[tokio::test]
async fn uploads_reach_target_complete() -> anyhow::Result<()> {
    let fixture = Fixture::start(1).await?;
    let dossier: Vec<u8> = (0..300_000_u32).map(|n| (n % 251) as u8).collect();
    let call = Call::new(
        fixture.service.clone(),
        http::Method::PUT,
        "/dossiers/7",
        Bytes::from(dossier.clone()),
    );

    let report = fixture.send_to(0, &call).await?;

    let answer = report.success().with_context(|| format!("{report:?}"))?;
    let work = answer.work().context("not a target's response")?;
    assert_eq!(content_digest(&dossier), work.received_digest);
    Ok(())
}

/// An order runs through one entry under a session that another entry issued. The first entry is
/// killed; the caller, which never got the response, resends through a third entry. The order must
/// have run once, and the caller must get its response.
#[tokio::test]
async fn order_resent_after_its_entry_is_killed_runs_once() -> anyhow::Result<()> {
    let mut fixture = Fixture::start(2).await?;
    let order = fixture.order("order-1", 0).await?;
    let first = fixture.send_to(1, &order).await?;
    assert!(first.success().is_some(), "{first:?}");

    fixture.running.entries[1].program.kill().await?;
    let second = fixture.send_to(2, &order).await?;

    let answer = second.success().with_context(|| format!("{second:?}"))?;
    assert_eq!(first.success().map(|first| &first.body), Some(&answer.body));
    assert_eq!(1, fixture.running.runs_of_key("order-1").await?);
    Ok(())
}

/// The entry that issued an order's session is killed after the order ran. The only process that
/// could permit a run has lost its memory, so nobody can find out whether the order ran. Resending
/// must get the verdict `may-have-run` at once, and the order must not run again.
#[tokio::test]
async fn order_never_reruns_after_its_issuer_is_killed() -> anyhow::Result<()> {
    let mut fixture = Fixture::start(2).await?;
    let order = fixture.order("order-2", 0).await?;
    let first = fixture.send_to(1, &order).await?;
    assert!(first.success().is_some(), "{first:?}");

    fixture.running.entries[0].program.kill().await?;
    fixture.running.restart_entry(0).await?;
    fixture.running.wait_ready().await?;
    for entry in 0..3 {
        let resent = fixture.send_to(entry, &order).await?;
        assert!(resent.success().is_none(), "{resent:?}");
        assert_eq!(Some(Verdict::MayHaveRun), resent.verdict(), "{resent:?}");
    }

    assert_eq!(1, fixture.running.runs_of_key("order-2").await?);
    Ok(())
}

/// A caller sends the same order through two entries at the same time, as an impatient app does.
/// One runs it; the other responds that it is in progress, or with the same response.
#[tokio::test]
async fn order_sent_through_two_entries_runs_once() -> anyhow::Result<()> {
    let fixture = Fixture::start(2).await?;
    let order = fixture.order("order-3", 0).await?.with_header(SERVICE_US_HEADER, SERVICE_US);

    let (first, second) = tokio::join!(fixture.send_to(1, &order), fixture.send_to(2, &order));

    let succeeded = [first?, second?].iter().filter(|report| report.success().is_some()).count();
    assert!(succeeded >= 1);
    assert_eq!(1, fixture.running.runs_of_key("order-3").await?);
    Ok(())
}

/// A caller's preferred entry is killed while the caller still holds a list of entries that names
/// it. The caller must fail over to the next entry of the list without a failed read.
#[tokio::test]
async fn reads_fail_over_when_an_entry_is_killed() -> anyhow::Result<()> {
    let mut fixture = Fixture::start(2).await?;
    let caller = fixture.running.caller()?;
    let known = caller.entries(&fixture.service).await?;
    let preferred = fixture.running.entry_at(known.entries[0].address)?;

    fixture.running.entries[preferred].program.kill().await?;
    for number in 0..10 {
        let mark = format!("m{number}");
        let call = Call::get(fixture.service.clone(), "/card").with_mark(&mark);
        let report = caller.call(&call).await?;
        let answer = report.success().with_context(|| format!("{report:?}"))?;
        assert_eq!(Some(mark.as_str()), answer.mark.as_deref());
    }
    Ok(())
}

#[tokio::test]
async fn killed_entry_is_no_longer_advertised_to_callers() -> anyhow::Result<()> {
    let mut fixture = Fixture::start(1).await?;
    let killed = fixture.running.caller_addresses()[1];
    fixture.running.entries[1].program.kill().await?;

    let survivor = fixture.caller_for(0)?;
    wait_until("the killed entry is no longer advertised", async || {
        survivor.forget(&fixture.service).await;
        let known = survivor.entries(&fixture.service).await;
        known.is_ok_and(|known| known.entries.iter().all(|entry| entry.address != killed))
    })
    .await
}

#[tokio::test]
async fn unknown_service_is_rejected_as_not_run() -> anyhow::Result<()> {
    let fixture = Fixture::start(1).await?;
    let call = Call::get("no-such-desk".parse()?, "/card");

    let report = fixture.send_to(0, &call).await?;

    let answer = report.answer.context("no response")?;
    assert!((400..500).contains(&answer.status), "{}", answer.status);
    assert_eq!(Some(Verdict::NotRun), answer.verdict);
    assert_eq!(Some("application/problem+json"), content_type(&answer.headers));
    Ok(())
}

fn content_type(headers: &http::HeaderMap) -> Option<&str> {
    headers.get("content-type").and_then(|value| value.to_str().ok())
}

/// A target takes longer than the request's deadline. The caller must get the verdict
/// `may-have-run` when the deadline passes, not when the target is done.
#[tokio::test]
async fn request_past_its_deadline_is_answered_at_once() -> anyhow::Result<()> {
    let fixture = Fixture::start(1).await?;
    let call = Call::get(fixture.service.clone(), "/card")
        .with_header(SERVICE_US_HEADER, "20000000")
        .with_header("shallotfork-deadline-ms", "200");

    let sent = fixture.send_to(0, &call);
    let report = tokio::time::timeout(Duration::from_secs(10), sent).await??;

    assert_eq!(Some(Verdict::MayHaveRun), report.verdict(), "{report:?}");
    Ok(())
}
