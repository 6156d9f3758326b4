//! Who gets a slot, who waits, and who is refused.

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
    SLOW, USUAL, answered, ask, at, figures, id, learn_work, named_pool, pool, queued, sent, target,
};

fn target_of(woken: &ResolvedTicket) -> Option<&str> {
    match &woken.resolution {
        Resolution::Send(assignment) => Some(assignment.target.as_str()),
        Resolution::Shed(_) => None,
    }
}

#[test]
fn an_idle_target_goes_before_the_last_slot_of_another() {
    let mut pool = pool(&["a", "b", "c"]);
    let mut chosen: Vec<String> =
        (0..3).map(|_| sent(pool.admit(ask(0), at(0))).target.to_string()).collect();
    chosen.sort();
    assert_eq!(chosen, ["a", "b", "c"]);
}

/// An order is answered; the answer still counts it as running. Taken for somebody else's request,
/// it makes the target look half full, and the next order shares a target while others are idle:
/// both take longer, and under load a third of all orders are refused for want of slots.
#[test]
fn the_answered_request_is_not_taken_for_another_process_s() {
    let mut pool = pool(&["a", "b"]);
    let first = sent(pool.admit(ask(0), at(0)));
    pool.mark_sent(first.attempt, at(0));
    pool.finish(first.attempt, answered(), Some(figures(1, USUAL)), at(160));
    let mut again: Vec<String> =
        (0..2).map(|_| sent(pool.admit(ask(170), at(170))).target.to_string()).collect();
    again.sort();
    assert_eq!(again, ["a", "b"]);
}

/// A recipe is looked up while the neighbours of the only free server slow it down five times. A
/// run keeps the pace at which it began: sent now, the answer comes after 0.8 s; sent when the
/// phase ends, a tenth of a second later, it is in good time.
#[test]
fn a_slot_in_a_slow_phase_is_left_free_until_the_phase_ends() {
    let mut pool = pool(&["a"]);
    learn_work(&mut pool, "a");
    pool.record_load(&id("a"), figures(0, SLOW), at(1000));
    let ticket = queued(pool.admit(ask(1001), at(1001)));
    assert_eq!(pool.due_probes(at(1030)), [id("a")]);
    let woken = pool.record_load(&id("a"), figures(0, USUAL), at(1031));
    assert_eq!(woken.iter().map(|w| w.ticket).collect::<Vec<_>>(), [ticket]);
    assert_eq!(target_of(&woken[0]), Some("a"));
}

/// The slow phase lasts; the caller's patience for a slot ends first. A slow answer is better than
/// none while the slot would be idle otherwise.
#[test]
fn a_slow_slot_is_used_when_waiting_for_a_better_one_has_taken_too_long() {
    let mut pool = pool(&["a"]);
    learn_work(&mut pool, "a");
    pool.record_load(&id("a"), figures(0, SLOW), at(1000));
    queued(pool.admit(ask(1001), at(1001)));
    pool.record_load(&id("a"), figures(0, SLOW), at(1050));
    let due = pool.next_expiry(at(1050)).unwrap();
    let woken = pool.expire(due);
    assert_eq!(target_of(&woken[0]), Some("a"));
}

/// Twice as many callers come as can be served. Who would have to wait for longer than is worth it
/// is told at once when to come back, not kept until the time is up.
#[test]
fn a_hopeless_wait_is_refused_at_once_with_the_time_to_come_back() {
    let mut pool = pool(&["a"]);
    learn_work(&mut pool, "a");
    let now = 1000;
    let admissions: Vec<Admission> = (0..6).map(|_| pool.admit(ask(now), at(now))).collect();
    let refused = admissions.iter().find_map(|admission| match admission {
        Admission::Shed(shed) => Some(*shed),
        _ => None,
    });
    let shed = refused.unwrap();
    assert_eq!(shed.reason, ShedReason::DeadlineTooNear);
    assert!(shed.retry_after >= Duration::from_millis(150));
    assert_eq!(pool.running(), 2);
}

/// A caller was refused and has come back, as it was told. Refused again, its time would be up; a
/// new caller has time left to come back.
#[test]
fn who_comes_back_after_a_refusal_goes_before_who_comes_first() {
    let mut pool = pool(&["a"]);
    learn_work(&mut pool, "a");
    let now = 1000;
    let running = [0, 1].map(|_| sent(pool.admit(ask(now), at(now))));
    for assignment in &running {
        pool.mark_sent(assignment.attempt, at(now));
    }
    let patient = |returning: bool| {
        let ask = ask(now).with_resubmitted(returning);
        SlotRequest { objective: at(now + 5000), ..ask }
    };
    queued(pool.admit(patient(false), at(now)));
    let returning = queued(pool.admit(patient(true), at(now + 1)));
    let woken = pool.finish(running[0].attempt, answered(), Some(figures(2, USUAL)), at(now + 2));
    assert_eq!(woken.iter().map(|woken| woken.ticket).collect::<Vec<_>>(), [returning]);
}

#[test]
fn a_target_that_fails_again_and_again_is_left_out_and_comes_back() {
    let mut pool = pool(&["a", "b"]);
    for round in 0..3 {
        let assignment = loop_until(&mut pool, "a", round * 10);
        pool.finish(assignment.attempt, SlotOutcome::Failed, None, at(round * 10));
    }
    let while_out: Vec<String> =
        (0..2).map(|_| sent(pool.admit(ask(40), at(40))).target.to_string()).collect();
    assert_eq!(while_out, ["b", "b"]);
    loop_until(&mut pool, "a", 1000);
}

/// Nobody can be reached: more likely this process is cut off than all servers have failed.
#[test]
fn when_all_targets_look_bad_the_evidence_is_ignored() {
    let mut pool = pool(&["a", "b"]);
    for _ in 0..2 {
        let assignment = sent(pool.admit(ask(0), at(0)));
        pool.finish(assignment.attempt, SlotOutcome::Unreachable, None, at(0));
    }
    sent(pool.admit(ask(1), at(1)));
}

#[test]
fn a_draining_target_gets_nothing() {
    let mut pool = pool(&["a", "b"]);
    let draining = SlotTarget { serving: false, ..target("a") };
    pool.set_targets(vec![draining, target("b")], at(1));
    assert_eq!(sent(pool.admit(ask(1), at(1))).target, id("b"));
}

/// Whatever happens in whatever order, no target holds more than its slots, and each ticket ends
/// once.
#[test]
fn slots_are_never_exceeded_and_tickets_end_once() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let mut run = Run::new();
        steps.iter().all(|(action, gap_ms)| run.step(*action, *gap_ms))
    }
    QuickCheck::new().tests(400).quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

/// In every window, repeated sends stay within the share of requests and the extra, wherever the
/// window begins.
#[test]
fn repeats_keep_the_allowance_in_every_window() {
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
            // Requests count that were made up to a window before: the users count the fullest.
            let counted = within(&requests, from.saturating_sub(1000), to);
            within(&repeats, *from, to) <= counted / 5 + 3
        })
    }
    QuickCheck::new().tests(400).quickcheck(property as fn(Vec<(bool, u8)>) -> bool);
}

/// An assignment to the named target; others are given back.
fn loop_until(pool: &mut SlotPool, name: &str, now_ms: u64) -> Assignment {
    let mut others = Vec::new();
    loop {
        let assignment = sent(pool.admit(ask(now_ms), at(now_ms)));
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
struct Run {
    pool: SlotPool,
    now_ms: u64,
    in_flight: Vec<Assignment>,
    tickets: Vec<Ticket>,
}

impl Run {
    fn new() -> Self {
        let pool = pool(&["a", "b", "c"]);
        Self { pool, now_ms: 0, in_flight: Vec::new(), tickets: Vec::new() }
    }

    fn step(&mut self, action: u8, gap_ms: u8) -> bool {
        self.now_ms += u64::from(gap_ms);
        let now = at(self.now_ms);
        let woken = match action % 6 {
            0..=2 => return self.admit(),
            3 => {
                let Some(ended) = self.in_flight.pop() else { return true };
                let outcome = if action > 200 { SlotOutcome::Failed } else { answered() };
                self.pool.finish(ended.attempt, outcome, Some(figures(1, USUAL)), now)
            }
            4 => self.pool.record_load(
                &id("a"),
                figures(0, if action > 100 { SLOW } else { USUAL }),
                now,
            ),
            _ => self.pool.expire(now),
        };
        self.take(woken)
    }

    fn admit(&mut self) -> bool {
        match self.pool.admit(ask(self.now_ms), at(self.now_ms)) {
            Admission::Send(assignment) => self.in_flight.push(assignment),
            Admission::Queued(ticket) => self.tickets.push(ticket),
            Admission::Shed(_) => {}
        }
        self.within_slots()
    }

    fn take(&mut self, woken: Vec<ResolvedTicket>) -> bool {
        for ResolvedTicket { ticket, resolution } in woken {
            let Some(place) = self.tickets.iter().position(|known| *known == ticket) else {
                return false;
            };
            self.tickets.swap_remove(place);
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

/// Insurers need an answer within 120 ms; in a slow phase the work alone takes 180, and the phase
/// is over sooner than that.
#[test]
fn a_short_request_waits_if_only_that_keeps_its_objective() {
    let mut pool = pool(&["a"]);
    learn_work(&mut pool, "a");
    pool.record_load(&id("a"), figures(0, 1800), at(1000));
    let objective = |ms: u64| SlotRequest { objective: at(1000 + ms), ..ask(1000) };
    queued(pool.admit(objective(250), at(1000)));
    assert_eq!(sent(pool.admit(objective(800), at(1000))).target, id("a"));
}

/// All entries have just started, and each gets one request. Were all to begin with the same
/// server, it would be full, and one that hangs when it is full would keep them waiting.
#[test]
fn processes_don_t_all_begin_with_the_same_target() {
    let first = |entry: &str| {
        let mut pool = named_pool(entry, &["a", "b", "c", "d"]);
        sent(pool.admit(ask(0), at(0))).target.to_string()
    };
    let mut chosen: Vec<String> = (0..14).map(|n| first(&format!("entry-{n}"))).collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen, ["a", "b", "c", "d"]);
}

/// Another entry has filled a server meanwhile; what it is asked shows it. The request must not wait
/// there, where it may never be answered.
#[test]
fn a_target_that_others_have_filled_is_unfit() {
    let mut pool = pool(&["a"]);
    let assignment = sent(pool.admit(ask(0), at(0)));
    pool.record_load(&id("a"), figures(1, USUAL), at(1));
    assert!(!pool.is_unfit(&assignment, &ask(0), at(1)));
    pool.record_load(&id("a"), figures(2, USUAL), at(2));
    assert!(pool.is_unfit(&assignment, &ask(0), at(2)));
}

/// Both slots are taken for 160 ms, one gets free each 80. A stallholder's look-up that waits for it
/// is answered within its 400 ms; refused, it comes back too late for that.
#[test]
fn who_can_still_be_answered_in_good_time_waits_for_it() {
    let mut pool = pool(&["a"]);
    learn_work(&mut pool, "a");
    let running = [0, 1].map(|_| sent(pool.admit(ask(1000), at(1000))));
    for assignment in &running {
        pool.mark_sent(assignment.attempt, at(1000));
    }
    let ticket = queued(pool.admit(ask(1000), at(1000)));
    assert_eq!(pool.expire(at(1150)), []);
    let woken = pool.finish(running[0].attempt, answered(), Some(figures(2, USUAL)), at(1160));
    assert_eq!(woken.iter().map(|woken| woken.ticket).collect::<Vec<_>>(), [ticket]);
}
