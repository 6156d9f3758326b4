//! Deterministic calculation of the queue at an entry's link, with ordinary and large answers.
//!
//! The link sends what was written in the order of writing. Without a pacer a large answer is
//! written completely when it is ready; with it, one after the other in chunks.

use std::collections::VecDeque;
use std::time::Duration;

use shallotfork_transfer::{LinkPacer, Pace, PacerConfig};
use shallotfork_types::{Bytes, BytesPerSecond, Mono};

/// Size of an ordinary answer with its headers.
pub const ORDINARY_BYTES: u64 = 2_000;
/// Sizes of large answers and their weights in hundredths: 93 kB on average, 540 kB at most.
const LARGE_SIZES: [(u64, u64); 3] = [(45_000, 80), (200_000, 15), (540_000, 5)];
/// Time by which timers are late.
const TIMER_LATENESS: Duration = Duration::from_millis(1);
const SEED: u64 = 0x5eed_1234_9876_abcd;

/// Traffic of a link.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    pub link: BytesPerSecond,
    /// Bytes of ordinary answers, in thousandths of the link.
    pub ordinary_permille: u64,
    /// Bytes of large answers, in thousandths of the link.
    pub large_permille: u64,
    pub duration: Duration,
}

impl Traffic {
    /// Returns the bandwidth for data.
    fn payload(&self) -> BytesPerSecond {
        PacerConfig::new(self.link).link
    }
}

/// Latencies at the link, from an answer being ready to its last byte being sent, in order.
#[derive(Debug, Default)]
pub struct Latencies {
    pub ordinary: Vec<Duration>,
    pub large: Vec<Duration>,
}

impl Latencies {
    fn sorted(mut self) -> Self {
        self.ordinary.sort();
        self.large.sort();
        self
    }
}

/// Returns a quantile of sorted values.
pub fn quantile(sorted: &[Duration], permille: usize) -> Duration {
    let index = (sorted.len() * permille / 1000).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or_default()
}

struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Returns an exponentially distributed time.
    fn interval(&mut self, mean_s: f64) -> Duration {
        let uniform = ((self.next() >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
        Duration::from_secs_f64(-uniform.ln() * mean_s)
    }

    fn large_size(&mut self) -> u64 {
        let mut pick = self.next() % 100;
        for (size, weight) in LARGE_SIZES {
            if pick < weight {
                return size;
            }
            pick -= weight;
        }
        unreachable!("the weights add up to a hundred")
    }
}

/// Arrival times and sizes of one kind of answers.
fn arrivals(
    traffic: &Traffic,
    load_permille: u64,
    seed: u64,
    size: impl Fn(&mut Random) -> u64,
) -> VecDeque<(Mono, u64)> {
    let mut random = Random(seed);
    let samples = 10_000_u64;
    let mean_bytes = (0..samples).map(|_| size(&mut random)).sum::<u64>() as f64 / samples as f64;
    let bytes_per_s = f64::from(traffic.payload().value()) * load_permille as f64 / 1000.0;
    if bytes_per_s == 0.0 {
        return VecDeque::new();
    }
    let mut now = Mono::ZERO;
    let mut arrivals = VecDeque::new();
    while now < Mono::ZERO.plus(traffic.duration) {
        now = now.plus(random.interval(mean_bytes / bytes_per_s));
        arrivals.push_back((now, size(&mut random)));
    }
    arrivals
}

struct Link {
    rate: BytesPerSecond,
    free_at: Mono,
}

impl Link {
    /// Writes bytes and returns when the last of them is sent.
    fn write(&mut self, bytes: u64, now: Mono) -> Mono {
        self.free_at = self.free_at.max(now).plus(self.rate.time_for(Bytes::new(bytes)));
        self.free_at
    }
}

struct Transfer {
    ready_at: Mono,
    left_bytes: u64,
    chunk_bytes: u64,
}

/// How large answers are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Writes {
    /// Completely when they are ready.
    AtOnce,
    /// In chunks of at most this size, each admitted by a pacer.
    Paced { chunk: Bytes },
}

/// Calculates the latencies.
pub fn latencies(traffic: &Traffic, writes: Writes) -> Latencies {
    let mut ordinary = arrivals(traffic, traffic.ordinary_permille, SEED, |_| ORDINARY_BYTES);
    let mut large = arrivals(traffic, traffic.large_permille, !SEED, Random::large_size);
    let mut pacer = LinkPacer::new(PacerConfig::new(traffic.link));
    let mut link = Link { rate: traffic.payload(), free_at: Mono::ZERO };
    let mut transfers: VecDeque<Transfer> = VecDeque::new();
    let mut ask_at = Mono::ZERO;
    let mut result = Latencies::default();
    loop {
        let ordinary_at = ordinary.front().map(|(at, _)| *at);
        let large_at = large.front().map(|(at, _)| *at);
        let pacer_at = (!transfers.is_empty()).then_some(ask_at);
        let Some(now) = [ordinary_at, large_at, pacer_at].into_iter().flatten().min() else {
            return result.sorted();
        };
        if ordinary_at == Some(now) {
            let (_, bytes) = ordinary.pop_front().unwrap_or_default();
            pacer.record_ordinary(Bytes::new(bytes), now);
            result.ordinary.push(link.write(bytes, now).since(now));
        } else if large_at == Some(now) {
            let (_, bytes) = large.pop_front().unwrap_or_default();
            match writes {
                Writes::AtOnce => result.large.push(link.write(bytes, now).since(now)),
                Writes::Paced { chunk } => {
                    let chunk_bytes = chunk.value();
                    transfers.push_back(Transfer { ready_at: now, left_bytes: bytes, chunk_bytes });
                    ask_at = if transfers.len() == 1 { now } else { ask_at };
                }
            }
        } else if let Some(mut transfer) = transfers.pop_front() {
            let bytes = transfer.left_bytes.min(transfer.chunk_bytes);
            match pacer.request(Bytes::new(bytes), now) {
                Pace::Write => {
                    let sent_at = link.write(bytes, now);
                    transfer.left_bytes -= bytes;
                    if transfer.left_bytes == 0 {
                        result.large.push(sent_at.since(transfer.ready_at));
                    } else {
                        transfers.push_front(transfer);
                    }
                }
                Pace::WaitUntil(at) => {
                    transfers.push_front(transfer);
                    ask_at = at.plus(TIMER_LATENESS);
                }
            }
        }
    }
}
