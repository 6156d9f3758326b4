//! Division of a service's slots by demand.

use quickcheck::{Gen, QuickCheck};
use shallotfork_balance::{SlotShares, divide_slots};
use shallotfork_measure::SharerDemand;
use shallotfork_types::RequestRate;

const TESTS: u64 = 2000;
const SEED: u64 = 41;
const MILLION: u64 = 1_000_000;

fn known(per_s: u64) -> SharerDemand {
    SharerDemand::Known(RequestRate::from_milli_per_s(per_s * 1000))
}

fn demands(rates_per_s: &[u16]) -> Vec<SharerDemand> {
    rates_per_s.iter().map(|per_s| known(u64::from(*per_s))).collect()
}

fn shares(demands: &[SharerDemand]) -> Vec<u64> {
    let shares = divide_slots(demands);
    let equal = MILLION / demands.len().max(1) as u64;
    let share = |index| shares.share(index).map_or(equal, |share| u64::from(share.value()));
    (0..demands.len()).map(share).collect()
}

fn check(property: fn(Vec<u16>) -> bool) {
    let generator = Gen::from_size_and_seed(60, SEED);
    QuickCheck::new().rng(generator).tests(TESTS).quickcheck(property);
}

/// Guards against shares that together allow more slots than there are, and against an entry
/// without a share, whose callers would be refused until its demand is known.
#[test]
fn shares_add_up_to_one_and_have_a_minimum() {
    check(|rates| {
        let shares = shares(&demands(&rates));
        let count = shares.len() as u64;
        let sum: u64 = shares.iter().sum();
        let floor = MILLION / (4 * count.max(1)) - 1;
        sum <= MILLION
            && (count == 0 || sum + count >= MILLION)
            && shares.iter().all(|s| *s >= floor)
    });
}

/// Guards against an entry that has less than another one with less demand.
#[test]
fn more_demand_never_has_a_smaller_share() {
    check(|rates| {
        let shares = shares(&demands(&rates));
        let pairs = || rates.iter().zip(&shares);
        pairs().all(|(rate, share)| pairs().all(|(other, its)| rate > other || share <= its))
    });
}

/// Guards against a division that differs from the equal one while demand is even.
#[test]
fn even_demand_has_equal_shares() {
    check(|rates| {
        // Within a fifth of 1,000 requests a second.
        let even: Vec<u16> = rates.iter().map(|rate| 900 + rate % 200).collect();
        divide_slots(&demands(&even)) == SlotShares::Equal
    });
    assert_eq!(divide_slots(&demands(&[1250, 1000, 750])), SlotShares::Equal, "a quarter");
    assert_ne!(divide_slots(&demands(&[1270, 1000, 730])), SlotShares::Equal, "more");
    assert_eq!(divide_slots(&demands(&[0, 0])), SlotShares::Equal);
    assert_eq!(divide_slots(&[]), SlotShares::Equal);
}

/// Guards against shares from incomplete knowledge: an entry of an older release reports no demand.
#[test]
fn unknown_demand_has_equal_shares() {
    check(|rates| {
        let mut demands = demands(&rates);
        demands.push(SharerDemand::Unknown);
        divide_slots(&demands) == SlotShares::Equal
    });
}

#[test]
fn shares_are_proportional_to_uneven_demand() {
    assert_eq!(shares(&demands(&[900, 300, 300])), [600_000, 200_000, 200_000]);
    assert_eq!(shares(&demands(&[1000, 1000, 0])), [458_333, 458_333, 83_333]);
    assert_eq!(shares(&demands(&[5000, 10, 10])), [833_333, 83_333, 83_333]);
}

/// Guards against a joining entry that keeps the others' shares from being used, and against one
/// without a share.
#[test]
fn joining_entry_has_the_least_share() {
    let demands = [known(600), known(600), known(300), SharerDemand::Joining];
    assert_eq!(shares(&demands), [375_000, 375_000, 187_500, 62_500]);
}

/// Guards against shares that jump while demand changes little.
#[test]
fn small_change_of_demand_changes_shares_little() {
    let mut previous = shares(&demands(&[1000, 1000, 1000]));
    for extra in (0..2000).step_by(10) {
        let current = shares(&demands(&[1000 + extra, 1000, 1000]));
        let change = previous.iter().zip(&current).map(|(a, b)| a.abs_diff(*b)).max();
        assert!(change <= Some(13_000), "{extra}: {previous:?} {current:?}");
        previous = current;
    }
}

/// Guards against shares that follow chance: at five requests a second, the smoothed demand of an
/// entry often deviates by a quarter.
#[test]
fn deviations_by_chance_leave_shares_equal() {
    let rates = [5.0, 7.9, 3.1, 4.2, 6.4].map(|per_s: f64| (per_s * 1000.0) as u64);
    let demands = rates.map(|rate| SharerDemand::Known(RequestRate::from_milli_per_s(rate)));
    assert_eq!(divide_slots(&demands), SlotShares::Equal);
}
