//! Tests of suspicion, quarantine and release of requests.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use shallotfork_quarantine::{
    Admission, CrashReport, Quarantine, QuarantineConfig, QuarantineDigest, RequestFingerprint,
    SendKind,
};
use shallotfork_types::Mono;

const TESTS: u64 = 300;
const PROCESSES: usize = 3;
const REQUEST: RequestFingerprint = RequestFingerprint::new(7);

fn quarantine() -> Quarantine {
    Quarantine::new(QuarantineConfig::default())
}

fn at(ms: u64) -> Mono {
    Mono::from_millis(100_000 + ms)
}

fn is_quarantined(quarantine: &Quarantine, request: RequestFingerprint, now: Mono) -> bool {
    matches!(quarantine.admit(request, SendKind::First, now), Admission::Quarantined { .. })
}

/// Records `times` successive crashes of a request. Returns the time of the last one.
fn crash(quarantine: &mut Quarantine, request: RequestFingerprint, times: u64, from: Mono) -> Mono {
    let step = Duration::from_millis(100);
    let mut now = from;
    for _ in 0..times {
        let sent_at = now;
        now = now.plus(step);
        quarantine.record_crash(request, sent_at, now);
    }
    now
}

/// A run that was sent by one process and ended with a crash of its target.
#[derive(Debug, Clone, Copy)]
struct CrashedRun {
    process: usize,
    sent_ms: u64,
    took_ms: u64,
}

impl CrashedRun {
    fn ended_ms(&self) -> u64 {
        self.sent_ms + self.took_ms
    }
}

impl Arbitrary for CrashedRun {
    fn arbitrary(generator: &mut Gen) -> Self {
        let process = usize::arbitrary(generator) % PROCESSES;
        let sent_ms = u64::arbitrary(generator) % 1_000;
        let took_ms = u64::arbitrary(generator) % 400 + 1;
        Self { process, sent_ms, took_ms }
    }
}

/// Returns the largest number of runs of which each was sent after the previous one had ended.
fn successive_runs(runs: &[CrashedRun]) -> usize {
    let mut free_from_ms = 0;
    let mut by_end = runs.to_vec();
    by_end.sort_by_key(CrashedRun::ended_ms);
    by_end
        .iter()
        .filter(|run| {
            let follows = run.sent_ms >= free_from_ms;
            if follows {
                free_from_ms = run.ended_ms();
            }
            follows
        })
        .count()
}

/// Guards against quarantining a request because it ran on targets that crashed together.
#[test]
fn only_successive_crashes_quarantine_a_request() {
    fn property(mut runs: Vec<CrashedRun>) -> bool {
        let mut processes: Vec<Quarantine> = (0..PROCESSES).map(|_| quarantine()).collect();
        runs.sort_by_key(CrashedRun::ended_ms);
        let successive = successive_runs(&runs);
        for run in &runs {
            let now = at(run.ended_ms());
            processes[run.process].record_crash(REQUEST, at(run.sent_ms), now);
            let reports = processes[run.process].reports(None, now);
            for process in &mut processes {
                for report in &reports {
                    process.merge(report, now);
                }
            }
        }
        let now = at(2_000);
        let crashes_max = usize::from(QuarantineConfig::default().crashes_max);
        let quarantined = |process: &Quarantine| is_quarantined(process, REQUEST, now);
        processes.iter().all(|process| quarantined(process) == (successive >= crashes_max))
    }
    QuickCheck::new().tests(TESTS).quickcheck(property as fn(Vec<CrashedRun>) -> bool);
}

/// Guards against rejecting a frequent request because of unrelated crashes.
#[test]
fn an_answer_clears_a_request_at_every_process() {
    let (mut one, mut other) = (quarantine(), quarantine());
    let crashed_at = crash(&mut one, REQUEST, 2, at(0));
    for report in one.reports(None, crashed_at) {
        other.merge(&report, crashed_at);
    }
    let delayed_reports = one.reports(None, crashed_at);
    let answered_at = crashed_at.plus(Duration::from_millis(50));
    other.record_answer(REQUEST, answered_at);
    for report in delayed_reports {
        other.merge(&report, answered_at);
    }
    for report in other.reports(None, answered_at) {
        one.merge(&report, answered_at);
    }
    let crashed_at = crash(&mut one, REQUEST, 2, answered_at.plus(Duration::from_millis(1)));
    assert!(!is_quarantined(&one, REQUEST, crashed_at));
    let crashed_at = crash(&mut one, REQUEST, 1, crashed_at);
    assert!(is_quarantined(&one, REQUEST, crashed_at));
}

/// Guards against concurrent runs of a suspected request that crash several targets at once.
#[test]
fn a_suspected_request_runs_once_at_a_time() {
    let mut quarantine = quarantine();
    let now = crash(&mut quarantine, REQUEST, 1, at(0));
    assert_eq!(quarantine.admit(REQUEST, SendKind::Retry, now), Admission::Suspected);
    quarantine.begin_run(REQUEST);
    let second = quarantine.admit(REQUEST, SendKind::First, now);
    assert!(matches!(second, Admission::Deferred { .. }), "{second:?}");
    quarantine.end_run(REQUEST);
    assert_eq!(quarantine.admit(REQUEST, SendKind::First, now), Admission::Suspected);
    let now = crash(&mut quarantine, REQUEST, 1, now);
    let retry = quarantine.admit(REQUEST, SendKind::Retry, now);
    assert!(matches!(retry, Admission::Deferred { .. }), "{retry:?}");
}

/// Guards against rejecting a request after the defect that it triggered has been fixed.
#[test]
fn a_quarantine_ends() {
    let mut quarantine = quarantine();
    let crashed_at = crash(&mut quarantine, REQUEST, 3, at(0));
    let duration = QuarantineConfig::default().quarantine_for;
    let admission = quarantine.admit(REQUEST, SendKind::First, crashed_at);
    assert_eq!(admission, Admission::Quarantined { remaining: duration });
    let ended_at = crashed_at.plus(duration);
    assert_eq!(quarantine.admit(REQUEST, SendKind::First, ended_at), Admission::Clear);
    quarantine.expire(ended_at);
    assert!(quarantine.is_empty());
}

/// Guards against unbounded memory and messages when many distinct requests crash targets.
#[test]
fn records_and_reports_are_bounded_and_keep_requests_with_most_crashes() {
    let config = QuarantineConfig::default();
    let mut quarantine = quarantine();
    let mut now = crash(&mut quarantine, REQUEST, 3, at(0));
    for number in 0..2 * config.records_max as u64 {
        now = now.plus(Duration::from_millis(1));
        quarantine.record_crash(RequestFingerprint::new(1_000 + number), now, now);
    }
    assert!(is_quarantined(&quarantine, REQUEST, now));
    assert_eq!(quarantine.reports(None, now).len(), config.reports_max);
    let reports = quarantine.reports(Some(QuarantineDigest::default()), now);
    assert!(reports.iter().any(|report| report.fingerprint == REQUEST));
    let report = |number: u64| CrashReport {
        fingerprint: RequestFingerprint::new(number),
        crashes: 3,
        crashed_ago: Duration::ZERO,
        answered_ago: None,
    };
    for number in 0..2 * config.records_max as u64 {
        quarantine.merge(&report(number), now);
    }
    assert!(quarantine.quarantined(now) <= config.records_max);
    let reported = quarantine.reports(Some(QuarantineDigest::default()), now).len();
    assert!(reported <= config.reports_max + config.quarantined_reports_max, "{reported}");
}

/// Guards against a restarted or partitioned process that never learns of existing quarantines.
#[test]
fn a_process_without_records_receives_all_quarantined_requests() {
    let (mut old, mut new) = (quarantine(), quarantine());
    let crashed_at = crash(&mut old, REQUEST, 3, at(0));
    let now = crashed_at.plus(Duration::from_secs(60));
    assert!(old.reports(None, now).is_empty());
    for report in old.reports(Some(new.digest(now)), now) {
        new.merge(&report, now);
    }
    assert!(is_quarantined(&new, REQUEST, now));
    assert!(old.reports(Some(new.digest(now)), now).is_empty());
    let ended_at = crashed_at.plus(QuarantineConfig::default().quarantine_for);
    assert!(!is_quarantined(&new, REQUEST, ended_at));
}

/// Guards against a process that always receives the same subset of many quarantined requests.
#[test]
fn a_process_without_records_receives_many_quarantined_requests_in_parts() {
    const MESSAGES: u64 = 60;
    let (mut old, mut new) = (quarantine(), quarantine());
    let requests = 3 * QuarantineConfig::default().quarantined_reports_max as u64;
    for number in 0..requests {
        crash(&mut old, RequestFingerprint::new(number), 3, at(0));
    }
    for message in 0..MESSAGES {
        let now = at(60_000 + message * 157);
        for report in old.reports(Some(new.digest(now)), now) {
            new.merge(&report, now);
        }
    }
    let now = at(60_000 + MESSAGES * 157);
    assert_eq!(new.digest(now), old.digest(now));
    assert_eq!(new.quarantined(now) as u64, requests);
}
