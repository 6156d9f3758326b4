//! Policies for selecting one of the targets that have room.

use std::error::Error;
use std::fmt;
use std::str::FromStr;

use rand::RngExt;
use rand::rngs::SmallRng;

/// A policy for selecting a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// Any target, with equal probability.
    Random,
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest requests in flight from this process.
    LeastInFlight,
    /// The better of two random targets by requests in flight from this process.
    PowerOfTwo,
    /// The target with the lowest expected cost, computed from own requests in flight, load reports
    /// discounted by age, latency and failures.
    #[default]
    LoadAware,
}

impl Policy {
    /// All policies, baselines first.
    pub const ALL: [Self; 5] =
        [Self::Random, Self::RoundRobin, Self::LeastInFlight, Self::PowerOfTwo, Self::LoadAware];

    /// Returns the name used in settings and tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastInFlight => "least-in-flight",
            Self::PowerOfTwo => "power-of-two",
            Self::LoadAware => "load-aware",
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The error for a text that is not the name of a policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownPolicy;

impl fmt::Display for UnknownPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected random, round-robin, least-in-flight, power-of-two or load-aware")
    }
}

impl Error for UnknownPolicy {}

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, UnknownPolicy> {
        Self::ALL.into_iter().find(|policy| policy.as_str() == text).ok_or(UnknownPolicy)
    }
}

/// A target that has room, as seen by a policy.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    /// Index in the list of targets of the pool.
    pub(crate) index: usize,
    pub(crate) running: u32,
    /// Expected cost of one more request, comparable between candidates; only for `LoadAware`.
    pub(crate) cost: f64,
}

/// A policy with its state between selections.
#[derive(Debug)]
pub(crate) struct Selector {
    policy: Policy,
    rng: SmallRng,
    /// Index of the last target selected by `RoundRobin`.
    last_index: usize,
}

impl Selector {
    pub(crate) fn new(policy: Policy, rng: SmallRng) -> Self {
        Self { policy, rng, last_index: 0 }
    }

    /// Returns a random number from zero to one, used as jitter.
    pub(crate) fn jitter(&mut self) -> f64 {
        self.rng.random::<f64>()
    }

    pub(crate) fn select(&mut self, candidates: &[Candidate]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        match self.policy {
            Policy::Random => Some(candidates[self.random_index(candidates.len())].index),
            Policy::RoundRobin => self.next_round_robin(candidates),
            Policy::LeastInFlight => self.lowest(candidates, |c| f64::from(c.running)),
            Policy::PowerOfTwo => self.better_of_two(candidates),
            Policy::LoadAware => self.lowest(candidates, |c| c.cost),
        }
    }

    fn random_index(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    fn next_round_robin(&mut self, candidates: &[Candidate]) -> Option<usize> {
        let after = candidates.iter().find(|c| c.index > self.last_index);
        let selected = after.or(candidates.first())?;
        self.last_index = selected.index;
        Some(selected.index)
    }

    fn better_of_two(&mut self, candidates: &[Candidate]) -> Option<usize> {
        let first = candidates[self.random_index(candidates.len())];
        let second = candidates[self.random_index(candidates.len())];
        let better = if second.running < first.running { second } else { first };
        Some(better.index)
    }

    /// Selects the candidate with the lowest key, at random among equals, so that processes do not
    /// all select the same one.
    fn lowest(
        &mut self,
        candidates: &[Candidate],
        key: impl Fn(&Candidate) -> f64,
    ) -> Option<usize> {
        let start = self.random_index(candidates.len());
        let rotated = candidates[start..].iter().chain(&candidates[..start]);
        rotated.min_by(|a, b| key(a).total_cmp(&key(b))).map(|c| c.index)
    }
}
