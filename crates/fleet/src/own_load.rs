//! When this entry reports its load to the fleet.

use std::time::Duration;

use shallotfork_types::{LoadLevel, Mono, RequestRate};

/// Least time between two reports. Each one reaches every entry of the fleet.
const REPORT_INTERVAL_MIN: Duration = Duration::from_secs(2);
/// Number of levels by which the load has to fall to be reported: to half of the reported rate.
const FALL_LEVELS_MIN: u8 = 2;
/// Decides when the load of this entry is reported.
#[derive(Debug, Default)]
pub(crate) struct OwnLoad {
    reported: Option<LoadLevel>,
    reported_at: Mono,
}

impl OwnLoad {
    /// Returns whether to report now, and the load to report.
    ///
    /// An entry reports from its first request after it was advertised on. Before that its load is
    /// unknown, not zero: callers may not have found it yet. Once it is not advertised any more, its
    /// callers move to other entries and are reported there.
    pub(crate) fn update(
        &mut self,
        rate: RequestRate,
        is_advertised: bool,
        now: Mono,
    ) -> Option<Option<LoadLevel>> {
        let level = self.level(rate, is_advertised);
        if level == self.reported || now.since(self.reported_at) < REPORT_INTERVAL_MIN {
            return None;
        }
        self.reported = level;
        self.reported_at = now;
        Some(level)
    }

    /// Returns the load to report: the present one, or the reported one if that has fallen a little.
    fn level(&self, rate: RequestRate, is_advertised: bool) -> Option<LoadLevel> {
        let level = LoadLevel::of(rate);
        let reported = self.reported.filter(|_| is_advertised);
        let Some(reported) = reported else {
            return (is_advertised && rate > RequestRate::ZERO).then_some(level);
        };
        let has_fallen_little =
            level < reported && level.number() + FALL_LEVELS_MIN > reported.number();
        Some(if has_fallen_little { reported } else { level })
    }
}
