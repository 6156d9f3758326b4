//! The fleet's probes and new connections keep the budget in every second, whatever happens to
//! its processes.

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

/// What happens to one process of the fleet.
#[derive(Debug, Clone)]
enum Event {
    /// Time passes and processes that aren't paused do what is due.
    Pass {
        wait_ms: u8,
    },
    /// The process stops between deciding and sending, and goes on later.
    Pause {
        process: u8,
    },
    Resume {
        process: u8,
    },
    /// The process is killed and started again without memory.
    Restart {
        process: u8,
    },
    RestartAll,
    /// The process sees a list of targets without the one probed, then with it.
    Flap {
        process: u8,
    },
    /// The target answers a request of this process with a load report.
    Answered {
        process: u8,
    },
    /// The target answers a request of every process without a load report.
    AnsweredAll,
    /// The target stops, and finds what it was sent in its buffers when it goes on.
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
            15 => Self::Answered { process },
            16 => Self::TargetPause,
            17 => Self::TargetResume,
            _ => Self::AnsweredAll,
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

/// Something that asks for leave before it loads the target.
trait Spender {
    type Permit;
    fn start(fleet: &Fleet, share: FleetShare, now: Mono) -> Self;
    fn set_targets(&mut self, targets: &[MeasuredTarget], now: Mono);
    fn take(&mut self, target: &TargetId, now: Mono) -> Option<Self::Permit>;
    fn finished(&mut self, permit: Self::Permit, answered: bool, now: Mono);
    fn answered(&mut self, target: &TargetId, with_report: bool, now: Mono);
}

impl Spender for ProbeScheduler {
    type Permit = ProbePermit;

    fn start(fleet: &Fleet, share: FleetShare, now: Mono) -> Self {
        let share_of_time = Permille::new(fleet.budget_permille);
        let probe_cost = Duration::from_micros(fleet.cost_us);
        let mut plan =
            Self::new(ProbeBudget { share: share_of_time, probe_cost }, share, FRESH_FOR);
        plan.set_targets(&[target(fleet.slots)], now);
        plan
    }

    fn set_targets(&mut self, targets: &[MeasuredTarget], now: Mono) {
        self.set_targets(targets, now);
    }

    fn take(&mut self, target: &TargetId, now: Mono) -> Option<ProbePermit> {
        self.try_acquire(target, now)
    }

    fn finished(&mut self, permit: ProbePermit, answered: bool, now: Mono) {
        let end = if answered { ProbeOutcome::Settled } else { ProbeOutcome::Unanswered };
        self.release(permit, end, now);
    }

    fn answered(&mut self, target: &TargetId, with_report: bool, now: Mono) {
        self.record_answer(target, with_report, now);
    }
}

impl Spender for ConnectionBudget {
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

    fn take(&mut self, target: &TargetId, now: Mono) -> Option<ConnectionPermit> {
        self.try_acquire(target, now).ok()
    }

    fn finished(&mut self, permit: ConnectionPermit, _answered: bool, now: Mono) {
        self.release(permit, now);
    }

    fn answered(&mut self, _target: &TargetId, _with_report: bool, _now: Mono) {}
}

/// As many connections a second as the fleet's budget of time allows.
fn limits(fleet: &Fleet) -> ConnectionLimits {
    let a_second = u32::try_from(budget_us(fleet) / fleet.cost_us).expect("a small number");
    ConnectionLimits { new_connections: PerSecond::new(a_second) }
}

struct Process<S: Spender> {
    spender: S,
    paused: bool,
    /// Taken before the pause, sent when it ends.
    held: Option<S::Permit>,
}

/// Plays the events and returns the times at which the target was loaded.
fn play<S: Spender>(fleet: &Fleet, events: &[Event]) -> Vec<u64> {
    let id = target(fleet.slots).id;
    let mut now = Mono::from_millis(1_000_000);
    let start = |index: u32, now: Mono| {
        let share = FleetShare::new(index, fleet.count).expect("an index below the count");
        Process { spender: S::start(fleet, share, now), paused: false, held: None }
    };
    let mut processes: BTreeMap<u32, Process<S>> =
        (0..fleet.count).map(|index| (index, start(index, now))).collect();
    let mut sent_at_us = Vec::new();
    let mut target_paused = false;
    let mut buffered = 0;
    for event in events {
        match *event {
            Event::Pass { wait_ms } => now = now.plus(Duration::from_millis(u64::from(wait_ms))),
            Event::Pause { process } => {
                let process = processes.get_mut(&(u32::from(process) % fleet.count));
                let process = process.expect("a process of the fleet");
                process.paused = true;
                process.held = process.held.take().or_else(|| process.spender.take(&id, now));
            }
            Event::Resume { process } => {
                let process = processes.get_mut(&(u32::from(process) % fleet.count));
                process.expect("a process of the fleet").paused = false;
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
                process.spender.set_targets(&[], now);
                process.spender.set_targets(&[target(fleet.slots)], now);
            }
            Event::TargetPause => target_paused = true,
            Event::TargetResume => {
                target_paused = false;
                sent_at_us.extend(std::iter::repeat_n(now.as_micros(), buffered));
                buffered = 0;
            }
            Event::Answered { .. } | Event::AnsweredAll if target_paused => {}
            Event::AnsweredAll => {
                processes
                    .values_mut()
                    .for_each(|process| process.spender.answered(&id, false, now));
            }
            Event::Answered { process } => {
                let process = processes.get_mut(&(u32::from(process) % fleet.count));
                process.expect("a process of the fleet").spender.answered(&id, true, now);
            }
        }
        for process in processes.values_mut().filter(|process| !process.paused) {
            let permit = process.held.take().or_else(|| process.spender.take(&id, now));
            let Some(permit) = permit else { continue };
            if target_paused {
                buffered += 1;
            } else {
                sent_at_us.push(now.as_micros());
            }
            process.spender.finished(permit, !target_paused, now);
        }
    }
    sent_at_us
}

/// The most events in any second.
fn most_in_a_second(sent_at_us: &[u64]) -> u64 {
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

/// Entries are paused while about to probe, restarted all at once, and see lists that flap; the
/// target is paused and resumed. Each entry probes by its own clock and its own view. If a probe
/// were counted when it was decided on, a new process probed at once, or a silent target were
/// probed on, a slow morning answer would be the probes' fault.
#[test]
fn probes_keep_the_budget_in_every_second() {
    fn property(fleet: Fleet, events: Vec<Event>) -> bool {
        let one_probe_fits = budget_us(&fleet) >= fleet.cost_us;
        let most = most_in_a_second(&play::<ProbeScheduler>(&fleet, &events));
        if one_probe_fits { most * fleet.cost_us <= budget_us(&fleet) } else { most <= 1 }
    }
    checker().quickcheck(property as fn(Fleet, Vec<Event>) -> bool);
}

/// All entries restart at once and reconnect. Each new connection takes a millisecond of a target
/// with two slots; unspaced, the reconnects alone would hold up the orders. Not covered: a target
/// that is paused itself, as its system accepts connections for it.
#[test]
fn new_connections_keep_the_budget_in_every_second() {
    fn property(fleet: Fleet, events: Vec<Event>) -> bool {
        let mut events = events;
        events.retain(|event| !matches!(event, Event::TargetPause));
        let most = most_in_a_second(&play::<ConnectionBudget>(&fleet, &events));
        let budget = limits(&fleet).new_connections.value();
        most <= u64::from(budget.max(fleet.count))
    }
    checker().quickcheck(property as fn(Fleet, Vec<Event>) -> bool);
}

/// The users' sizes: 14 entries, 2 slots, 6 ms a probe, one part in a hundred of a target's time.
#[test]
fn the_fleet_probes_each_target_three_times_a_second_at_today_s_size() {
    let fleet = Fleet { count: 14, slots: 2, budget_permille: 10, cost_us: 6000 };
    let answers = (0..14).map(|process| Event::Answered { process });
    let passes = std::iter::repeat_n(Event::Pass { wait_ms: 10 }, 1000);
    let first = [Event::Pass { wait_ms: 1 }];
    let events: Vec<Event> = first.into_iter().chain(answers).chain(passes).collect();
    let sent = play::<ProbeScheduler>(&fleet, &events);
    assert_eq!(3, most_in_a_second(&sent));
    assert_eq!(27, sent.len(), "three shares, each nine times in ten seconds");
}

#[test]
fn a_target_that_reports_with_its_answers_is_not_probed() {
    let share = FleetShare::new(0, 1).expect("an index below the count");
    let mut plan = ProbeScheduler::new(ProbeBudget::default(), share, FRESH_FOR);
    let mill = target(2);
    plan.set_targets(std::slice::from_ref(&mill), Mono::ZERO);
    let later = Mono::from_millis(10_000);
    plan.record_answer(&mill.id, true, later);
    assert!(plan.due(later).is_empty());
    assert_eq!(Some(later.plus(FRESH_FOR)), plan.next_due());
    assert_eq!(vec![mill.id], plan.due(later.plus(FRESH_FOR)));
}

#[test]
fn connections_are_shared_out_by_the_fleet_s_size() {
    let share = FleetShare::new(3, 14).expect("an index below the count");
    let budget = ConnectionBudget::new(ConnectionLimits::default(), share);
    assert_eq!(14, budget.open_max(200));
    assert_eq!(1, budget.open_max(5));
    assert!(FleetShare::new(14, 14).is_err());
}
