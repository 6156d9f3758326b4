//! How often an entry that callers are not sent to exchanges heartbeats.

/// Entries whose heartbeats the first ones can take at the shortest period; in a larger failure
/// domain the others send theirs less often, such that the first ones take no more.
const ENTRIES_PER_PERIOD: usize = 20;
/// Longest period of the others, in heartbeats of the first ones: routes and targets reach them
/// within it, and the users allow two seconds.
const PERIODS_MAX: u32 = 6;
/// Periods between two heartbeats to entries in other failure domains. With a heartbeat to each of
/// them at every period, and a new connection to each seed every second, 19 entries in three failure
/// domains sent each other as many bytes between these as 110 requests a second do; now a third of
/// it.
const FAR_PERIODS: u32 = 6;

/// Periods between two heartbeats to the first entries of the own failure domain, of so many
/// entries.
pub fn near_periods(entries_here: usize) -> u32 {
    let periods = entries_here.div_ceil(ENTRIES_PER_PERIOD);
    u32::try_from(periods).unwrap_or(u32::MAX).clamp(1, PERIODS_MAX)
}

/// Periods between two heartbeats to the first entries of other failure domains.
///
/// `is_unsettled` says that the platform turns a reader away, or that a change has not come to this
/// failure domain. Then each entry looks for itself at every period who still reads: if that spread
/// as news do, the next ones in turn would find out too late for a change to be in force within the
/// users' two seconds.
pub fn far_periods(near_periods: u32, is_unsettled: bool) -> u32 {
    if is_unsettled { 1 } else { FAR_PERIODS.max(near_periods) }
}
