//! Caps the calls to the platform in a second.

use std::num::NonZeroU32;
use std::time::Duration;

use governor::{DefaultDirectRateLimiter, Quota, RateLimiter};
use shallotfork_types::PerSecond;

/// Spaces calls evenly.
///
/// The platform counts every call of every entry, and a token bucket that fills while an entry is
/// paused would let it call in a burst when it wakes. With room for one call only, and a little
/// more time between calls than the rate asks for, any second sees at most the rate even when
/// calls are delayed unevenly on their way.
#[derive(Debug)]
pub(crate) struct CallLimit {
    limiter: DefaultDirectRateLimiter,
}

impl CallLimit {
    pub(crate) fn new(rate: PerSecond) -> Self {
        let spacing = rate.spacing().unwrap_or(SLOWEST);
        let spacing = spacing + spacing / SLACK;
        let quota = Quota::with_period(spacing).unwrap_or(Quota::per_second(NonZeroU32::MIN));
        Self { limiter: RateLimiter::direct(quota.allow_burst(NonZeroU32::MIN)) }
    }

    /// Waits until a call may be made.
    pub(crate) async fn ready(&self) {
        self.limiter.until_ready().await;
    }
}

/// Calls are spaced by this part more than the rate asks for.
const SLACK: u32 = 10;

/// Spacing when the settings allow no calls at all, which their check refuses.
const SLOWEST: Duration = Duration::from_secs(1);
