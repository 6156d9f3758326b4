//! Availability of the platform as seen by one entry.

use std::time::Duration;

use shallotfork_fleet::{PlatformAges, PlatformAvailability};
use shallotfork_types::Mono;

fn at(ms: u64) -> Mono {
    Mono::from_millis(ms)
}

#[test]
fn an_outage_lasts_from_the_first_failed_call_to_the_next_answer() {
    let mut platform = PlatformAvailability::new();
    assert_eq!(platform.outage_started_at(at(0)), None);
    assert!(platform.record_failure(at(10)));
    assert!(!platform.record_failure(at(20)));
    assert_eq!(platform.outage_started_at(at(30)), Some(at(10)));
    assert_eq!(platform.record_answer(), Some(at(10)));
    assert_eq!(platform.outage_started_at(at(40)), None);
}

/// Guards against an entry that takes the platform to be down because it is rejected alone. It
/// receives every change from the others; otherwise it would send requests to targets that have
/// left for two more seconds.
#[test]
fn a_disconnected_entry_relies_on_connected_ones() {
    let mut platform = PlatformAvailability::new();
    platform.record_failure(at(0));
    platform.record_reader_report(true, at(100));
    assert!(platform.is_disconnected());
    assert_eq!(platform.outage_started_at(at(1000)), None);
    assert_eq!(platform.outage_started_at(at(3000)), Some(at(0)));
}

#[test]
fn an_entry_that_does_not_read_relies_on_reports_of_readers() {
    let mut platform = PlatformAvailability::new();
    platform.record_reader_report(false, at(5));
    platform.record_reader_report(false, at(50));
    assert_eq!(platform.outage_started_at(at(60)), Some(at(5)));
    assert!(!platform.is_disconnected());
    platform.record_reader_report(true, at(70));
    assert_eq!(platform.outage_started_at(at(80)), None);
}

/// Guards against outdated routes after the loss of most entries, including all readers, 0.3 s
/// after a change of routes. The remaining entries have not received the change, count the readers
/// as live for 2.7 s, and would respond with 404 on a new route for as long.
#[test]
fn an_entry_reads_for_itself_when_no_reader_is_seen() {
    let mut platform = PlatformAvailability::new();
    platform.record_reader_report(true, at(10_000));
    assert!(
        !platform.is_missing_readers(Duration::ZERO, at(10_900)),
        "remote readers are seen every 0.9 s"
    );
    assert!(platform.is_missing_readers(Duration::ZERO, at(11_500)));
    platform.record_reader_report(false, at(11_600));
    let later = at(12_500);
    assert!(
        !platform.is_missing_readers(Duration::ZERO, later),
        "an unavailable platform is not called by all entries"
    );
}

/// Guards against calls of every entry to the platform 1.5 s after the loss of all three readers
/// and the first entries of two failure domains, which in a fleet of hundreds are thousands of
/// calls in a second. Entries that receive the readers' reports later, through others, wait longer,
/// until the first ones read.
#[test]
fn entries_with_forwarded_reports_wait_for_the_first_ones_to_read() {
    let mut first = PlatformAvailability::new();
    let mut other = PlatformAvailability::new();
    first.record_reader_report(true, at(10_000));
    other.merge_ages(first.ages(false, at(10_300)), at(10_310));
    assert!(first.is_missing_readers(Duration::ZERO, at(11_600)));
    assert!(!other.is_missing_readers(Duration::from_millis(750), at(11_700)));
    let reading = first.ages(true, at(11_700));
    assert_eq!(reading.reader_last_seen, Some(Duration::ZERO));
    other.merge_ages(reading, at(11_700));
    assert!(!other.is_missing_readers(Duration::from_millis(750), at(13_800)));
}

/// Guards against two entries that no longer see a reader and keep each other's reports fresh.
/// Without the forwarding delay each would take the report of the other for a newer one.
#[test]
fn forwarded_reports_age() {
    let mut one = PlatformAvailability::new();
    let mut other = PlatformAvailability::new();
    one.record_reader_report(true, at(1_000));
    for now_ms in (1_000..4_000).step_by(20) {
        other.merge_ages(one.ages(false, at(now_ms)), at(now_ms + 10));
        one.merge_ages(other.ages(false, at(now_ms + 10)), at(now_ms + 20));
    }
    assert!(one.is_missing_readers(Duration::ZERO, at(4_000)));
    assert!(other.is_missing_readers(Duration::ZERO, at(4_000)));
}

/// Guards against entries that learn of an outage through the first entry of their failure domain
/// and excuse missing entries of targets for another time than that entry does.
#[test]
fn start_and_end_of_an_outage_are_forwarded() {
    let mut platform = PlatformAvailability::new();
    let outage =
        PlatformAges { outage: Some(Duration::from_millis(400)), ..PlatformAges::default() };
    platform.merge_ages(outage, at(5_000));
    assert_eq!(platform.outage_started_at(at(5_100)), Some(at(4_550)));
    let answer = PlatformAges { last_answer: Some(Duration::ZERO), ..PlatformAges::default() };
    platform.merge_ages(answer, at(6_000));
    assert_eq!(platform.outage_started_at(at(6_000)), None);
}
