//! Decisions about a lost path, by the evidence of attempts, probes and checks.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use shallotfork_reachability::{CheckOutcome, ConnectionAge, PathChange, PathConfig, PathMonitor};
use shallotfork_types::{Mono, TargetId};

const TARGETS: usize = 12;
/// Time that a check takes.
const CHECK_MS: u64 = 300;

fn target(number: usize) -> TargetId {
    TargetId::new(&format!("target-{number:02}")).unwrap()
}

fn at(ms: u64) -> Mono {
    Mono::from_millis(ms)
}

/// A monitor whose checks are answered by a model of the targets.
struct Model {
    monitor: PathMonitor,
    targets: Vec<TargetId>,
    now_ms: u64,
    /// Outcome of a check of each target.
    outcomes: Vec<CheckOutcome>,
}

impl Model {
    fn new() -> Self {
        Self {
            monitor: PathMonitor::new(PathConfig::default()),
            targets: (0..TARGETS).map(target).collect(),
            now_ms: 1000,
            outcomes: vec![CheckOutcome::Answered; TARGETS],
        }
    }

    fn set_all(&mut self, outcome: CheckOutcome) {
        self.outcomes.fill(outcome);
    }

    /// Runs a check if one is due now.
    fn check(&mut self) -> Option<PathChange> {
        let checked = self.monitor.begin_check(&self.targets, at(self.now_ms));
        if checked.is_empty() {
            return None;
        }
        let index = |id: &TargetId| self.targets.iter().position(|target| target == id).unwrap();
        let outcomes: Vec<CheckOutcome> =
            checked.iter().map(|id| self.outcomes[index(id)]).collect();
        self.now_ms += CHECK_MS;
        for (id, outcome) in checked.iter().zip(&outcomes) {
            if *outcome == CheckOutcome::Answered {
                self.monitor.record_answer(id, ConnectionAge::New, at(self.now_ms));
            } else {
                self.monitor.record_failure(id, ConnectionAge::New, at(self.now_ms));
            }
        }
        self.monitor.finish_check(&outcomes, at(self.now_ms))
    }

    /// Runs all checks that are due in the next `ms`, while every target that a check would reach
    /// also answers requests if `answers`. Returns the changes with their times.
    fn run_for(&mut self, ms: u64, answers: bool) -> Vec<(u64, PathChange)> {
        const STEP_MS: u64 = 50;
        let end_ms = self.now_ms + ms;
        let mut changes = Vec::new();
        while self.now_ms < end_ms {
            if answers {
                self.monitor.record_answer(&target(0), ConnectionAge::Kept, at(self.now_ms));
            }
            changes.extend(self.check().map(|change| (self.now_ms, change)));
            self.now_ms += STEP_MS;
        }
        changes
    }

    fn stay_silent(&mut self, numbers: std::ops::Range<usize>) {
        for number in numbers {
            self.monitor.record_silence(&target(number), at(self.now_ms));
        }
    }

    fn fail_to_open(&mut self, numbers: std::ops::Range<usize>) {
        for number in numbers {
            self.monitor.record_failure(&target(number), ConnectionAge::New, at(self.now_ms));
        }
    }
}

/// Guards against an entry that takes the loss of its own path for failures of single targets.
#[test]
fn a_path_is_lost_when_no_connection_opens_and_no_target_answers() {
    let mut model = Model::new();
    model.set_all(CheckOutcome::Failed);
    model.stay_silent(0..3);
    assert_eq!(model.check(), Some(PathChange::Lost));
    assert!(model.monitor.is_isolated() && model.monitor.is_hopeless(at(model.now_ms)));
}

/// Guards against an entry that takes the loss of its path for busy targets, when connections open
/// but nothing passes on them.
#[test]
fn a_path_is_lost_when_no_target_answers_for_long() {
    let mut model = Model::new();
    model.set_all(CheckOutcome::Silent);
    model.stay_silent(0..3);
    assert_eq!(model.check(), None, "targets may be busy");
    let changes = model.run_for(1_000, false);
    assert!(matches!(changes.as_slice(), [(_, PathChange::Lost)]), "{changes:?}");
}

/// Guards against an entry that steps aside because some targets have failed.
#[test]
fn failed_targets_are_not_a_lost_path() {
    let mut model = Model::new();
    for number in 0..TARGETS / 2 {
        model.outcomes[number] = CheckOutcome::Failed;
    }
    model.monitor.record_answer(&target(TARGETS - 1), ConnectionAge::Kept, at(model.now_ms));
    model.fail_to_open(0..TARGETS / 2);
    assert_eq!(model.run_for(5_000, true), []);
    assert!(!model.monitor.is_isolated());
}

/// Guards against an entry that steps aside because busy targets leave new connections waiting.
#[test]
fn busy_targets_are_not_a_lost_path() {
    let mut model = Model::new();
    model.set_all(CheckOutcome::Silent);
    model.fail_to_open(0..TARGETS);
    assert_eq!(model.run_for(5_000, true), []);
}

/// Guards against an entry that keeps its callers although it can open no connection to a target.
#[test]
fn a_path_is_lost_when_no_connection_opens_while_open_ones_go_on() {
    let mut model = Model::new();
    model.set_all(CheckOutcome::Failed);
    model.fail_to_open(0..2);
    let changes = model.run_for(2_000, true);
    assert!(matches!(changes.as_slice(), [(_, PathChange::Lost)]), "{changes:?}");
    assert!(!model.monitor.is_hopeless(at(model.now_ms)));
}

/// Guards against checks without a sign of a loss, which would load the targets on calm days.
#[test]
fn nothing_is_checked_while_targets_answer() {
    let mut model = Model::new();
    for round in 0..100 {
        model.now_ms += 20;
        model.monitor.record_answer(
            &target(round % TARGETS),
            ConnectionAge::Kept,
            at(model.now_ms),
        );
        model.stay_silent(0..2);
        model.monitor.request_check(at(model.now_ms));
        assert_eq!(model.monitor.next_check_in(TARGETS, at(model.now_ms)), None);
    }
}

/// Guards against an idle entry that does not notice the loss of its path before it gets requests.
#[test]
fn an_idle_process_checks_its_path_on_request() {
    let mut model = Model::new();
    model.set_all(CheckOutcome::Failed);
    model.monitor.request_check(at(model.now_ms));
    assert_eq!(model.check(), Some(PathChange::Lost));
}

/// Guards against an entry that stays aside, or comes and goes, when its path is restored.
#[test]
fn a_restored_path_is_used_again_once() {
    let mut model = Model::new();
    model.set_all(CheckOutcome::Failed);
    model.stay_silent(0..3);
    assert_eq!(model.check(), Some(PathChange::Lost));
    assert_eq!(model.run_for(6_000, false), []);
    model.outcomes[0] = CheckOutcome::Answered;
    assert_eq!(model.run_for(3_000, false), [], "one of twelve targets");
    model.set_all(CheckOutcome::Answered);
    let restored_ms = model.now_ms;
    let changes = model.run_for(3_000, false);
    let [(at_ms, PathChange::Restored { lasted })] = changes.as_slice() else {
        panic!("{changes:?}")
    };
    assert!(at_ms - restored_ms < 1_500 && *lasted > Duration::from_secs(6), "{changes:?}");
}

/// Guards against an entry that holds no path as lost although it knows no target at all.
#[test]
fn without_targets_no_path_is_lost() {
    let mut model = Model::new();
    model.targets.clear();
    model.stay_silent(0..3);
    assert_eq!(model.check(), None);
    assert_eq!(model.monitor.next_check_in(0, at(model.now_ms)), None);
    assert_eq!(model.monitor.finish_check(&[], at(model.now_ms)), None);
    assert!(!model.monitor.is_isolated());
}

/// Guards against a lost path although checks are answered, whatever was seen before.
#[test]
fn a_path_with_answered_checks_is_never_lost() {
    fn holds(events: Vec<(u8, u8)>) -> bool {
        let mut model = Model::new();
        for (kind, number) in events {
            let number = usize::from(number) % TARGETS;
            model.now_ms += 40;
            match kind % 4 {
                0 => model.stay_silent(number..number + 1),
                1 => model.fail_to_open(number..number + 1),
                2 => model.monitor.record_answer(
                    &target(number),
                    ConnectionAge::Kept,
                    at(model.now_ms),
                ),
                _ => drop(model.check()),
            }
        }
        !model.monitor.is_isolated()
    }
    let generator = Gen::from_size_and_seed(120, 43);
    QuickCheck::new().tests(300).rng(generator).quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against a target that counts as crashed although no other one is reached either.
#[test]
fn an_answer_of_another_target_excludes_a_lost_path() {
    let mut monitor = PathMonitor::new(PathConfig::default());
    monitor.record_answer(&target(1), ConnectionAge::Kept, at(100));
    monitor.record_answer(&target(0), ConnectionAge::Kept, at(300));
    assert!(!monitor.has_other_answered(&target(0), at(200)), "only the target itself");
    monitor.record_answer(&target(1), ConnectionAge::Kept, at(250));
    assert!(monitor.has_other_answered(&target(0), at(200)));
    assert!(!monitor.has_other_answered(&target(0), at(250)));
    monitor.record_failure(&target(1), ConnectionAge::New, at(400));
    assert!(!monitor.has_other_answered(&target(0), at(200)));
}

/// Guards against a process that cannot tell its operators how many targets it reaches.
#[test]
fn targets_are_counted_by_their_last_evidence() {
    let mut monitor = PathMonitor::new(PathConfig::default());
    for number in 0..4 {
        monitor.record_answer(&target(number), ConnectionAge::New, at(100));
    }
    monitor.record_failure(&target(0), ConnectionAge::New, at(200));
    monitor.record_failure(&target(1), ConnectionAge::Kept, at(200));
    monitor.record_answer(&target(1), ConnectionAge::Kept, at(300));
    let summary = monitor.summary(6, at(400));
    assert_eq!((summary.reachable, summary.unreachable, summary.unknown), (3, 1, 2));
    assert_eq!(summary.last_answer_age, Some(Duration::from_millis(100)));
}

/// Guards against old answers that count as proof, and against targets that are kept after they
/// have left.
#[test]
fn evidence_of_old_answers_and_removed_targets_is_dropped() {
    let mut monitor = PathMonitor::new(PathConfig::default());
    monitor.record_answer(&target(0), ConnectionAge::New, at(100));
    monitor.record_failure(&target(1), ConnectionAge::New, at(100));
    let summary = monitor.summary(2, at(60_000));
    assert_eq!((summary.reachable, summary.unreachable, summary.unknown), (0, 1, 1));
    monitor.set_targets([target(0)].iter());
    let summary = monitor.summary(1, at(60_000));
    assert_eq!((summary.reachable, summary.unreachable, summary.unknown), (0, 0, 1));
}
