//! The ways to choose among targets that have room.

use std::error::Error;
use std::fmt;
use std::str::FromStr;

use rand::RngExt;
use rand::rngs::SmallRng;

/// How a target is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// Any, with equal chance.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest requests in flight from this process.
    LeastInFlight,
    /// The better of two random ones by requests in flight from this process.
    PowerOfTwo,
    /// The one with the lowest expected cost from own requests in flight, load reports
    /// discounted by age, latency and failures.
    #[default]
    LoadAware,
}

impl Policy {
    /// Every policy, baselines first.
    pub const ALL: [Self; 5] =
        [Self::Random, Self::RoundRobin, Self::LeastInFlight, Self::PowerOfTwo, Self::LoadAware];

    /// The name used in settings and tables.
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

/// When a text names no policy.
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

/// What a policy knows of a target that has room.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    /// Place in the pool's list of targets.
    pub(crate) index: usize,
    pub(crate) running: u32,
    /// Expected cost of one more request, comparable between candidates; only for `LoadAware`.
    pub(crate) cost: f64,
}

/// What a policy remembers between choices.
#[derive(Debug)]
pub(crate) struct Chooser {
    policy: Policy,
    rng: SmallRng,
    /// Place of the last target in turn.
    last: usize,
}

impl Chooser {
    pub(crate) fn new(policy: Policy, rng: SmallRng) -> Self {
        Self { policy, rng, last: 0 }
    }

    /// A random number from zero to one, for spreading times.
    pub(crate) fn fraction(&mut self) -> f64 {
        self.rng.random::<f64>()
    }

    pub(crate) fn choose(&mut self, candidates: &[Candidate]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        match self.policy {
            Policy::Random => Some(candidates[self.any(candidates.len())].index),
            Policy::RoundRobin => self.next_in_turn(candidates),
            Policy::LeastInFlight => self.lowest(candidates, |c| f64::from(c.running)),
            Policy::PowerOfTwo => self.better_of_two(candidates),
            Policy::LoadAware => self.lowest(candidates, |c| c.cost),
        }
    }

    fn any(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    fn next_in_turn(&mut self, candidates: &[Candidate]) -> Option<usize> {
        let after = candidates.iter().find(|c| c.index > self.last);
        let chosen = after.or(candidates.first())?;
        self.last = chosen.index;
        Some(chosen.index)
    }

    fn better_of_two(&mut self, candidates: &[Candidate]) -> Option<usize> {
        let first = candidates[self.any(candidates.len())];
        let second = candidates[self.any(candidates.len())];
        let better = if second.running < first.running { second } else { first };
        Some(better.index)
    }

    /// The lowest by `key`; among equals a random one, so that processes don't all pick the same.
    fn lowest(
        &mut self,
        candidates: &[Candidate],
        key: impl Fn(&Candidate) -> f64,
    ) -> Option<usize> {
        let start = self.any(candidates.len());
        let rotated = candidates[start..].iter().chain(&candidates[..start]);
        rotated.min_by(|a, b| key(a).total_cmp(&key(b))).map(|c| c.index)
    }
}
