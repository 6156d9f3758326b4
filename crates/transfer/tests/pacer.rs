//! Tests of when bytes of large answers may be written.

#[path = "support/link.rs"]
mod link;

use std::time::Duration;

use link::{Traffic, Writes, latencies, quantile};
use quickcheck::{Gen, QuickCheck};
use shallotfork_transfer::{LinkPacer, Pace, PacerConfig};
use shallotfork_types::{Bytes, BytesPerSecond, Mono};

const SEED: u64 = 11;
const TESTS: u64 = 300;
const GEN_SIZE: usize = 200;
const SLOWEST_LINK: BytesPerSecond = BytesPerSecond::new(1_250_000);
/// Largest chunk that the exchange writes.
const EXCHANGE_CHUNK: Bytes = Bytes::from_kib(16);
/// Latency of an ordinary answer from which callers with an objective of hundreds of milliseconds
/// would notice large ones.
const ADDED_LATENCY_MAX: Duration = Duration::from_millis(16);

fn traffic(ordinary_permille: u64, large_permille: u64) -> Traffic {
    let duration = Duration::from_secs(60);
    Traffic { link: SLOWEST_LINK, ordinary_permille, large_permille, duration }
}

/// Chunks as small as the pacer asks for, and those of the exchange.
fn paced() -> [Writes; 2] {
    let chunk = LinkPacer::new(PacerConfig::new(SLOWEST_LINK)).chunk_size();
    [chunk, EXCHANGE_CHUNK].map(|chunk| Writes::Paced { chunk })
}

/// Guards against ordinary answers that wait behind large ones at the link.
#[test]
fn ordinary_answers_are_as_fast_beside_large_ones() {
    for (ordinary, large) in [(100, 300), (100, 600), (300, 300), (300, 500), (200, 900)] {
        let alone = latencies(&traffic(ordinary, 0), Writes::AtOnce).ordinary;
        let unpaced = latencies(&traffic(ordinary, large), Writes::AtOnce).ordinary;
        let max = quantile(&alone, 990) + ADDED_LATENCY_MAX;
        for writes in paced() {
            let paced = quantile(&latencies(&traffic(ordinary, large), writes).ordinary, 990);
            assert!(paced <= max, "{ordinary} {large}, {writes:?}: {paced:?}");
        }
        assert!(quantile(&unpaced, 990) > max, "the traffic does not need a pacer");
    }
}

/// Guards against a pacer that leaves the link idle while large answers wait.
#[test]
fn large_answers_use_what_ordinary_ones_leave() {
    let unpaced = latencies(&traffic(100, 600), Writes::AtOnce).large;
    for writes in paced() {
        let paced = latencies(&traffic(100, 600), writes).large;
        assert!(quantile(&paced, 500) <= quantile(&unpaced, 500).mul_f64(1.5), "{writes:?}");
        assert!(quantile(&paced, 990) <= quantile(&unpaced, 990).mul_f64(1.75), "{writes:?}");
    }
}

/// Guards against transfers that never end while ordinary answers saturate the link.
#[test]
fn large_answers_get_a_minimum_rate() {
    let config = PacerConfig::new(SLOWEST_LINK);
    let mut pacer = LinkPacer::new(config);
    let chunk = pacer.chunk_size();
    let step = Duration::from_millis(1);
    let (mut now, mut written) = (Mono::ZERO, 0);
    let end = Mono::from_millis(10_000);
    while now < end {
        // Twice what the link can send.
        pacer.record_ordinary(Bytes::new(u64::from(config.link.value()) / 500), now);
        if pacer.request(chunk, now) == Pace::Write {
            written += chunk.value();
        }
        now = now.plus(step);
    }
    let expected = u64::from(config.large_rate_min.value()) * 10;
    assert!(written >= expected * 9 / 10, "{written} of {expected}");
    assert!(written <= expected * 11 / 10 + chunk.value(), "{written} of {expected}");
}

/// Guards against a long transfer on an otherwise idle link that leads to a pause of large answers
/// when ordinary ones begin.
#[test]
fn using_an_idle_link_is_not_charged_to_the_share() {
    let mut pacer = LinkPacer::new(PacerConfig::new(SLOWEST_LINK));
    let chunk = pacer.chunk_size();
    let mut now = Mono::ZERO;
    for _ in 0..2_000 {
        while let Pace::WaitUntil(at) = pacer.request(chunk, now) {
            now = at;
        }
    }
    pacer.record_ordinary(Bytes::new(2_000), now);
    let asked_at = now;
    while let Pace::WaitUntil(at) = pacer.request(chunk, now) {
        now = at;
    }
    assert!(now.since(asked_at) <= Duration::from_millis(20), "{:?}", now.since(asked_at));
}

/// Guards against a wait that ends before the bytes may be written, or never: a caller of the pacer
/// would spin or hang.
#[test]
fn bytes_may_be_written_when_the_wait_ends() {
    fn property(steps: Vec<(bool, u16, u16)>) -> bool {
        let mut pacer = LinkPacer::new(PacerConfig::new(SLOWEST_LINK));
        let mut now = Mono::ZERO;
        steps.into_iter().all(|(is_ordinary, size, pause_us)| {
            now = now.plus(Duration::from_micros(u64::from(pause_us)));
            let size = Bytes::new(u64::from(size));
            if is_ordinary {
                pacer.record_ordinary(size, now);
                return true;
            }
            match pacer.request(size, now) {
                Pace::Write => true,
                Pace::WaitUntil(at) => {
                    let is_later = at > now;
                    now = at;
                    is_later && pacer.request(size, now) == Pace::Write
                }
            }
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(TESTS)
        .quickcheck(property as fn(Vec<(bool, u16, u16)>) -> bool);
}

/// Guards against large answers that queue at the link for longer than some milliseconds.
#[test]
fn the_queue_of_large_answers_stays_short() {
    fn property(pauses_us: Vec<u16>) -> bool {
        let config = PacerConfig::new(SLOWEST_LINK);
        let mut pacer = LinkPacer::new(config);
        let chunk = pacer.chunk_size();
        let (mut now, mut free_at) = (Mono::ZERO, Mono::ZERO);
        pauses_us.into_iter().all(|pause_us| {
            now = now.plus(Duration::from_micros(u64::from(pause_us / 16)));
            while pacer.request(chunk, now) == Pace::Write {
                free_at = free_at.max(now).plus(config.link.time_for(chunk));
            }
            free_at.since(now) <= config.queue_max
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(TESTS)
        .quickcheck(property as fn(Vec<u16>) -> bool);
}

/// Guards against chunks that take longer than the queue may be, or that are inefficiently small.
#[test]
fn chunks_fit_the_link() {
    let chunk = |mbps: u32| {
        let link = BytesPerSecond::new(mbps * 125_000);
        LinkPacer::new(PacerConfig::new(link)).chunk_size()
    };
    assert_eq!(
        [chunk(1), chunk(10), chunk(50), chunk(1000)].map(Bytes::value),
        [4096, 4650, 23_250, 65_536]
    );
}
