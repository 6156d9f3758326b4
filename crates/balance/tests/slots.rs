//! Assignment of slots, queueing and shedding.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

#[path = "support/slots.rs"]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::QuickCheck;
use shallotfork_balance::{
    Admission, Assignment, Resolution, ResolvedTicket, RetryAllowance, RetryWindow, ShedReason,
    SlotOutcome, SlotPool, SlotRequest, SlotTarget, Ticket,
};
use shallotfork_types::Permille;

use support::{
    SLOW_PERMILLE, USUAL_PERMILLE, answered, at, expect_queued, expect_sent, id, learn_work_time,
    load, named_pool, pool, request_at, target,
};

fn target_of(resolved: &ResolvedTicket) -> Option<&str> {
    match &resolved.resolution {
        Resolution::Send(assignment) => Some(assignment.target.as_str()),
        Resolution::Shed(_) => None,
    }
}

#[test]
fn idle_targets_are_preferred() {
    let mut pool = pool(&["a", "b", "c"]);
    let mut chosen: Vec<String> =
        (0..3).map(|_| expect_sent(pool.admit(request_at(0), at(0))).target.to_string()).collect();
    chosen.sort();
    assert_eq!(chosen, ["a", "b", "c"]);
}

/// An answer's load report still counts the answered request as running. Guards against counting it
/// as a request of another process: the target would look half full and the next request would
/// share another target while this one is idle. Both would take longer, and under load a third of
/// all requests was rejected for lack of slots.
#[test]
fn answered_request_is_not_counted_as_foreign() {
    let mut pool = pool(&["a", "b"]);
    let first = expect_sent(pool.admit(request_at(0), at(0)));
    pool.mark_sent(first.attempt, at(0));
    pool.finish(first.attempt, answered(), Some(load(1, USUAL_PERMILLE)), at(160));
    let mut again: Vec<String> = (0..2)
        .map(|_| expect_sent(pool.admit(request_at(170), at(170))).target.to_string())
        .collect();
    again.sort();
    assert_eq!(again, ["a", "b"]);
}

/// Guards against sending a request to the only free target while neighbours slow it down five
/// times. A run keeps the slowdown with which it starts: sent now, the answer takes 0.8 s; sent a
/// tenth of a second later, after the slow phase, it meets its objective.
#[test]
fn slot_stays_free_during_slow_phase() {
    let mut pool = pool(&["a"]);
    learn_work_time(&mut pool, "a");
    pool.record_load(&id("a"), load(0, SLOW_PERMILLE), at(1000));
    let ticket = expect_queued(pool.admit(request_at(1001), at(1001)));
    assert_eq!(pool.due_probes(at(1030)), [id("a")]);
    let resolved = pool.record_load(&id("a"), load(0, USUAL_PERMILLE), at(1031));
    assert_eq!(resolved.iter().map(|w| w.ticket).collect::<Vec<_>>(), [ticket]);
    assert_eq!(target_of(&resolved[0]), Some("a"));
}

/// Guards against leaving a slot idle if the slow phase outlasts the waiting time of a request: a
/// slow answer is better than none.
#[test]
fn slow_slot_is_used_after_wait_ends() {
    let mut pool = pool(&["a"]);
    learn_work_time(&mut pool, "a");
    pool.record_load(&id("a"), load(0, SLOW_PERMILLE), at(1000));
    expect_queued(pool.admit(request_at(1001), at(1001)));
    pool.record_load(&id("a"), load(0, SLOW_PERMILLE), at(1050));
    let due = pool.next_expiry(at(1050)).unwrap();
    let resolved = pool.expire(due);
    assert_eq!(target_of(&resolved[0]), Some("a"));
}

/// Guards against keeping requests until their deadline under twice the load that can be served. A
/// request whose expected wait is too long is rejected at once with a time to retry after.
#[test]
fn hopeless_wait_is_shed_at_once_with_retry_after() {
    let mut pool = pool(&["a"]);
    learn_work_time(&mut pool, "a");
    let now = 1000;
    let admissions: Vec<Admission> = (0..6).map(|_| pool.admit(request_at(now), at(now))).collect();
    let first_shed = admissions.iter().find_map(|admission| match admission {
        Admission::Shed(shed) => Some(*shed),
        _ => None,
    });
    let shed = first_shed.unwrap();
    assert_eq!(shed.reason, ShedReason::DeadlineTooNear);
    assert!(shed.retry_after >= Duration::from_millis(150));
    assert_eq!(pool.running(), 2);
}

/// Guards against rejecting a resubmitted request a second time, which leaves no time for another
/// attempt, in favour of a new request that can still come back.
#[test]
fn resubmitted_request_ranks_before_new_one() {
    let mut pool = pool(&["a"]);
    learn_work_time(&mut pool, "a");
    let now = 1000;
    let running = [0, 1].map(|_| expect_sent(pool.admit(request_at(now), at(now))));
    for assignment in &running {
        pool.mark_sent(assignment.attempt, at(now));
    }
    let patient_request = |resubmitted: bool| {
        let request = request_at(now).with_resubmitted(resubmitted);
        SlotRequest { objective: at(now + 5000), ..request }
    };
    expect_queued(pool.admit(patient_request(false), at(now)));
    let resubmitted = expect_queued(pool.admit(patient_request(true), at(now + 1)));
    let resolved =
        pool.finish(running[0].attempt, answered(), Some(load(2, USUAL_PERMILLE)), at(now + 2));
    assert_eq!(resolved.iter().map(|resolved| resolved.ticket).collect::<Vec<_>>(), [resubmitted]);
}

#[test]
fn failing_target_is_ejected_and_returns() {
    let mut pool = pool(&["a", "b"]);
    for round in 0..3 {
        let assignment = assign_to(&mut pool, "a", round * 10);
        pool.finish(assignment.attempt, SlotOutcome::Failed, None, at(round * 10));
    }
    let chosen: Vec<String> = (0..2)
        .map(|_| expect_sent(pool.admit(request_at(40), at(40))).target.to_string())
        .collect();
    assert_eq!(chosen, ["b", "b"]);
    assign_to(&mut pool, "a", 1000);
}

/// Guards against serving nobody if no target can be reached: more likely this process is cut off
/// than all targets have failed.
#[test]
fn health_is_ignored_if_all_targets_look_unhealthy() {
    let mut pool = pool(&["a", "b"]);
    for _ in 0..2 {
        let assignment = expect_sent(pool.admit(request_at(0), at(0)));
        pool.finish(assignment.attempt, SlotOutcome::Unreachable, None, at(0));
    }
    expect_sent(pool.admit(request_at(1), at(1)));
}

#[test]
fn draining_target_gets_no_requests() {
    let mut pool = pool(&["a", "b"]);
    let draining = SlotTarget { serving: false, ..target("a") };
    pool.set_targets(vec![draining, target("b")], at(1));
    assert_eq!(expect_sent(pool.admit(request_at(1), at(1))).target, id("b"));
}

/// Guards against assigning more slots than a target has and against losing or resolving a ticket
/// twice, for random sequences of events.
#[test]
fn slots_are_never_exceeded_and_tickets_end_once() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let mut run = RandomRun::new();
        steps.iter().all(|(action, gap_ms)| run.step(*action, *gap_ms))
    }
    QuickCheck::new().tests(400).quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against exceeding the limit on repeated sends, a share of the requests plus a constant,
/// in any window wherever it starts.
#[test]
fn repeated_sends_keep_limit_in_every_window() {
    fn property(steps: Vec<(bool, u8)>) -> bool {
        let window = Duration::from_secs(1);
        let allowance = RetryAllowance { share: Permille::new(200), extra: 3 };
        let mut limit = RetryWindow::new(window);
        let (mut now, mut requests, mut repeats) = (0u64, Vec::new(), Vec::new());
        for (is_request, gap_ms) in steps {
            now += u64::from(gap_ms);
            if is_request {
                limit.record_request(at(now));
                requests.push(now);
            } else if limit.try_acquire(allowance, at(now)) {
                repeats.push(now);
            }
        }
        let within = |times: &[u64], from: u64, to: u64| {
            times.iter().filter(|time| (from..to).contains(*time)).count()
        };
        repeats.iter().all(|from| {
            let to = from + 1000;
            // Requests of up to one window earlier count as well: the limit is checked against the
            // window with the most requests.
            let counted = within(&requests, from.saturating_sub(1000), to);
            within(&repeats, *from, to) <= counted / 5 + 3
        })
    }
    QuickCheck::new().tests(400).quickcheck(property as fn(Vec<(bool, u8)>) -> bool);
}

/// Returns an assignment to the named target and gives back those to others.
fn assign_to(pool: &mut SlotPool, name: &str, now_ms: u64) -> Assignment {
    let mut others = Vec::new();
    loop {
        let assignment = expect_sent(pool.admit(request_at(now_ms), at(now_ms)));
        if assignment.target == id(name) {
            for other in others {
                pool.finish(other, SlotOutcome::Cancelled, None, at(now_ms));
            }
            return assignment;
        }
        others.push(assignment.attempt);
    }
}

/// A pool under random events.
struct RandomRun {
    pool: SlotPool,
    now_ms: u64,
    in_flight: Vec<Assignment>,
    tickets: Vec<Ticket>,
}

impl RandomRun {
    fn new() -> Self {
        let pool = pool(&["a", "b", "c"]);
        Self { pool, now_ms: 0, in_flight: Vec::new(), tickets: Vec::new() }
    }

    fn step(&mut self, action: u8, gap_ms: u8) -> bool {
        self.now_ms += u64::from(gap_ms);
        let now = at(self.now_ms);
        let resolved = match action % 6 {
            0..=2 => return self.admit(),
            3 => {
                let Some(ended) = self.in_flight.pop() else { return true };
                let outcome = if action > 200 { SlotOutcome::Failed } else { answered() };
                self.pool.finish(ended.attempt, outcome, Some(load(1, USUAL_PERMILLE)), now)
            }
            4 => self.pool.record_load(
                &id("a"),
                load(0, if action > 100 { SLOW_PERMILLE } else { USUAL_PERMILLE }),
                now,
            ),
            _ => self.pool.expire(now),
        };
        self.resolve(resolved)
    }

    fn admit(&mut self) -> bool {
        match self.pool.admit(request_at(self.now_ms), at(self.now_ms)) {
            Admission::Send(assignment) => self.in_flight.push(assignment),
            Admission::Queued(ticket) => self.tickets.push(ticket),
            Admission::Shed(_) => {}
        }
        self.within_slots()
    }

    fn resolve(&mut self, resolved: Vec<ResolvedTicket>) -> bool {
        for ResolvedTicket { ticket, resolution } in resolved {
            let Some(index) = self.tickets.iter().position(|known| *known == ticket) else {
                return false;
            };
            self.tickets.swap_remove(index);
            if let Resolution::Send(assignment) = resolution {
                self.in_flight.push(assignment);
            }
        }
        self.within_slots()
    }

    fn within_slots(&self) -> bool {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for assignment in &self.in_flight {
            *counts.entry(assignment.target.as_str()).or_default() += 1;
        }
        counts.values().all(|count| *count <= 2) && self.pool.queued() == self.tickets.len()
    }
}

/// Guards against sending a short request into a slow phase in which the work alone takes 180 ms,
/// if its objective is 120 ms and the phase ends sooner than that.
#[test]
fn short_request_waits_out_slow_phase_to_meet_objective() {
    let mut pool = pool(&["a"]);
    learn_work_time(&mut pool, "a");
    pool.record_load(&id("a"), load(0, 1800), at(1000));
    let objective = |ms: u64| SlotRequest { objective: at(1000 + ms), ..request_at(1000) };
    expect_queued(pool.admit(objective(250), at(1000)));
    assert_eq!(expect_sent(pool.admit(objective(800), at(1000))).target, id("a"));
}

/// Guards against all entries choosing the same target for their first request after a common
/// start. It would be full, and if it hangs when full, it would keep all of them waiting.
#[test]
fn processes_start_with_different_targets() {
    let first = |entry: &str| {
        let mut pool = named_pool(entry, &["a", "b", "c", "d"]);
        expect_sent(pool.admit(request_at(0), at(0))).target.to_string()
    };
    let mut chosen: Vec<String> = (0..14).map(|n| first(&format!("entry-{n}"))).collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen, ["a", "b", "c", "d"]);
}

/// Guards against leaving a request at a target that another entry has filled since the slot was
/// assigned, as a probe shows. It would wait there and might never be answered.
#[test]
fn slot_is_unfit_if_other_processes_fill_the_target() {
    let mut pool = pool(&["a"]);
    let assignment = expect_sent(pool.admit(request_at(0), at(0)));
    pool.record_load(&id("a"), load(1, USUAL_PERMILLE), at(1));
    assert!(!pool.is_unfit(&assignment, &request_at(0), at(1)));
    pool.record_load(&id("a"), load(2, USUAL_PERMILLE), at(2));
    assert!(pool.is_unfit(&assignment, &request_at(0), at(2)));
}

/// Guards against rejecting a request that meets its 400 ms objective by waiting: both slots are in
/// use for 160 ms, so that one becomes free every 80 ms. Rejected, the request would be resubmitted
/// too late.
#[test]
fn request_waits_while_objective_can_be_met() {
    let mut pool = pool(&["a"]);
    learn_work_time(&mut pool, "a");
    let running = [0, 1].map(|_| expect_sent(pool.admit(request_at(1000), at(1000))));
    for assignment in &running {
        pool.mark_sent(assignment.attempt, at(1000));
    }
    let ticket = expect_queued(pool.admit(request_at(1000), at(1000)));
    assert_eq!(pool.expire(at(1150)), []);
    let resolved =
        pool.finish(running[0].attempt, answered(), Some(load(2, USUAL_PERMILLE)), at(1160));
    assert_eq!(resolved.iter().map(|resolved| resolved.ticket).collect::<Vec<_>>(), [ticket]);
}
