//! Tests that probes and new connections of the whole fleet stay within the budget in every second,
//! under pauses, restarts and flapping target lists.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use shallotfork_measure::{
    ConnectionBudget, ConnectionLimits, ConnectionPermit, FleetShare, MeasuredTarget, ProbeBudget,
    ProbeOutcome, ProbePermit, ProbeScheduler,
};
use shallotfork_types::{Mono, PerSecond, Permille, TargetId};

const SEED: u64 = 0xb0d6;
const SECOND_US: u64 = 1_000_000;
const FRESH_FOR: Duration = Duration::from_millis(500);

/// Event in the simulated fleet.
#[derive(Debug, Clone)]
enum Event {
    /// Time passes, and running processes send what is due.
    Pass {
        wait_ms: u8,
    },
    /// The process is paused between acquiring a permit and sending.
    Pause {
        process: u8,
    },
    Resume {
        process: u8,
    },
    /// The process is killed and restarted without its state.
    Restart {
        process: u8,
    },
    RestartAll,
    /// The process receives a list without the target, then one with it.
    Flap {
        process: u8,
    },
    /// The target answers a request of the process with a load report.
    AnswerWithReport {
        process: u8,
    },
    /// The target answers a request of every process without a load report.
    AnswerToAll,
    /// The target is paused, and receives what was sent to it in the meantime when it is resumed.
    TargetPause,
    TargetResume,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let process = u8::arbitrary(g);
        match u8::arbitrary(g) % 20 {
            0..=7 => Self::Pass { wait_ms: u8::arbitrary(g) },
            8 | 9 => Self::Pause { process },
            10 | 11 => Self::Resume { process },
            12 => Self::Restart { process },
            13 => Self::RestartAll,
            14 => Self::Flap { process },
            15 => Self::AnswerWithReport { process },
            16 => Self::TargetPause,
            17 => Self::TargetResume,
            _ => Self::AnswerToAll,
        }
    }
}

#[derive(Debug, Clone)]
struct Fleet {
    count: u32,
    slots: u32,
    budget_permille: u32,
    cost_us: u64,
}

impl Arbitrary for Fleet {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            count: u32::arbitrary(g) % 20 + 1,
            slots: u32::arbitrary(g) % 8 + 1,
            budget_permille: u32::arbitrary(g) % 100 + 3,
            cost_us: u64::arbitrary(g) % 5500 + 500,
        }
    }
}

fn target(slots: u32) -> MeasuredTarget {
    MeasuredTarget { id: TargetId::new("mill-1").expect("a valid name"), slots }
}

/// A limiter under test, which issues permits for putting load on the target.
trait Limiter {
    type Permit;
    fn start(fleet: &Fleet, share: FleetShare, now: Mono) -> Self;
    fn set_targets(&mut self, targets: &[MeasuredTarget], now: Mono);
    fn try_acquire(&mut self, target: &TargetId, now: Mono) -> Option<Self::Permit>;
    fn release(&mut self, permit: Self::Permit, is_answered: bool, now: Mono);
    fn record_answer(&mut self, target: &TargetId, has_report: bool, now: Mono);
}

impl Limiter for ProbeScheduler {
    type Permit = ProbePermit;

    fn start(fleet: &Fleet, share: FleetShare, now: Mono) -> Self {
        let time_share = Permille::new(fleet.budget_permille);
        let probe_cost = Duration::from_micros(fleet.cost_us);
        let mut scheduler =
            Self::new(ProbeBudget { share: time_share, probe_cost }, share, FRESH_FOR);
        scheduler.set_targets(&[target(fleet.slots)], now);
        scheduler
    }

    fn set_targets(&mut self, targets: &[MeasuredTarget], now: Mono) {
        self.set_targets(targets, now);
    }

    fn try_acquire(&mut self, target: &TargetId, now: Mono) -> Option<ProbePermit> {
        self.try_acquire(target, now)
    }

    fn release(&mut self, permit: ProbePermit, is_answered: bool, now: Mono) {
        let outcome = if is_answered { ProbeOutcome::Settled } else { ProbeOutcome::Unanswered };
        self.release(permit, outcome, now);
    }

    fn record_answer(&mut self, target: &TargetId, has_report: bool, now: Mono) {
        self.record_answer(target, has_report, now);
    }
}

impl Limiter for ConnectionBudget {
    type Permit = ConnectionPermit;

    fn start(fleet: &Fleet, share: FleetShare, now: Mono) -> Self {
        let mut budget = Self::new(limits(fleet), share);
        budget.set_targets(&[target(fleet.slots).id], now);
        budget
    }

    fn set_targets(&mut self, targets: &[MeasuredTarget], now: Mono) {
        let ids: Vec<TargetId> = targets.iter().map(|target| target.id.clone()).collect();
        self.set_targets(&ids, now);
    }

    fn try_acquire(&mut self, target: &TargetId, now: Mono) -> Option<ConnectionPermit> {
        self.try_acquire(target, now).ok()
    }

    fn release(&mut self, permit: ConnectionPermit, _is_answered: bool, now: Mono) {
        self.release(permit, now);
    }

    fn record_answer(&mut self, _target: &TargetId, _has_report: bool, _now: Mono) {}
}

/// Returns the limit on new connections that corresponds to the fleet's time budget.
fn limits(fleet: &Fleet) -> ConnectionLimits {
    let per_second = u32::try_from(budget_us(fleet) / fleet.cost_us).expect("a small number");
    ConnectionLimits { new_connections: PerSecond::new(per_second) }
}

struct Process<S: Limiter> {
    limiter: S,
    is_paused: bool,
    /// Acquired before a pause, and used when it ends.
    permit: Option<S::Permit>,
}

/// Simulates the events. Returns the times at which the target received probes or connections.
fn simulate<S: Limiter>(fleet: &Fleet, events: &[Event]) -> Vec<u64> {
    let id = target(fleet.slots).id;
    let mut now = Mono::from_millis(1_000_000);
    let start = |index: u32, now: Mono| {
        let share = FleetShare::new(index, fleet.count).expect("an index below the count");
        Process { limiter: S::start(fleet, share, now), is_paused: false, permit: None }
    };
    let mut processes: BTreeMap<u32, Process<S>> =
        (0..fleet.count).map(|index| (index, start(index, now))).collect();
    let mut sent_at_us = Vec::new();
    let mut is_target_paused = false;
    let mut buffered = 0;
    for event in events {
        match *event {
            Event::Pass { wait_ms } => now = now.plus(Duration::from_millis(u64::from(wait_ms))),
            Event::Pause { process } => {
                let process = processes.get_mut(&(u32::from(process) % fleet.count));
                let process = process.expect("a process of the fleet");
                process.is_paused = true;
                process.permit =
                    process.permit.take().or_else(|| process.limiter.try_acquire(&id, now));
            }
            Event::Resume { process } => {
                let process = processes.get_mut(&(u32::from(process) % fleet.count));
                process.expect("a process of the fleet").is_paused = false;
            }
            Event::Restart { process } => {
                let index = u32::from(process) % fleet.count;
                processes.insert(index, start(index, now));
            }
            Event::RestartAll => {
                processes = (0..fleet.count).map(|index| (index, start(index, now))).collect();
            }
            Event::Flap { process } => {
                let process = processes.get_mut(&(u32::from(process) % fleet.count));
                let process = process.expect("a process of the fleet");
                process.limiter.set_targets(&[], now);
                process.limiter.set_targets(&[target(fleet.slots)], now);
            }
            Event::TargetPause => is_target_paused = true,
            Event::TargetResume => {
                is_target_paused = false;
                sent_at_us.extend(std::iter::repeat_n(now.as_micros(), buffered));
                buffered = 0;
            }
            Event::AnswerWithReport { .. } | Event::AnswerToAll if is_target_paused => {}
            Event::AnswerToAll => {
                processes
                    .values_mut()
                    .for_each(|process| process.limiter.record_answer(&id, false, now));
            }
            Event::AnswerWithReport { process } => {
                let process = processes.get_mut(&(u32::from(process) % fleet.count));
                process.expect("a process of the fleet").limiter.record_answer(&id, true, now);
            }
        }
        for process in processes.values_mut().filter(|process| !process.is_paused) {
            let permit = process.permit.take().or_else(|| process.limiter.try_acquire(&id, now));
            let Some(permit) = permit else { continue };
            if is_target_paused {
                buffered += 1;
            } else {
                sent_at_us.push(now.as_micros());
            }
            process.limiter.release(permit, !is_target_paused, now);
        }
    }
    sent_at_us
}

/// Returns the maximum number of sends in any second.
fn max_per_second(sent_at_us: &[u64]) -> u64 {
    let within =
        |from: u64| sent_at_us.iter().filter(move |at| (from..from + SECOND_US).contains(at));
    sent_at_us.iter().map(|from| within(*from).count() as u64).max().unwrap_or(0)
}

fn budget_us(fleet: &Fleet) -> u64 {
    u64::from(fleet.slots) * SECOND_US * u64::from(fleet.budget_permille) / 1000
}

fn checker() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(400, SEED)).tests(500)
}

/// Guards against probes that overload a target when entries are paused just before sending,
/// restart all at once or receive flapping lists, or when the target is paused. Causes would be
/// spacing that is counted from the decision instead of the end of a probe, a new process that
/// probes immediately, and probes of a target that does not answer.
#[test]
fn probes_stay_within_the_budget_in_every_second() {
    fn property(fleet: Fleet, events: Vec<Event>) -> bool {
        let fits_one_probe = budget_us(&fleet) >= fleet.cost_us;
        let most = max_per_second(&simulate::<ProbeScheduler>(&fleet, &events));
        if fits_one_probe { most * fleet.cost_us <= budget_us(&fleet) } else { most <= 1 }
    }
    checker().quickcheck(property as fn(Fleet, Vec<Event>) -> bool);
}

/// Guards against delayed requests when all entries restart and reconnect at once: each new
/// connection takes a millisecond of a target with two slots. Does not cover a paused target,
/// because the target's operating system accepts connections for it.
#[test]
fn new_connections_stay_within_the_budget_in_every_second() {
    fn property(fleet: Fleet, events: Vec<Event>) -> bool {
        let mut events = events;
        events.retain(|event| !matches!(event, Event::TargetPause));
        let most = max_per_second(&simulate::<ConnectionBudget>(&fleet, &events));
        let budget = limits(&fleet).new_connections.value();
        most <= u64::from(budget.max(fleet.count))
    }
    checker().quickcheck(property as fn(Fleet, Vec<Event>) -> bool);
}

/// Covers a typical fleet: 14 entries, 2 slots, 6 ms per probe, and 1% of a target's time for
/// probes.
#[test]
fn fleet_of_14_entries_probes_each_target_three_times_per_second() {
    let fleet = Fleet { count: 14, slots: 2, budget_permille: 10, cost_us: 6000 };
    let answers = (0..14).map(|process| Event::AnswerWithReport { process });
    let passes = std::iter::repeat_n(Event::Pass { wait_ms: 10 }, 1000);
    let first = [Event::Pass { wait_ms: 1 }];
    let events: Vec<Event> = first.into_iter().chain(answers).chain(passes).collect();
    let sent = simulate::<ProbeScheduler>(&fleet, &events);
    assert_eq!(3, max_per_second(&sent));
    assert_eq!(27, sent.len(), "three shares, each nine times in ten seconds");
}

#[test]
fn target_with_recent_load_report_is_not_probed() {
    let share = FleetShare::new(0, 1).expect("an index below the count");
    let mut scheduler = ProbeScheduler::new(ProbeBudget::default(), share, FRESH_FOR);
    let mill = target(2);
    scheduler.set_targets(std::slice::from_ref(&mill), Mono::ZERO);
    let later = Mono::from_millis(10_000);
    scheduler.record_answer(&mill.id, true, later);
    assert!(scheduler.due(later).is_empty());
    assert_eq!(Some(later.plus(FRESH_FOR)), scheduler.next_due());
    assert_eq!(vec![mill.id], scheduler.due(later.plus(FRESH_FOR)));
}

#[test]
fn open_connections_are_divided_among_all_shares() {
    let share = FleetShare::new(3, 14).expect("an index below the count");
    let budget = ConnectionBudget::new(ConnectionLimits::default(), share);
    assert_eq!(14, budget.open_max(200));
    assert_eq!(1, budget.open_max(5));
    assert!(FleetShare::new(14, 14).is_err());
}
