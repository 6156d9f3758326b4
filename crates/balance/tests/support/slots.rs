//! What tests of a slot pool begin with: a service whose requests take 160 ms and are due in 400.

use std::time::Duration;

use shallotfork_balance::{
    Admission, Assignment, SlotOutcome, SlotPool, SlotPoolConfig, SlotRequest, SlotTarget,
    Slowdown, TargetLoad, Ticket, WorkClass,
};
use shallotfork_types::{FailureDomain, Mono, TargetId};

pub const OBJECTIVE_MS: u64 = 400;
pub const DEADLINE_MS: u64 = 3000;
pub const WORK: Duration = Duration::from_millis(160);
pub const USUAL: u32 = 1000;
pub const SLOW: u32 = 5000;

pub fn at(ms: u64) -> Mono {
    Mono::from_millis(ms)
}

pub fn id(name: &str) -> TargetId {
    TargetId::new(name).unwrap()
}

pub fn target(name: &str) -> SlotTarget {
    SlotTarget {
        id: id(name),
        failure_domain: FailureDomain::new("hall").unwrap(),
        slots: 2,
        serving: true,
        cold_for: Duration::ZERO,
    }
}

pub fn ask(now_ms: u64) -> SlotRequest {
    let class = WorkClass::new("recipes");
    SlotRequest::new(class, at(now_ms), at(now_ms + OBJECTIVE_MS), at(now_ms + DEADLINE_MS))
}

pub fn figures(running: u32, pace: u32) -> TargetLoad {
    TargetLoad { running, waiting: 0, slots: 2, slowdown: Some(Slowdown::new(pace)) }
}

pub fn pool(names: &[&str]) -> SlotPool {
    named_pool("entry", names)
}

pub fn named_pool(name: &str, names: &[&str]) -> SlotPool {
    let config = SlotPoolConfig { name: name.to_owned(), ..SlotPoolConfig::default() };
    let mut pool = SlotPool::new(config);
    pool.set_targets(names.iter().map(|name| target(name)).collect(), at(0));
    pool
}

pub fn sent(admission: Admission) -> Assignment {
    match admission {
        Admission::Send(assignment) => assignment,
        other => panic!("expected a slot, got {other:?}"),
    }
}

pub fn queued(admission: Admission) -> Ticket {
    match admission {
        Admission::Queued(ticket) => ticket,
        other => panic!("expected a place in the queue, got {other:?}"),
    }
}

pub fn answered() -> SlotOutcome {
    SlotOutcome::Answered { latency: WORK }
}

/// Lets a pool measure the usual work at the usual pace.
pub fn learn_work(pool: &mut SlotPool, name: &str) {
    for round in 0..5 {
        let now = round * 200;
        pool.record_load(&id(name), figures(0, USUAL), at(now));
        let assignment = sent(pool.admit(ask(now), at(now)));
        pool.mark_sent(assignment.attempt, at(now));
        pool.finish(assignment.attempt, answered(), Some(figures(1, USUAL)), at(now + 160));
    }
}
