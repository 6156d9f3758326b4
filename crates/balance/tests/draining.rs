//! Targets that report that they are draining.

use std::time::Duration;

use shallotfork_balance::{
    Admission, Assignment, AttemptOutcome, Pool, PoolConfig, PoolRequest, PoolTarget, TargetConfig,
};
use shallotfork_measure::LoadReport;
use shallotfork_types::{FailureDomain, Mono, TargetId};

const SEED: u64 = 0x1eaf;
const STEP: Duration = Duration::from_millis(5);

/// A pool of idle targets, some of which report that they are draining.
struct Harness {
    pool: Pool,
    now: Mono,
    draining: Vec<TargetId>,
}

impl Harness {
    fn new(targets: usize) -> Self {
        let now = Mono::from_millis(1);
        let mut pool = Pool::new(PoolConfig::default(), SEED);
        let domain = FailureDomain::new("boulder").expect("a valid name");
        let target = |number| PoolTarget::new(id(number), domain.clone(), 2);
        let targets: Vec<PoolTarget> = (0..targets).map(target).collect();
        pool.set_targets(&targets, now);
        Self { pool, now, draining: Vec::new() }
    }

    fn with_draining(mut self, number: usize) -> Self {
        self.draining.push(id(number));
        self
    }

    /// Sends requests one after the other and returns the targets that received them.
    fn send_requests(&mut self, requests: usize) -> Vec<TargetId> {
        (0..requests).map(|_| self.send_request()).collect()
    }

    fn send_request(&mut self) -> TargetId {
        let request = PoolRequest::new(self.now.plus(Duration::from_secs(1)));
        let Admission::Send(Assignment { attempt, target }) = self.pool.admit(request, self.now)
        else {
            panic!("an idle pool must send at once");
        };
        self.now = self.now.plus(STEP);
        let draining = self.draining.contains(&target);
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

/// A target that receives its stop signal reports it with its next answer, half a minute before the
/// published list does. Guards against requests sent after that report, which would be cut off when
/// the target stops.
#[test]
fn draining_target_gets_no_more_requests() {
    let mut harness = Harness::new(2).with_draining(0);
    let sent = harness.send_requests(200);
    assert_eq!(1, count(&sent, 0));
    assert_eq!(199, count(&sent, 1));
}

/// Guards against a drain report that never expires, although the target may have cancelled its
/// stop or another server may have taken over its address.
#[test]
fn drain_report_expires() {
    let mut harness = Harness::new(2).with_draining(0);
    harness.send_requests(50);
    harness.draining.clear();
    harness.now = harness.now.plus(TargetConfig::default().drain_report_ttl);
    let sent = harness.send_requests(500);
    assert!(count(&sent, 0) > 50, "requests to the returned target: {}", count(&sent, 0));
}

/// Guards against an outage if a broken release makes every target report that it is draining.
#[test]
fn all_targets_serve_if_all_report_draining() {
    let mut harness = Harness::new(2).with_draining(0).with_draining(1);
    let sent = harness.send_requests(200);
    assert!(count(&sent, 0) > 0 && count(&sent, 1) > 0);
}
