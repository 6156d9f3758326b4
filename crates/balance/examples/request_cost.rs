//! Measures the processor time of a request in a slot pool, by the number of targets.

#![expect(clippy::print_stdout, reason = "prints its measurements")]

use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use shallotfork_balance::{
    Admission, Sharer, SlotOutcome, SlotPool, SlotPoolConfig, SlotRequest, SlotTarget, Slowdown,
    TargetLoad, WorkClass,
};
use shallotfork_types::{FailureDomain, Mono, Permille, TargetId};

const DOMAINS: usize = 5;
const REQUESTS: u64 = 2_000;

fn pool(targets: usize, processes: usize) -> Result<SlotPool> {
    let domain = |number: usize| FailureDomain::new(&format!("hall-{}", number % DOMAINS));
    let mut pool = SlotPool::new(SlotPoolConfig {
        name: "vm-0".to_owned(),
        failure_domain: Some(domain(0)?),
        ..SlotPoolConfig::default()
    });
    let sharer = |number: usize| -> Result<Sharer> {
        Ok(Sharer::new(&format!("vm-{number}")).with_failure_domain(domain(number)?))
    };
    let sharers = (0..processes).map(sharer).collect::<Result<_>>()?;
    pool.set_sharers(sharers, Permille::new(1000), Mono::ZERO);
    let target = |number: usize| -> Result<SlotTarget> {
        Ok(SlotTarget {
            id: TargetId::new(&format!("target-{number:05}"))?,
            failure_domain: domain(number)?,
            slots: 2,
            serving: true,
            cold_for: Duration::ZERO,
        })
    };
    let targets = (0..targets).map(target).collect::<Result<_>>()?;
    pool.set_targets(targets, Mono::ZERO);
    Ok(pool)
}

/// Serves requests one after the other, each with a load report before and after its run.
fn serve(pool: &mut SlotPool) -> Result<Duration> {
    let class = WorkClass::new("read");
    let load = TargetLoad { running: 0, waiting: 0, slots: 2, slowdown: Some(Slowdown::NONE) };
    let started_at = Instant::now();
    for number in 0..REQUESTS {
        let arrived_at = Mono::from_millis(1_000 + number * 10);
        let request = SlotRequest::new(
            class.clone(),
            arrived_at,
            arrived_at.plus(Duration::from_millis(400)),
            arrived_at.plus(Duration::from_millis(3_000)),
        );
        let Admission::Send(assignment) = pool.admit(request, arrived_at) else {
            bail!("request {number} was not admitted");
        };
        pool.record_load(&assignment.target, load, arrived_at);
        pool.mark_sent(assignment.attempt, arrived_at);
        let latency = Duration::from_millis(160);
        let outcome = SlotOutcome::Answered { latency };
        pool.finish(assignment.attempt, outcome, Some(load), arrived_at.plus(latency));
    }
    Ok(started_at.elapsed() / u32::try_from(REQUESTS)?)
}

fn main() -> Result<()> {
    println!("targets processes subset us/request");
    for (targets, processes) in
        [(40, 3), (400, 10), (1_500, 10), (3_530, 10), (3_530, 1), (7_060, 20), (18_000, 50)]
    {
        let mut pool = pool(targets, processes)?;
        let cost = serve(&mut pool)?;
        println!(
            "{targets:7} {processes:9} {:6} {:10.1}",
            pool.subset().count(),
            cost.as_secs_f64() * 1e6
        );
    }
    Ok(())
}
