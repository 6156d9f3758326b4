//! Steps of the load that entries report.

use quickcheck::QuickCheck;
use shallotfork_types::{LoadLevel, RequestRate};

#[test]
fn level_covers_the_rate_by_less_than_a_step() {
    fn property(milli_per_s: u32) -> bool {
        let rate = RequestRate::from_milli_per_s(milli_per_s.into());
        let covered = LoadLevel::of(rate).rate().per_s();
        // The rate of a level is rounded to thousandths.
        let is_close = covered / 2f64.sqrt() <= rate.per_s().max(1.0) + 0.002;
        covered + 0.002 >= rate.per_s().min(1_000_000.0) && is_close
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(u32) -> bool);
}

/// Guards against figures that no entry can have, which would advertise the whole fleet.
#[test]
fn only_levels_are_accepted() {
    for number in 0..=u8::MAX {
        let level = LoadLevel::new(number);
        assert_eq!(level.is_ok(), (1..=41).contains(&number), "{number}");
        assert!(level.is_err() || number.to_string().parse::<LoadLevel>() == level);
    }
    assert!("fast".parse::<LoadLevel>().is_err());
    assert_eq!(LoadLevel::of(RequestRate::from_milli_per_s(u64::MAX)).number(), 41);
}
