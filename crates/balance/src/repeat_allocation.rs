//! Which repeats get the allowance while targets reject requests at random.
//!
//! Load: all targets of a service reject half of its requests or more for some seconds, so that
//! there are several times as many rejections as the allowance has repeats. A caller that is
//! rejected for the first time returns by itself, with a new request that raises the allowance; one
//! that has already returned gives up. A repeat therefore serves more callers if it is spent on a
//! request of the latter kind.

use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_types::Mono;

use crate::{RetryAllowance, RetryWindow};

/// Time constant of the measured demand for repeats. Bursts of rejections last for seconds.
const DEMAND_DECAY: Duration = Duration::from_secs(1);
/// Tenths of the window for which the allowance is to last when requests of returned callers ask.
/// With two or three tenths, nearly all of it is spent in the first seconds, also on low ranks; with
/// all ten, what earlier seconds have left over is spent later than callers need it.
const RETURNED_HORIZON_BUCKETS: u32 = 5;
/// Tenths of the window for which the allowance is to last when others ask: the whole window, so
/// that they get only what returned callers are not expected to need in it.
const OTHERS_HORIZON_BUCKETS: u32 = 10;
/// Highest rank that is distinguished, a bound on memory; requests of higher ranks are treated
/// alike.
const RANK_MAX: u32 = 7;

/// Class of a repeat. Classes are served in the order of their declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RepeatClass {
    /// The caller has been rejected before and is unlikely to return again.
    Returned {
        /// Rank of the request; 0 is served first.
        rank: u32,
        /// Whether the request can no longer be answered within its objective.
        is_late: bool,
    },
    /// The caller has not been rejected before.
    First {
        /// Rank of the request; 0 is served first.
        rank: u32,
        /// Whether the request can no longer be answered within its objective.
        is_late: bool,
    },
    /// A second attempt beside one that is in flight.
    Hedge,
}

impl RepeatClass {
    /// Returns the text used in metrics for the callers of the class.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Returned { .. } => "returned",
            Self::First { .. } => "first",
            Self::Hedge => "any",
        }
    }

    /// Returns the text used in metrics for what the repeat is.
    pub fn use_str(self) -> &'static str {
        match self {
            Self::Returned { .. } | Self::First { .. } => "retry",
            Self::Hedge => "hedge",
        }
    }

    fn bounded(self) -> Self {
        match self {
            Self::Returned { rank, is_late } => {
                Self::Returned { rank: rank.min(RANK_MAX), is_late }
            }
            Self::First { rank, is_late } => Self::First { rank: rank.min(RANK_MAX), is_late },
            Self::Hedge => Self::Hedge,
        }
    }
}

/// Demand of one class for repeats.
#[derive(Debug, Clone, Copy)]
struct Demand {
    per_s: f64,
    updated_at: Mono,
    /// Part of a repeat that the class has been allotted but not used.
    credit: f64,
}

impl Demand {
    fn per_s(&self, now: Mono) -> f64 {
        let age_s = now.since(self.updated_at).as_secs_f64();
        self.per_s * (-age_s / DEMAND_DECAY.as_secs_f64()).exp()
    }
}

/// Allots the repeats of one service.
#[derive(Debug)]
pub struct RepeatAllocation {
    window: RetryWindow,
    demand: BTreeMap<RepeatClass, Demand>,
}

impl RepeatAllocation {
    /// Creates an allocation without any requests.
    pub fn new(window: Duration) -> Self {
        Self { window: RetryWindow::new(window), demand: BTreeMap::new() }
    }

    /// Records a request from a caller.
    pub fn record_request(&mut self, now: Mono) {
        self.window.record_request(now);
    }

    /// Records one repeat if the allowance has room; returns whether it does. To be used unless
    /// targets reject at random.
    pub fn try_acquire(&mut self, allowance: RetryAllowance, now: Mono) -> bool {
        self.window.try_acquire(allowance, now)
    }

    /// Records one early hedge if the allowance and its part for early hedges have room; returns
    /// whether they do. To be used unless targets reject at random.
    pub fn try_acquire_early_hedge(&mut self, allowance: RetryAllowance, now: Mono) -> bool {
        self.window.try_acquire_early_hedge(allowance, now)
    }

    /// Records one repeat if its class is due one; returns whether it is. To be used while targets
    /// reject at random.
    ///
    /// The repeats that the allowance sustains are allotted to the classes in their order, to each
    /// as many as it asks for. The last class that gets any gets the same fraction of its demand
    /// all the time.
    pub fn try_acquire_ranked(
        &mut self,
        class: RepeatClass,
        allowance: RetryAllowance,
        now: Mono,
    ) -> bool {
        let class = class.bounded();
        let horizon = match class {
            RepeatClass::Returned { .. } => RETURNED_HORIZON_BUCKETS,
            RepeatClass::First { .. } | RepeatClass::Hedge => OTHERS_HORIZON_BUCKETS,
        };
        let sustainable_per_s = self.window.sustainable_per_s(allowance, horizon, now);
        let ahead = self.demand.range(..class);
        let ahead_per_s: f64 = ahead.map(|(_, demand)| demand.per_s(now)).sum();
        let new = Demand { per_s: 0.0, updated_at: now, credit: 0.0 };
        let demand = self.demand.entry(class).or_insert(new);
        demand.per_s = demand.per_s(now) + 1.0 / DEMAND_DECAY.as_secs_f64();
        demand.updated_at = now;
        let share = ((sustainable_per_s - ahead_per_s) / demand.per_s).clamp(0.0, 1.0);
        demand.credit += share;
        if demand.credit < 1.0 {
            return false;
        }
        demand.credit -= 1.0;
        self.window.try_acquire(allowance, now)
    }
}
