//! How often an entry that callers are not sent to exchanges heartbeats.

use std::time::Duration;

/// Time between two heartbeats among the first entries of a failure domain. With the silence after
/// which an entry is suspected, callers are sent elsewhere within a second of a loss.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(150);
/// Entries whose heartbeats the first ones can take at the shortest period; in a larger failure
/// domain the others send theirs less often, such that the first ones take no more.
const ENTRIES_PER_PERIOD: usize = 20;
/// Longest period of the others, in heartbeats of the first ones: routes and targets reach them
/// within it, and the users allow two seconds.
const PERIODS_MAX: u32 = 6;
/// Periods between two heartbeats to other failure domains, of entries that hear the same sooner from
/// the first one of their own.
pub(crate) const FAR_PERIODS: u32 = 6;

/// Periods between two heartbeats to the first entries of the own failure domain, of so many
/// entries.
pub fn near_periods(entries_here: usize) -> u32 {
    let periods = entries_here.div_ceil(ENTRIES_PER_PERIOD);
    u32::try_from(periods).unwrap_or(u32::MAX).clamp(1, PERIODS_MAX)
}

/// How long a change takes to reach everybody in a failure domain of so many entries, from the first
/// one there.
pub fn propagation_delay(entries_here: usize) -> Duration {
    HEARTBEAT_PERIOD * (near_periods(entries_here) + 2)
}
