//! When this entry reports its load to the fleet.

use std::time::Duration;

use shallotfork_types::{LoadLevel, Mono, RequestRate};

/// Least time between two reports. Each one reaches every entry of the fleet.
const REPORT_INTERVAL_MIN: Duration = Duration::from_secs(2);
/// Number of levels by which the load has to fall to be reported: to half of the reported rate.
const FALL_LEVELS_MIN: u8 = 2;
/// Rate below which an entry that has reported requests reports to be idle again. It is lower than the
/// rate up to which an entry counts as idle at first, so that single requests are not reported.
const BUSY_RATE_MIN: RequestRate = RequestRate::from_milli_per_s(250);
/// Time after which an advertised entry that has received no requests reports to be idle. Callers may not
/// have found it before.
const IDLE_REPORT_AFTER: Duration = Duration::from_secs(5);

/// Decides when the load of this entry is reported.
#[derive(Debug, Default)]
pub(crate) struct OwnLoad {
    reported: Option<LoadLevel>,
    reported_at: Mono,
    advertised_since: Option<Mono>,
}

impl OwnLoad {
    /// Returns the load to report now; `None` if there is nothing to report.
    ///
    /// An entry reports its load while it is advertised. Once it is not, it reports to be idle: its
    /// callers move to other entries and are reported there.
    pub(crate) fn update(
        &mut self,
        rate: RequestRate,
        is_advertised: bool,
        now: Mono,
    ) -> Option<LoadLevel> {
        let since = self.advertised_since.filter(|_| is_advertised);
        self.advertised_since = is_advertised.then(|| since.unwrap_or(now));
        let level = self.level(rate, now);
        if level == self.reported || now.since(self.reported_at) < REPORT_INTERVAL_MIN {
            return None;
        }
        self.reported = level;
        self.reported_at = now;
        level
    }

    /// Returns the load to report: the present one, or the reported one if that has fallen a little.
    fn level(&self, rate: RequestRate, now: Mono) -> Option<LoadLevel> {
        let Some(advertised_since) = self.advertised_since else {
            return self.reported.map(|_| LoadLevel::IDLE);
        };
        let advertised_for = now.since(advertised_since);
        let is_idle = rate <= LoadLevel::IDLE.rate();
        let level = if is_idle {
            LoadLevel::IDLE
        } else {
            LoadLevel::of(rate).max(LoadLevel::FEW_REQUESTS)
        };
        let Some(reported) = self.reported else {
            let is_known = rate > RequestRate::ZERO || advertised_for >= IDLE_REPORT_AFTER;
            return is_known.then_some(level);
        };
        let has_fallen_little =
            level < reported && level.number() + FALL_LEVELS_MIN > reported.number();
        let stays_busy = is_idle && reported > LoadLevel::IDLE && rate >= BUSY_RATE_MIN;
        Some(if has_fallen_little || stays_busy { reported } else { level })
    }
}
