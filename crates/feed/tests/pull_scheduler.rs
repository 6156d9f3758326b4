//! When to read from another entry.

use std::time::Duration;

use shallotfork_feed::PullScheduler;
use shallotfork_types::{Mono, Revision};

fn at(ms: u64) -> Mono {
    Mono::from_millis(ms)
}

/// Three entries say within 20 ms that they know a change. It is read once.
#[test]
fn one_reading_at_a_time() {
    let mut catch_up = PullScheduler::new();
    assert!(catch_up.try_begin(at(0)));
    assert!(!catch_up.try_begin(at(10)));
    assert!(!catch_up.try_begin(at(20)));
    catch_up.end();
    assert!(catch_up.try_begin(at(30)));
}

/// Routes change; the entry from which another one reads them loses power in the middle. The others
/// go on telling it that they know more, but it waited for the lost one for 5 s, and answered 404 on
/// a new route for 3 s.
#[test]
fn a_reading_that_hangs_does_not_keep_others_from_beginning() {
    let mut catch_up = PullScheduler::new();
    assert!(catch_up.try_begin(at(0)));
    assert!(!catch_up.try_begin(at(150)));
    assert!(catch_up.try_begin(at(300)), "from another entry");
    assert!(!catch_up.try_begin(at(310)));
}

const SPREAD: Duration = Duration::from_millis(450);

/// Each of 126 entries read each change from three others in three failure domains. It spreads within
/// each of them as well from the one entry there that has it first.
#[test]
fn far_entries_are_read_from_only_if_nobody_near_knows() {
    let mut catch_up = PullScheduler::new();
    let revision = Revision::new;
    assert!(!catch_up.should_pull_from_other_domain(revision(7), revision(6), SPREAD, at(0)));
    assert!(
        !catch_up.should_pull_from_other_domain(revision(7), revision(7), SPREAD, at(900)),
        "heard nearby"
    );
    assert!(!catch_up.should_pull_from_other_domain(revision(8), revision(7), SPREAD, at(1800)));
    assert!(!catch_up.should_pull_from_other_domain(revision(9), revision(7), SPREAD, at(2000)));
    assert!(
        catch_up.should_pull_from_other_domain(revision(9), revision(7), SPREAD, at(2250)),
        "nobody near knows"
    );
}

/// A change is known to one far entry; another one has not heard of it either. Each word of the one
/// that is behind began the wait anew, so that the change was never read.
#[test]
fn a_far_entry_that_is_behind_does_not_hide_what_another_one_knows() {
    let mut catch_up = PullScheduler::new();
    let revision = Revision::new;
    assert!(!catch_up.should_pull_from_other_domain(revision(9), revision(7), SPREAD, at(0)));
    assert!(!catch_up.should_pull_from_other_domain(revision(7), revision(7), SPREAD, at(150)));
    assert!(!catch_up.should_pull_from_other_domain(revision(9), revision(7), SPREAD, at(300)));
    assert!(catch_up.is_behind_other_domain(revision(7)));
    assert!(!catch_up.should_pull_from_other_domain(revision(7), revision(7), SPREAD, at(450)));
    assert!(catch_up.should_pull_from_other_domain(revision(9), revision(7), SPREAD, at(600)));
}

/// Guards against reading the same large table twice at a time: a second reading takes half of the
/// link from the first.
#[test]
fn a_reading_that_goes_on_keeps_others_from_beginning() {
    let mut catch_up = PullScheduler::new();
    assert!(catch_up.try_begin(at(0)));
    catch_up.record_progress(at(250));
    assert!(!catch_up.try_begin(at(400)));
    catch_up.record_progress(at(500));
    assert!(!catch_up.try_begin(at(790)));
    assert!(catch_up.try_begin(at(800)), "nothing has come for too long");
}
