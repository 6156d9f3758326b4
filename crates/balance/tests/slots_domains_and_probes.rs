//! Requests that cross failure domains, and probes sent while requests wait.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

#[path = "support/slots.rs"]
mod support;

use std::time::Duration;

use shallotfork_balance::{Admission, Sharer, SlotOutcome, SlotPool, SlotPoolConfig, SlotTarget};
use shallotfork_types::{FailureDomain, PartsPerMillion, Permille};

use support::{
    SLOW_PERMILLE, USUAL_PERMILLE, answered, at, expect_queued, expect_sent, id, learn_work_time,
    load, pool, request_at, target,
};

/// Targets of a large service.
const TARGETS: usize = 475;
/// Time between two rounds of probes.
const PROBE_INTERVAL_MS: u64 = 12;

/// Guards against sending requests to another failure domain for a small gain. Measured times of a
/// few requests made the remote of two equal targets look a tenth faster, and two of three requests
/// crossed, which costs callers more than that.
#[test]
fn requests_stay_in_local_domain_at_low_cost() {
    let mut pool = pool_with_remote_target();
    for latency in [150, 170, 200, 190, 210, 160, 200, 180] {
        let assignment = expect_sent(pool.admit(request_at(0), at(0)));
        assert_eq!(assignment.target, id("near"));
        pool.record_load(&id("near"), load(0, USUAL_PERMILLE), at(0));
        pool.mark_sent(assignment.attempt, at(0));
        let latency = Duration::from_millis(latency);
        pool.finish(assignment.attempt, SlotOutcome::Answered { latency }, None, at(0));
    }
}

/// Guards against keeping an urgent request waiting if all local slots are in use or slow while
/// remote ones are free.
#[test]
fn request_crosses_domains_if_local_slots_are_taken_or_slow() {
    let mut pool = pool_with_remote_target();
    let chosen = [(); 3].map(|()| expect_sent(pool.admit(request_at(0), at(0))).target);
    assert_eq!(chosen, [id("near"), id("near"), id("far")]);
    let mut pool = pool_with_remote_target();
    learn_work_time(&mut pool, "near");
    pool.record_load(&id("near"), load(0, SLOW_PERMILLE), at(1000));
    assert_eq!(expect_sent(pool.admit(request_at(1000), at(1000))).target, id("far"));
}

/// During a burst in two failure domains, each process reused a slot that it had freed before the
/// other one learned of it, including remote slots. One process lost half of the slots in its
/// failure domain to the other and rejected 300 requests a second, while the other rejected ten.
/// Guards against this by leaving half of a remote target's slots free to a process that has
/// reached its share.
#[test]
fn process_at_its_share_leaves_remote_slots_free() {
    let mut pool = pool_with_remote_target();
    pool.set_sharers(two_sharers(), Permille::new(1000), at(0));
    let _local = [(); 2].map(|()| expect_sent(pool.admit(request_at(0), at(0))));
    pool.record_load(&id("far"), load(1, USUAL_PERMILLE), at(0));
    expect_queued(pool.admit(request_at(0), at(0)));
}

/// Guards against rejecting requests after the loss of a failure domain's only target: they may use
/// all remote slots up to the process's share.
#[test]
fn process_below_its_share_takes_any_free_slot() {
    let mut pool = pool_with_remote_target();
    pool.set_sharers(two_sharers(), Permille::new(1000), at(0));
    pool.record_load(&id("near"), load(2, USUAL_PERMILLE), at(0));
    let chosen = [(); 2].map(|()| expect_sent(pool.admit(request_at(0), at(0))).target);
    assert_eq!(chosen, [id("far"), id("far")]);
}

/// Guards against a busy process that refuses requests while the others leave their shares unused,
/// and against one that keeps more than an equal share when demand is even again.
#[test]
fn process_uses_its_share_by_demand() {
    let mut pool = pool_with_remote_target();
    pool.set_sharers(two_sharers(), Permille::new(1000), at(0));
    assert_eq!(pool.slot_share(), PartsPerMillion::new(500_000));
    pool.set_demand_share(Some(PartsPerMillion::new(750_000)));
    assert_eq!(pool.slot_share(), PartsPerMillion::new(750_000));
    let _local = [(); 2].map(|()| expect_sent(pool.admit(request_at(0), at(0))));
    pool.record_load(&id("far"), load(1, USUAL_PERMILLE), at(0));
    assert_eq!(expect_sent(pool.admit(request_at(0), at(0))).target, id("far"));

    let mut pool = pool_with_remote_target();
    pool.set_sharers(two_sharers(), Permille::new(1000), at(0));
    pool.set_demand_share(Some(PartsPerMillion::new(750_000)));
    pool.set_demand_share(None);
    let _local = [(); 2].map(|()| expect_sent(pool.admit(request_at(0), at(0))));
    pool.record_load(&id("far"), load(1, USUAL_PERMILLE), at(0));
    expect_queued(pool.admit(request_at(0), at(0)));
}

/// Guards against probing all twenty slow targets 40 times a second for two waiting requests, which
/// took the processor time that the requests needed.
#[test]
fn probes_are_bounded_by_waiting_requests() {
    let names: Vec<String> = (0..20).map(|number| format!("target-{number:02}")).collect();
    let mut pool = pool(&names.iter().map(String::as_str).collect::<Vec<_>>());
    learn_work_time(&mut pool, "target-00");
    names
        .iter()
        .for_each(|name| drop(pool.record_load(&id(name), load(0, SLOW_PERMILLE), at(1000))));
    let _waiting = [(); 2].map(|()| expect_queued(pool.admit(request_at(1000), at(1000))));
    let first = pool.due_probes(at(1030));
    assert_eq!(first.len(), 8);
    let second = pool.due_probes(at(1030));
    assert!(second.len() == 8 && second.iter().all(|probed| !first.contains(probed)), "{second:?}");
}

fn pool_with_remote_target() -> SlotPool {
    let local_domain = FailureDomain::new("near").unwrap();
    let config =
        SlotPoolConfig { failure_domain: Some(local_domain.clone()), ..SlotPoolConfig::default() };
    let mut pool = SlotPool::new(config);
    let local_target = SlotTarget { failure_domain: local_domain, ..target("near") };
    pool.set_targets(vec![local_target, target("far")], at(0));
    pool
}

fn names() -> Vec<String> {
    (0..TARGETS).map(|number| format!("t{number}")).collect()
}

/// Guards against a burst that outlasts itself: with hundreds of full targets and hundreds of
/// waiting requests, an entry probed each target 40 times a second. Its processor can't handle
/// these 19,000 probes a second, so requests waited although slots were free and the queue grew.
#[test]
fn probes_are_bounded_by_budget() {
    let names = names();
    let mut pool = pool(&names.iter().map(String::as_str).collect::<Vec<_>>());
    names.iter().for_each(|name| drop(pool.record_load(&id(name), load(0, SLOW_PERMILLE), at(0))));
    let queued =
        (0..300).filter(|_| matches!(pool.admit(request_at(0), at(0)), Admission::Queued(_)));
    assert_eq!(queued.count(), 300);
    let probes = (1..84).map(|round| pool.due_probes(at(round * PROBE_INTERVAL_MS)).len());
    let probes: usize = probes.sum();
    assert!((100..250).contains(&probes), "{probes} in a second without an answer");
}

/// Guards against a probe budget that answers don't refill.
#[test]
fn answers_refill_probe_budget() {
    let names = names();
    let mut pool = pool(&names.iter().map(String::as_str).collect::<Vec<_>>());
    names.iter().for_each(|name| drop(pool.record_load(&id(name), load(0, USUAL_PERMILLE), at(0))));
    let running = expect_sent(pool.admit(request_at(0), at(0)));
    names.iter().for_each(|name| drop(pool.record_load(&id(name), load(0, SLOW_PERMILLE), at(0))));
    assert!((0..100).all(|_| matches!(pool.admit(request_at(0), at(0)), Admission::Queued(_))));
    let probes: usize = (0..10).map(|_| pool.due_probes(at(30)).len()).sum();
    assert!(probes >= 100, "{probes}");
    assert!(pool.due_probes(at(31)).is_empty());
    pool.finish(running.attempt, answered(), None, at(31));
    assert_eq!(pool.due_probes(at(31)).len(), 4);
}

fn two_sharers() -> Vec<Sharer> {
    ["entry", "other"].map(Sharer::new).to_vec()
}
