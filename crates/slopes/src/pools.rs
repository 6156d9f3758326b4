//! Costs of the pool of one service: selecting a target and recording the outcome of the attempt.

use std::time::Duration;

use anyhow::Result;
use shallotfork_balance::{Admission, AttemptOutcome, Pool, PoolConfig, PoolRequest, PoolTarget};
use shallotfork_types::Mono;

use crate::lists::TARGETS_PER_SERVICE;
use crate::measure::{measure_memory, measure_time};

fn pool_targets(service: usize, count: usize) -> Result<Vec<PoolTarget>> {
    let target = |index: usize| {
        let id = format!("service-{service}-target-{index}").parse()?;
        Ok(PoolTarget::new(id, format!("domain-{}", index % 3).parse()?, 2))
    };
    (0..count).map(target).collect()
}

fn new_pool(service: usize, count: usize) -> Result<Pool> {
    let mut pool = Pool::new(PoolConfig::default(), 1);
    pool.set_targets(&pool_targets(service, count)?, Mono::ZERO);
    Ok(pool)
}

/// Measures and prints the processor time of pool operations.
///
/// # Errors
/// When a generated name is not valid or memory cannot be read.
pub fn print_times() -> Result<()> {
    for count in [6, 20, 60] {
        let mut pool = new_pool(0, count)?;
        let mut now_us = 0;
        measure_time("admit and finish a request", count, || {
            now_us += 1000;
            let now = Mono::from_micros(now_us);
            let request = PoolRequest::new(now.plus(Duration::from_secs(1)));
            if let Admission::Send(assignment) = pool.admit(request, now) {
                let outcome = AttemptOutcome::Answered { latency: Duration::from_millis(5) };
                pool.finish(assignment.attempt, outcome, None, now);
            }
        });
        let all = pool_targets(0, count)?;
        measure_time("set the targets of a pool", count, || pool.set_targets(&all, Mono::ZERO));
    }
    Ok(())
}

/// Measures and prints the memory of pools.
///
/// # Errors
/// When the resident memory cannot be read.
pub fn print_memory() -> Result<()> {
    measure_memory("targets in pools of 15", 1200 * TARGETS_PER_SERVICE, || {
        (0..1200).map(|service| new_pool(service, TARGETS_PER_SERVICE)).collect::<Vec<_>>()
    })?;
    Ok(())
}
