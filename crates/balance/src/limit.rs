//! How many requests this process may have in flight to all targets together.

use shallotfork_types::Mono;
use std::time::Duration;

/// Lowest limit: with less than one, the service would not be tried any more.
const LIMIT_MIN: f64 = 1.0;
/// Answers in a window; its lowest latency is then unlikely to be a chance find.
const WINDOW_ANSWERS: u32 = 20;
/// A window lasts at least this long, so that a change shows in the latencies of the next one.
const WINDOW_MIN: Duration = Duration::from_millis(50);
/// What is left of the limit after a window in which every request waited at its target.
const DECREASE: f64 = 0.85;
/// Growth of the limit in a window without waits, while requests wait here.
const INCREASE_SHARE: f64 = 0.05;
const INCREASE: f64 = 0.5;
/// A wait counts from this multiple of the usual latency. Half of it costs 1.5% of goodput near
/// saturation; more lets queues at targets grow when many entries serve a service.
const WAIT_PART: f64 = 1.0;
/// How fast the latencies of quiet times rise to higher ones, a window.
const FORGET: f64 = 0.01;

/// Lowers the limit while even the quickest answers show a wait at the targets.
///
/// Gates alone don't bound the queues at targets: fourteen processes that each keep a few requests
/// at a target with two slots queue dozens there, where no deadline or priority is looked at. The
/// lowest latency of a window rises with the queue that every request meets, and not with chance
/// waits of some. All processes see the same queues, so each goes down to its share without
/// knowing how many there are.
///
/// Load reports are not used: they may be old, and a limit that follows old reports swings.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    max: f64,
    window_from: Mono,
    answers: u32,
    lowest_us: f64,
    quiet: Option<Quiet>,
}

/// Latencies, in microseconds, while nothing waits at the targets.
#[derive(Debug, Clone, Copy)]
struct Quiet {
    /// The lowest of a window.
    lowest_us: f64,
    usual_us: f64,
}

impl Quiet {
    /// Falls at once and rises slowly, and not while requests wait: then the latencies are those of
    /// the crowd.
    fn learn(self, seen: Self, waiting: bool) -> Self {
        let follow = |known: f64, seen: f64| match seen < known {
            true => seen,
            false if waiting => known,
            false => known + (seen - known) * FORGET,
        };
        Self {
            lowest_us: follow(self.lowest_us, seen.lowest_us),
            usual_us: follow(self.usual_us, seen.usual_us),
        }
    }
}

impl ConcurrencyLimit {
    pub(crate) fn new() -> Self {
        Self {
            limit: LIMIT_MIN,
            max: LIMIT_MIN,
            window_from: Mono::ZERO,
            answers: 0,
            lowest_us: f64::INFINITY,
            quiet: None,
        }
    }

    /// Takes the sum of the gates, which the limit never passes; it starts there.
    pub(crate) fn set_max(&mut self, gates: u32) {
        let max = f64::from(gates).max(LIMIT_MIN);
        let at_max = self.limit >= self.max;
        self.limit = if at_max { max } else { self.limit.min(max) };
        self.max = max;
    }

    pub(crate) fn has_room(&self, running: usize) -> bool {
        (running as f64) < self.limit
    }

    /// Takes the latency of an answer; `usual_us` is the usual one without waiting, `waiting`
    /// whether requests wait here.
    pub(crate) fn answered(&mut self, latency_us: f64, usual_us: f64, waiting: bool, now: Mono) {
        self.answers += 1;
        self.lowest_us = self.lowest_us.min(latency_us);
        if self.answers < WINDOW_ANSWERS || now.since(self.window_from) < WINDOW_MIN {
            return;
        }
        self.adjust(usual_us, waiting);
        self.window_from = now;
        self.answers = 0;
        self.lowest_us = f64::INFINITY;
    }

    fn adjust(&mut self, usual_us: f64, waiting: bool) {
        let seen = Quiet { lowest_us: self.lowest_us, usual_us };
        let quiet = *self.quiet.get_or_insert(seen);
        self.quiet = Some(quiet.learn(seen, waiting));
        if self.lowest_us > quiet.lowest_us + quiet.usual_us * WAIT_PART {
            self.limit = (self.limit * DECREASE).max(LIMIT_MIN);
        } else if waiting {
            let grown = self.limit * (1.0 + INCREASE_SHARE) + INCREASE;
            self.limit = grown.min(self.max);
        }
    }
}
