//! Targets that say themselves that they are leaving.

use std::time::Duration;

use shallotfork_balance::{
    Admission, Assignment, AttemptOutcome, Pool, PoolConfig, PoolRequest, PoolTarget, TargetConfig,
};
use shallotfork_measure::LoadReport;
use shallotfork_types::{FailureDomain, Mono, TargetId};

const SEED: u64 = 0x1eaf;
const STEP: Duration = Duration::from_millis(5);

/// A pool of idle targets, and who of them says that it is leaving.
struct Drive {
    pool: Pool,
    now: Mono,
    leaving: Vec<TargetId>,
}

impl Drive {
    fn new(targets: usize) -> Self {
        let now = Mono::from_millis(1);
        let mut pool = Pool::new(PoolConfig::default(), SEED);
        let domain = FailureDomain::new("boulder").expect("a valid name");
        let target = |number| PoolTarget::new(id(number), domain.clone(), 2);
        let targets: Vec<PoolTarget> = (0..targets).map(target).collect();
        pool.set_targets(&targets, now);
        Self { pool, now, leaving: Vec::new() }
    }

    fn with_leaving(mut self, number: usize) -> Self {
        self.leaving.push(id(number));
        self
    }

    /// Sends one request after the other; gives the targets that got them.
    fn play(&mut self, requests: usize) -> Vec<TargetId> {
        (0..requests).map(|_| self.request()).collect()
    }

    fn request(&mut self) -> TargetId {
        let ask = PoolRequest::new(self.now.plus(Duration::from_secs(1)));
        let Admission::Send(Assignment { attempt, target }) = self.pool.admit(ask, self.now) else {
            panic!("an idle pool must send at once");
        };
        self.now = self.now.plus(STEP);
        let draining = self.leaving.contains(&target);
        let report = LoadReport { in_flight: Some(1), draining, ..LoadReport::default() };
        let outcome = AttemptOutcome::Answered { latency: STEP };
        self.pool.finish(attempt, outcome, Some(report), self.now);
        target
    }
}

fn id(number: usize) -> TargetId {
    TargetId::new(&format!("target-{number}")).expect("a valid name")
}

fn count(sent: &[TargetId], number: usize) -> usize {
    sent.iter().filter(|target| **target == id(number)).count()
}

/// A target gets its stop signal, and the published list will say so only in half a minute. It
/// says so itself with its next answer. Work sent after that would be cut off when it ends.
#[test]
fn a_target_that_says_it_leaves_gets_nothing_more() {
    let mut drive = Drive::new(2).with_leaving(0);
    let sent = drive.play(200);
    assert_eq!(1, count(&sent, 0));
    assert_eq!(199, count(&sent, 1));
}

/// The target changed its mind, or another server took its address. Nobody would ever learn that
/// if its old word counted for ever.
#[test]
fn a_target_that_said_it_leaves_is_tried_again_later() {
    let mut drive = Drive::new(2).with_leaving(0);
    drive.play(50);
    drive.leaving.clear();
    drive.now = drive.now.plus(TargetConfig::default().drain_report_ttl);
    let sent = drive.play(500);
    assert!(count(&sent, 0) > 50, "requests to the returned target: {}", count(&sent, 0));
}

/// A broken release makes every target say that it is leaving. Refusing all requests would turn
/// a wrong word into an outage.
#[test]
fn when_all_say_that_they_leave_all_serve() {
    let mut drive = Drive::new(2).with_leaving(0).with_leaving(1);
    let sent = drive.play(200);
    assert!(count(&sent, 0) > 0 && count(&sent, 1) > 0);
}
