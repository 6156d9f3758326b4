//! Whether the platform counts as away.

use std::time::Duration;

use shallotfork_fleet::{PlatformAges, PlatformAvailability};
use shallotfork_types::Mono;

fn at(ms: u64) -> Mono {
    Mono::from_millis(ms)
}

#[test]
fn a_failed_call_means_away_until_one_is_answered() {
    let mut sight = PlatformAvailability::new();
    assert_eq!(sight.outage_started_at(at(0)), None);
    assert!(sight.record_failure(at(10)));
    assert!(!sight.record_failure(at(20)));
    assert_eq!(sight.outage_started_at(at(30)), Some(at(10)));
    assert_eq!(sight.record_answer(), Some(at(10)));
    assert_eq!(sight.outage_started_at(at(40)), None);
}

/// The platform turns one VM away and serves the others. That VM's entry hears of every change
/// from the others; were it to take the platform to be away, it would send orders to servers that
/// have left for two more seconds.
#[test]
fn an_entry_that_is_turned_away_goes_by_those_who_are_not() {
    let mut sight = PlatformAvailability::new();
    sight.record_failure(at(0));
    sight.told(true, at(100));
    assert!(sight.is_disconnected());
    assert_eq!(sight.outage_started_at(at(1000)), None);
    assert_eq!(sight.outage_started_at(at(3000)), Some(at(0)));
}

#[test]
fn an_entry_that_does_not_read_goes_by_those_who_do() {
    let mut sight = PlatformAvailability::new();
    sight.told(false, at(5));
    sight.told(false, at(50));
    assert_eq!(sight.outage_started_at(at(60)), Some(at(5)));
    assert!(!sight.is_disconnected());
    sight.told(true, at(70));
    assert_eq!(sight.outage_started_at(at(80)), None);
}

/// All but a few entries of a large fleet lose power 0.3 s after a change of routes, the readers
/// among them. The ones left were told nothing; they count the readers as live for 2.7 s, and would
/// answer 404 on a new route for as long.
#[test]
fn an_entry_that_hears_no_reader_reads_for_itself() {
    let mut sight = PlatformAvailability::new();
    sight.told(true, at(10_000));
    assert!(!sight.misses_readers(Duration::ZERO, at(10_900)), "far readers are heard every 0.9 s");
    assert!(sight.misses_readers(Duration::ZERO, at(11_500)));
    sight.told(false, at(11_600));
    let later = at(12_500);
    assert!(!sight.misses_readers(Duration::ZERO, later), "one that is away is not called by all");
}

/// All three readers are lost, and with them the first entries of two failure domains. In a fleet of
/// hundreds each entry would call the platform 1.5 s later, thousands of calls in one second. Those
/// that hear the readers' word later, through others, wait longer; by then the first ones read.
#[test]
fn entries_that_hear_of_the_readers_through_others_wait_for_these_to_read() {
    let mut first = PlatformAvailability::new();
    let mut behind = PlatformAvailability::new();
    first.told(true, at(10_000));
    behind.relayed(first.ages(false, at(10_300)), at(10_310));
    assert!(first.misses_readers(Duration::ZERO, at(11_600)));
    assert!(!behind.misses_readers(Duration::from_millis(750), at(11_700)));
    let reading = first.ages(true, at(11_700));
    assert_eq!(reading.reader_last_seen, Some(Duration::ZERO));
    behind.relayed(reading, at(11_700));
    assert!(!behind.misses_readers(Duration::from_millis(750), at(13_800)));
}

/// Two entries hear no reader any more and tell each other at every period how long ago that was.
/// Were the way not counted, each would take the word of the other for a fresher one.
#[test]
fn a_word_that_is_handed_back_and_forth_gets_older() {
    let mut one = PlatformAvailability::new();
    let mut other = PlatformAvailability::new();
    one.told(true, at(1_000));
    for now_ms in (1_000..4_000).step_by(20) {
        other.relayed(one.ages(false, at(now_ms)), at(now_ms + 10));
        one.relayed(other.ages(false, at(now_ms + 10)), at(now_ms + 20));
    }
    assert!(one.misses_readers(Duration::ZERO, at(4_000)));
    assert!(other.misses_readers(Duration::ZERO, at(4_000)));
}

/// The platform is down. Entries that hear of it through the first one of their failure domain have
/// to excuse missing entries of targets as these do, and for no longer.
#[test]
fn the_end_of_an_outage_is_passed_on_like_its_beginning() {
    let mut behind = PlatformAvailability::new();
    let away = PlatformAges { outage: Some(Duration::from_millis(400)), ..PlatformAges::default() };
    behind.relayed(away, at(5_000));
    assert_eq!(behind.outage_started_at(at(5_100)), Some(at(4_550)));
    let back = PlatformAges { last_answer: Some(Duration::ZERO), ..PlatformAges::default() };
    behind.relayed(back, at(6_000));
    assert_eq!(behind.outage_started_at(at(6_000)), None);
}
