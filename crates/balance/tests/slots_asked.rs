//! When a request goes to another failure domain, and whom a process asks while requests wait.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

#[path = "support/slots.rs"]
mod support;

use std::time::Duration;

use shallotfork_balance::{Admission, SlotOutcome, SlotPool, SlotPoolConfig, SlotTarget};
use shallotfork_types::{FailureDomain, Permille};

use support::{
    SLOW, USUAL, answered, ask, at, figures, id, learn_work, pool, queued, sent, target,
};

/// Targets of a large service.
const TARGETS: usize = 475;
/// Time between two turns of asking.
const LOOK_MS: u64 = 12;

/// Of equal servers one stood nearby. The measured times of a few requests made the far one look
/// quicker by a tenth, and two of three requests crossed to another failure domain, which costs the
/// users more than such a difference.
#[test]
fn requests_stay_near_while_that_costs_little() {
    let mut pool = pool_with_a_far_target();
    for latency in [150, 170, 200, 190, 210, 160, 200, 180] {
        let assignment = sent(pool.admit(ask(0), at(0)));
        assert_eq!(assignment.target, id("near"));
        pool.record_load(&id("near"), figures(0, USUAL), at(0));
        pool.mark_sent(assignment.attempt, at(0));
        let latency = Duration::from_millis(latency);
        pool.finish(assignment.attempt, SlotOutcome::Answered { latency }, None, at(0));
    }
}

/// All slots nearby are taken, or their servers say that they are slow now: a caller in a hurry is
/// served elsewhere rather than made to wait.
#[test]
fn a_request_crosses_when_near_slots_are_taken_or_slow() {
    let mut pool = pool_with_a_far_target();
    let chosen = [(); 3].map(|()| sent(pool.admit(ask(0), at(0))).target);
    assert_eq!(chosen, [id("near"), id("near"), id("far")]);
    let mut pool = pool_with_a_far_target();
    learn_work(&mut pool, "near");
    pool.record_load(&id("near"), figures(0, SLOW), at(1000));
    assert_eq!(sent(pool.admit(ask(1000), at(1000))).target, id("far"));
}

/// A burst fills all slots of two failure domains. Each process filled a slot that it gave back again
/// before the other one heard of it, far ones too: one of them ended up with half of the slots that
/// its own failure domain needed taken by the other, and refused 300 requests a second while that
/// one refused ten. So one that has its share leaves half of a far target's slots free.
#[test]
fn a_process_with_its_share_leaves_far_slots_to_those_nearby() {
    let mut pool = pool_with_a_far_target();
    pool.set_sharers(two_sharers(), Permille::new(1000), at(0));
    let _near = [(); 2].map(|()| sent(pool.admit(ask(0), at(0))));
    pool.record_load(&id("far"), figures(1, USUAL), at(0));
    queued(pool.admit(ask(0), at(0)));
}

/// The only server of a failure domain is lost. Its requests may take all slots of the others, as long
/// as these are no more than its share.
#[test]
fn a_process_with_less_than_its_share_takes_what_is_free() {
    let mut pool = pool_with_a_far_target();
    pool.set_sharers(two_sharers(), Permille::new(1000), at(0));
    pool.record_load(&id("near"), figures(2, USUAL), at(0));
    let chosen = [(); 2].map(|()| sent(pool.admit(ask(0), at(0))).target);
    assert_eq!(chosen, [id("far"), id("far")]);
}

/// Two requests wait for the slow phases of twenty servers to end. Asking all of them 40 times a
/// second took the processor time that the requests needed.
#[test]
fn as_many_targets_are_asked_as_the_waiting_requests_need() {
    let names: Vec<String> = (0..20).map(|number| format!("target-{number:02}")).collect();
    let mut pool = pool(&names.iter().map(String::as_str).collect::<Vec<_>>());
    learn_work(&mut pool, "target-00");
    names.iter().for_each(|name| drop(pool.record_load(&id(name), figures(0, SLOW), at(1000))));
    let _waiting = [(); 2].map(|()| queued(pool.admit(ask(1000), at(1000))));
    let first = pool.due_probes(at(1030));
    assert_eq!(first.len(), 8);
    let second = pool.due_probes(at(1030));
    assert!(second.len() == 8 && second.iter().all(|asked| !first.contains(asked)), "{second:?}");
}

fn pool_with_a_far_target() -> SlotPool {
    let near = FailureDomain::new("near").unwrap();
    let config = SlotPoolConfig { failure_domain: Some(near.clone()), ..SlotPoolConfig::default() };
    let mut pool = SlotPool::new(config);
    let near_target = SlotTarget { failure_domain: near, ..target("near") };
    pool.set_targets(vec![near_target, target("far")], at(0));
    pool
}

fn names() -> Vec<String> {
    (0..TARGETS).map(|number| format!("t{number}")).collect()
}

/// A burst fills the slots of hundreds of servers, and hundreds of requests wait at one entry. It asked
/// each server 40 times a second which of them is free: 19,000 questions, more than its processor can
/// do. Requests waited beside free slots, so that more came to wait, long after the burst had ended.
#[test]
fn a_long_queue_asks_no_more_than_answers_pay_for() {
    let names = names();
    let mut pool = pool(&names.iter().map(String::as_str).collect::<Vec<_>>());
    names.iter().for_each(|name| drop(pool.record_load(&id(name), figures(0, SLOW), at(0))));
    let queued = (0..300).filter(|_| matches!(pool.admit(ask(0), at(0)), Admission::Queued(_)));
    assert_eq!(queued.count(), 300);
    let probes = (1..84).map(|look| pool.due_probes(at(look * LOOK_MS)).len());
    let probes: usize = probes.sum();
    assert!((100..250).contains(&probes), "{probes} in a second without an answer");
}

/// Each answer shows that asking was worth its price.
#[test]
fn answers_pay_for_more_questions() {
    let names = names();
    let mut pool = pool(&names.iter().map(String::as_str).collect::<Vec<_>>());
    names.iter().for_each(|name| drop(pool.record_load(&id(name), figures(0, USUAL), at(0))));
    let running = sent(pool.admit(ask(0), at(0)));
    names.iter().for_each(|name| drop(pool.record_load(&id(name), figures(0, SLOW), at(0))));
    assert!((0..100).all(|_| matches!(pool.admit(ask(0), at(0)), Admission::Queued(_))));
    let spent: usize = (0..10).map(|_| pool.due_probes(at(30)).len()).sum();
    assert!(spent >= 100, "{spent}");
    assert!(pool.due_probes(at(31)).is_empty());
    pool.finish(running.attempt, answered(), None, at(31));
    assert_eq!(pool.due_probes(at(31)).len(), 4);
}

fn two_sharers() -> Vec<String> {
    ["entry", "other"].map(str::to_owned).to_vec()
}
