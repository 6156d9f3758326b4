//! Targets that fail fast: they answer with an error at once.

use anyhow::Context;
use bytes::Bytes;
use shallotfork_standin::caller::{Call, CallerConfig};
use shallotfork_standin::target::TargetFaults;
use shallotfork_tests::{Case, Running, Traffic, TrafficConfig, wait_until};
use shallotfork_types::{IdempotencyKey, ServiceName};

const STATUS: u16 = 500;
const REQUESTS: u64 = 1000;

async fn start(targets: usize) -> anyhow::Result<Running> {
    Case::new().with_entries(2).with_service("recipe-desk", targets).start().await
}

async fn fail(running: &Running, target: usize) -> anyhow::Result<()> {
    let faults = TargetFaults { fail_status: Some(STATUS), ..TargetFaults::default() };
    running.targets[target].set_faults(faults).await
}

/// Guards against callers of reads getting the error of one of four targets that answers every
/// request with an error within a millisecond, as after losing its database.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_do_not_see_errors_of_one_target() -> anyhow::Result<()> {
    let running = start(4).await?;
    let caller = CallerConfig::new(running.caller_addresses());
    let service: ServiceName = "recipe-desk".parse()?;
    let traffic = Traffic::start(&TrafficConfig::new(caller).with_reads(&service))?;

    for target in 0..4 {
        fail(&running, target).await?;
        let wanted = traffic.done() + REQUESTS / 4;
        wait_until("more requests have ended", async || traffic.done() >= wanted).await?;
        running.targets[target].set_faults(TargetFaults::default()).await?;
    }
    let report = traffic.stop().await;

    let failed: u64 = running.records().await?.iter().map(|records| records.failed).sum();
    assert!(failed > 0, "no request met the failing targets");
    assert_eq!(Vec::<String>::new(), report.failed_reads);
    Ok(())
}

/// Guards against a second run: a target answers an order with an error and may have run it in
/// part, so no other target may get it. The caller gets the target's own answer.
#[tokio::test]
async fn failed_order_is_not_retried() -> anyhow::Result<()> {
    let running = start(2).await?;
    fail(&running, 0).await?;
    fail(&running, 1).await?;
    let service: ServiceName = "recipe-desk".parse()?;
    let order = Call::post(service, "/orders", IdempotencyKey::new("k1")?, Bytes::new());

    let report = running.caller()?.call(&order).await?;

    let answer = report.answer.as_ref().with_context(|| format!("{report:?}"))?;
    let arrived: u64 = running.records().await?.iter().map(|records| records.arrived).sum();
    assert_eq!(STATUS, answer.status);
    assert_eq!(1, arrived);
    Ok(())
}

/// Guards against masking the error of a read that all targets fail, as after a bad release: after
/// a few attempts at most the caller gets a target's own answer.
#[tokio::test]
async fn read_failed_by_all_targets_returns_target_answer() -> anyhow::Result<()> {
    let running = start(2).await?;
    fail(&running, 0).await?;
    fail(&running, 1).await?;

    let call = Call::get("recipe-desk".parse()?, "/card");
    let report = running.caller()?.call(&call).await?;

    let answer = report.answer.as_ref().with_context(|| format!("{report:?}"))?;
    assert_eq!((STATUS, None), (answer.status, answer.verdict));
    assert!(answer.target.is_some());
    Ok(())
}
