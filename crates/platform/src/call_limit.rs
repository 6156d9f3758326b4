//! Rate limit for calls to the platform.

use std::num::NonZeroU32;
use std::time::Duration;

use governor::{DefaultDirectRateLimiter, Quota, RateLimiter};
use shallotfork_types::PerSecond;

/// Rate limiter that spaces calls evenly.
///
/// The platform counts every call of every entry. A token bucket that fills while an entry is
/// paused would allow a burst when it resumes. The bucket therefore holds a single call, and calls
/// are spaced slightly further apart than the rate requires, so that no second exceeds the rate
/// even when the network delays calls unevenly.
#[derive(Debug)]
pub(crate) struct CallLimit {
    limiter: DefaultDirectRateLimiter,
}

impl CallLimit {
    pub(crate) fn new(rate: PerSecond) -> Self {
        let spacing = rate.spacing().unwrap_or(FALLBACK_SPACING);
        let spacing = spacing + spacing / SPACING_MARGIN_DIVISOR;
        let quota = Quota::with_period(spacing).unwrap_or(Quota::per_second(NonZeroU32::MIN));
        Self { limiter: RateLimiter::direct(quota.allow_burst(NonZeroU32::MIN)) }
    }

    /// Waits until a call may be made.
    pub(crate) async fn wait_until_ready(&self) {
        self.limiter.until_ready().await;
    }
}

/// Divisor of the extra spacing: calls are spaced by a tenth more than the rate requires.
const SPACING_MARGIN_DIVISOR: u32 = 10;

/// Spacing when the settings allow no calls at all, which their validation rejects.
const FALLBACK_SPACING: Duration = Duration::from_secs(1);
