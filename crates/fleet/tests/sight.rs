//! Whether the platform counts as away.

use shallotfork_fleet::PlatformSight;
use shallotfork_types::Mono;

fn at(ms: u64) -> Mono {
    Mono::from_millis(ms)
}

#[test]
fn a_failed_call_means_away_until_one_is_answered() {
    let mut sight = PlatformSight::new();
    assert_eq!(sight.away_since(at(0)), None);
    assert!(sight.failed(at(10)));
    assert!(!sight.failed(at(20)));
    assert_eq!(sight.away_since(at(30)), Some(at(10)));
    assert_eq!(sight.answered(), Some(at(10)));
    assert_eq!(sight.away_since(at(40)), None);
}

/// The platform turns one VM away and serves the others. That VM's entry hears of every change
/// from the others; were it to take the platform to be away, it would send orders to servers that
/// have left for two more seconds.
#[test]
fn an_entry_that_is_turned_away_goes_by_those_who_are_not() {
    let mut sight = PlatformSight::new();
    sight.failed(at(0));
    sight.told(true, at(100));
    assert!(sight.is_blind());
    assert_eq!(sight.away_since(at(1000)), None);
    assert_eq!(sight.away_since(at(3000)), Some(at(0)));
}

#[test]
fn an_entry_that_does_not_read_goes_by_those_who_do() {
    let mut sight = PlatformSight::new();
    sight.told(false, at(5));
    sight.told(false, at(50));
    assert_eq!(sight.away_since(at(60)), Some(at(5)));
    assert!(!sight.is_blind());
    sight.told(true, at(70));
    assert_eq!(sight.away_since(at(80)), None);
}

/// All but a few entries of a large fleet lose power 0.3 s after a change of routes, the readers
/// among them. The ones left were told nothing; they count the readers as live for 2.7 s, and would
/// answer 404 on a new route for as long.
#[test]
fn an_entry_that_hears_no_reader_reads_for_itself() {
    let mut sight = PlatformSight::new();
    sight.told(true, at(10_000));
    assert!(!sight.misses_readers(at(10_900)), "far readers are heard every 0.9 s");
    assert!(sight.misses_readers(at(11_500)));
    sight.told(false, at(11_600));
    assert!(!sight.misses_readers(at(12_500)), "a platform that is away is not called by all");
}
