//! Scheduling of pulls from other entries.

use std::time::Duration;

use shallotfork_feed::PullScheduler;
use shallotfork_types::{Epoch, Mono, Position, Revision};

fn at(ms: u64) -> Mono {
    Mono::from_millis(ms)
}

/// Three entries advertise a change within 20 ms. It must be pulled only once.
#[test]
fn only_one_pull_runs_at_a_time() {
    let mut pulls = PullScheduler::new();
    assert!(pulls.try_begin(at(0)));
    assert!(!pulls.try_begin(at(10)));
    assert!(!pulls.try_begin(at(20)));
    pulls.end();
    assert!(pulls.try_begin(at(30)));
}

/// An entry loses power while another one pulls changed routes from it. The pulling entry waited 5 s
/// for it although others advertised the change, and answered 404 on a new route for 3 s.
#[test]
fn stalled_pull_does_not_block_the_next_one() {
    let mut pulls = PullScheduler::new();
    assert!(pulls.try_begin(at(0)));
    assert!(!pulls.try_begin(at(150)));
    assert!(pulls.try_begin(at(300)), "pull from another entry");
    assert!(!pulls.try_begin(at(310)));
}

const PROPAGATION: Duration = Duration::from_millis(450);

/// Each of 126 entries pulled every change from three others in three failure domains, although one
/// entry per domain that has the change suffices to propagate it there.
#[test]
fn other_domains_are_used_only_if_the_own_one_lacks_the_change() {
    let mut pulls = PullScheduler::new();
    let revision = |revision| Position::new(Epoch::NONE, Revision::new(revision));
    assert!(!pulls.should_pull_from_other_domain(revision(7), revision(6), PROPAGATION, at(0)));
    assert!(
        !pulls.should_pull_from_other_domain(revision(7), revision(7), PROPAGATION, at(900)),
        "received within the own domain"
    );
    assert!(!pulls.should_pull_from_other_domain(revision(8), revision(7), PROPAGATION, at(1800)));
    assert!(!pulls.should_pull_from_other_domain(revision(9), revision(7), PROPAGATION, at(2000)));
    assert!(
        pulls.should_pull_from_other_domain(revision(9), revision(7), PROPAGATION, at(2250)),
        "not received within the own domain"
    );
}

/// One entry in another failure domain has a change and a second one there lacks it. Each message of the
/// second one restarted the wait, so that the change was never pulled.
#[test]
fn outdated_entry_elsewhere_does_not_restart_the_wait() {
    let mut pulls = PullScheduler::new();
    let revision = |revision| Position::new(Epoch::NONE, Revision::new(revision));
    assert!(!pulls.should_pull_from_other_domain(revision(9), revision(7), PROPAGATION, at(0)));
    assert!(!pulls.should_pull_from_other_domain(revision(7), revision(7), PROPAGATION, at(150)));
    assert!(!pulls.should_pull_from_other_domain(revision(9), revision(7), PROPAGATION, at(300)));
    assert!(pulls.is_behind_other_domain(revision(7)));
    assert!(!pulls.should_pull_from_other_domain(revision(7), revision(7), PROPAGATION, at(450)));
    assert!(pulls.should_pull_from_other_domain(revision(9), revision(7), PROPAGATION, at(600)));
}

/// Guards against pulling the same large table twice at a time: a second pull takes half of the link
/// from the first one.
#[test]
fn progressing_pull_blocks_other_pulls() {
    let mut pulls = PullScheduler::new();
    assert!(pulls.try_begin(at(0)));
    pulls.record_progress(at(250));
    assert!(!pulls.try_begin(at(400)));
    pulls.record_progress(at(500));
    assert!(!pulls.try_begin(at(790)));
    assert!(pulls.try_begin(at(800)), "no data received within the idle timeout");
}

/// Guards against a start of all entries that transfers every item between failure domains once per
/// entry, although the leading entries of each domain read them.
#[test]
fn first_pull_crosses_domains_only_after_a_wait() {
    let may_cross = PullScheduler::may_pull_first_from_other_domain;
    assert!(!may_cross(Duration::ZERO));
    assert!(!may_cross(Duration::from_millis(1_500)), "the leading entries may still be reading");
    assert!(may_cross(Duration::from_secs(3)), "no entry of the own domain has sent them");
}
