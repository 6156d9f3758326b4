//! Tests of the expected sizes of large answers.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use quickcheck::{Gen, QuickCheck};
use shallotfork_routes::RouteName;
use shallotfork_transfer::AnswerSizes;
use shallotfork_types::{Bytes, Mono};

const SEED: u64 = 12;
const TESTS: u64 = 200;
const GEN_SIZE: usize = 300;
const MINUTE_MS: u64 = 60_000;

fn route(name: &str) -> RouteName {
    RouteName::new(name).unwrap()
}

fn at(ms: u64) -> Mono {
    Mono::from_millis(ms)
}

/// Guards against reservations that most answers exceed, and against ones of many times the size.
#[test]
fn the_reserved_size_covers_most_recent_answers() {
    fn property(sizes: Vec<u32>) -> bool {
        let sizes: Vec<u64> = sizes.into_iter().map(|size| u64::from(size % 540_000) + 1).collect();
        let mut observed = AnswerSizes::new();
        let name = route("films");
        for size in &sizes {
            observed.record(&name, Bytes::new(*size), at(1_000));
        }
        let estimate = observed.estimate(&name, at(1_000));
        let covered = sizes.iter().filter(|size| **size <= estimate.reserved.value()).count();
        let max = sizes.iter().max().copied().unwrap_or_default();
        let is_tight = sizes.len() < 20 || estimate.reserved.value() <= max + max / 16 + 1;
        covered * 100 >= sizes.len() * 95 && is_tight && estimate.mean <= estimate.reserved
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(TESTS)
        .quickcheck(property as fn(Vec<u32>) -> bool);
}

/// Guards against reserving too little for a route of which nothing is known yet.
#[test]
fn few_samples_do_not_lower_the_initial_size() {
    let mut observed = AnswerSizes::new();
    let name = route("films");
    let initial = observed.estimate(&name, at(0));
    assert_eq!(initial.reserved, Bytes::from_kib(512));
    for _ in 0..19 {
        observed.record(&name, Bytes::new(1_000), at(0));
    }
    assert_eq!(observed.estimate(&name, at(0)).reserved, initial.reserved);
    observed.record(&name, Bytes::new(1_000), at(0));
    assert!(observed.estimate(&name, at(0)).reserved.value() < 1_100);
}

/// Guards against estimates that follow an old release of a service for hours.
#[test]
fn old_sizes_lose_their_weight() {
    let mut observed = AnswerSizes::new();
    let name = route("films");
    for _ in 0..1_000 {
        observed.record(&name, Bytes::new(500_000), at(0));
    }
    let now = at(15 * MINUTE_MS);
    for _ in 0..200 {
        observed.record(&name, Bytes::new(10_000), now);
    }
    assert!(observed.estimate(&name, now).reserved.value() < 11_000);
    let later = at(120 * MINUTE_MS);
    assert_eq!(observed.estimate(&name, later).reserved, Bytes::from_kib(512));
}

/// Guards against memory that grows with every route that was ever published.
#[test]
fn the_number_of_routes_is_bounded() {
    let mut observed = AnswerSizes::new();
    for number in 0..1_000 {
        observed.record(&route(&format!("films-{number}")), Bytes::new(1_000), at(number));
    }
    assert_eq!(observed.routes(), 256);
    let newest = observed.estimate(&route("films-999"), at(1_000));
    assert!(newest.mean.value() < 1_100);
}

/// Guards against a panic or an overflow for absurd sizes.
#[test]
fn sizes_beyond_the_limit_count_as_the_limit() {
    let mut observed = AnswerSizes::new();
    let name = route("films");
    for size in [0, 1, u64::MAX] {
        observed.record(&name, Bytes::new(size), at(0));
    }
    let reserved = observed.estimate(&name, at(0)).reserved.value();
    assert!((32 << 20..36 << 20).contains(&reserved), "{reserved}");
}
