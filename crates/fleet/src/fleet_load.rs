//! Load for which entries are advertised: the observed one, or one assumed from the number of
//! targets.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use shallotfork_types::{LoadLevel, Mono, PerSecond, RequestRate, VmId};

/// Requests per second that each target adds to the assumed load, including bursts. Services whose
/// targets are busy bring about that many; others bring a small part of it.
const ASSUMED_PER_S_PER_TARGET: u64 = 6;
/// Multiple of the observed load that the advertised entries can carry. Callers follow a new response
/// only after seconds, so that a burst has to fit into the entries that are advertised before it.
const LOAD_HEADROOM: u64 = 4;
/// Time for which a higher load is remembered. After a loss of entries the reports of the others
/// include the moved callers only when these have found them.
const REMEMBERED_FOR: Duration = Duration::from_secs(10);
/// Time after which the report of an advertised entry is expected at all others.
const REPORT_EXPECTED_AFTER: Duration = Duration::from_secs(10);
/// Intervals of which the highest load is remembered.
const INTERVAL: Duration = Duration::from_secs(1);

/// Load, in requests per second, that the advertised entries have to carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetLoad {
    /// Load that the number of advertised entries follows.
    expected: PerSecond,
    /// Load that was observed, with headroom; `None` if no entry has reported any.
    observed: Option<PerSecond>,
}

impl FleetLoad {
    /// Returns the load that is assumed from the number of targets, before any is observed.
    pub fn assumed(target_count: usize) -> Self {
        let per_s = target_count as u64 * ASSUMED_PER_S_PER_TARGET;
        Self { expected: saturating_per_second(per_s), observed: None }
    }

    /// Returns the load as reported by the entries, which counts up to the assumed one: that bounds
    /// what an entry with wrong figures can cause.
    ///
    /// The load is assumed if all entries are idle, since callers may be about to come.
    pub fn observed(reports: impl Iterator<Item = LoadLevel>, target_count: usize) -> Self {
        let assumed = Self::assumed(target_count);
        let busy = reports.filter(|level| *level > LoadLevel::IDLE);
        let reported: u64 = busy.map(|level| level.rate().milli_per_s()).sum();
        if reported == 0 {
            return assumed;
        }
        let rate = RequestRate::from_milli_per_s(reported.saturating_mul(LOAD_HEADROOM));
        let observed = saturating_per_second(rate.whole_per_s()).min(assumed.expected);
        Self { expected: observed, observed: Some(observed) }
    }

    /// Returns the load that the number of advertised entries follows.
    pub fn expected(&self) -> PerSecond {
        self.expected
    }

    /// Returns the observed load with headroom; `None` if no entry has reported any.
    pub fn observed_with_headroom(&self) -> Option<PerSecond> {
        self.observed
    }

    fn highest_of(self, other: Self) -> Self {
        let Self { expected, observed } = self;
        Self { expected: expected.max(other.expected), observed: observed.max(other.observed) }
    }
}

fn saturating_per_second(per_s: u64) -> PerSecond {
    PerSecond::new(u32::try_from(per_s).unwrap_or(u32::MAX))
}

/// Since when entries have been advertised, in the view of this process.
#[derive(Debug, Default)]
pub(crate) struct AdvertisedSince(BTreeMap<VmId, Mono>);

impl AdvertisedSince {
    /// Sets the entries that are advertised now.
    pub(crate) fn update<'a>(&mut self, advertised: impl Iterator<Item = &'a VmId>, now: Mono) {
        let mut previous = std::mem::take(&mut self.0);
        let since = advertised.map(|vm| (vm.clone(), previous.remove(vm).unwrap_or(now)));
        self.0 = since.collect();
    }

    /// Returns whether an entry has been advertised for so long that it reports its load, unless it is
    /// of a release that reports none.
    pub(crate) fn is_report_expected(&self, vm: &VmId, now: Mono) -> bool {
        self.0.get(vm).is_some_and(|since| now.since(*since) >= REPORT_EXPECTED_AFTER)
    }
}

/// Highest load of the last seconds.
///
/// The number of advertised entries follows a rise at once and a fall slowly, so that it neither
/// alternates nor is too small when callers return.
#[derive(Debug)]
pub(crate) struct RecentLoad {
    started_at: Mono,
    /// Highest load by interval, the latest one last.
    intervals: VecDeque<(u64, FleetLoad)>,
}

impl RecentLoad {
    /// Creates the record of a process that starts now.
    pub(crate) fn new(now: Mono) -> Self {
        Self { started_at: now, intervals: VecDeque::new() }
    }

    /// Records the present load.
    pub(crate) fn record(&mut self, load: FleetLoad, now: Mono) {
        let interval = interval_number(now);
        let remembered_intervals = REMEMBERED_FOR.as_secs() / INTERVAL.as_secs();
        self.intervals.retain(|(number, _)| number + remembered_intervals > interval);
        match self.intervals.back_mut() {
            Some((number, highest)) if *number == interval => *highest = highest.highest_of(load),
            _ => self.intervals.push_back((interval, load)),
        }
    }

    /// Returns the highest load. `assumed` counts as well until this process has run for long enough to
    /// remember a higher load: entries that start with it report the load of their first callers.
    pub(crate) fn highest(&self, assumed: FleetLoad, now: Mono) -> FleetLoad {
        let recent = self.intervals.iter().map(|(_, load)| *load).reduce(FleetLoad::highest_of);
        let is_new = now.since(self.started_at) < REMEMBERED_FOR;
        match recent {
            Some(recent) if is_new => recent.highest_of(assumed),
            Some(recent) => recent,
            None => assumed,
        }
    }
}

fn interval_number(now: Mono) -> u64 {
    now.since(Mono::ZERO).as_secs() / INTERVAL.as_secs()
}
