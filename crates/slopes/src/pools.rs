//! The pool of one service: choosing a target and taking note of the answer.

use std::time::Duration;

use anyhow::Result;
use shallotfork_balance::{Admission, AttemptOutcome, Pool, PoolConfig, PoolRequest, PoolTarget};
use shallotfork_types::Mono;

use crate::lists::TARGETS_PER_SERVICE;
use crate::measure::{memory, time};

fn targets(service: usize, count: usize) -> Result<Vec<PoolTarget>> {
    let one = |index: usize| {
        let id = format!("service-{service}-target-{index}").parse()?;
        Ok(PoolTarget::new(id, format!("domain-{}", index % 3).parse()?, 2))
    };
    (0..count).map(one).collect()
}

fn pool(service: usize, count: usize) -> Result<Pool> {
    let mut pool = Pool::new(PoolConfig::default(), 1);
    pool.set_targets(&targets(service, count)?, Mono::ZERO);
    Ok(pool)
}

/// Prints the slopes of pools.
///
/// # Errors
/// When a generated name is not valid or memory cannot be read.
pub fn pools() -> Result<()> {
    for count in [6, 20, 60] {
        let mut pool = pool(0, count)?;
        let mut now_us = 0;
        time("admit and finish a request", count, || {
            now_us += 1000;
            let now = Mono::from_micros(now_us);
            let ask = PoolRequest::new(now.plus(Duration::from_secs(1)));
            if let Admission::Send(assignment) = pool.admit(ask, now) {
                let outcome = AttemptOutcome::Answered { latency: Duration::from_millis(5) };
                pool.finish(assignment.attempt, outcome, None, now);
            }
        });
        let all = targets(0, count)?;
        time("set the targets of a pool", count, || pool.set_targets(&all, Mono::ZERO));
    }
    Ok(())
}

/// Prints the memory of pools.
///
/// # Errors
/// When a list is not valid or memory cannot be read.
pub fn pools_memory() -> Result<()> {
    memory("targets in pools of 15", 1200 * TARGETS_PER_SERVICE, || {
        (0..1200).map(|service| pool(service, TARGETS_PER_SERVICE)).collect::<Vec<_>>()
    })?;
    Ok(())
}
