//! Intervals between heartbeats.

use std::time::Duration;

/// Time between two heartbeats among the first entries of a failure domain. Together with the
/// silence after which an entry is suspected, it moves callers to other entries within a second of
/// a loss.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(150);
/// Number of entries whose heartbeats the first ones of a failure domain can process in every
/// period. In a larger failure domain the others send theirs less often, so that this load does not
/// grow.
const ENTRIES_PER_PERIOD: usize = 20;
/// Longest interval of the other entries, in heartbeat periods. Routes and targets reach them
/// within it; users allow two seconds.
const INTERVAL_PERIODS_MAX: u32 = 6;
/// Interval, in heartbeat periods, between heartbeats to other failure domains by entries that
/// receive the same state sooner from the first entry of their own domain.
pub(crate) const REMOTE_INTERVAL_PERIODS: u32 = 6;

/// Returns the interval, in heartbeat periods, between heartbeats to the first entries of the
/// sender's failure domain, which has `domain_entries` entries.
pub fn local_interval_periods(domain_entries: usize) -> u32 {
    let periods = domain_entries.div_ceil(ENTRIES_PER_PERIOD);
    u32::try_from(periods).unwrap_or(u32::MAX).clamp(1, INTERVAL_PERIODS_MAX)
}

/// Returns the time that a change takes from the first entry of a failure domain to all of its
/// `domain_entries` entries.
pub fn propagation_delay(domain_entries: usize) -> Duration {
    HEARTBEAT_PERIOD * (local_interval_periods(domain_entries) + 2)
}
