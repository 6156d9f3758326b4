//! A limit on repeated sends in every sliding window of time.

use std::collections::VecDeque;
use std::time::Duration;

use shallotfork_types::{Mono, Permille};

/// Parts of a window that are counted together. One part more than a window is kept, so that every
/// window lies whole within what is counted, wherever it begins.
const PARTS: u32 = 10;

/// How many repeated sends a process may make in a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryAllowance {
    /// Share of the requests of the window.
    pub share: Permille,
    /// Added to that share, whatever the number of requests.
    pub extra: u32,
}

/// Counts requests and repeated sends of one service.
///
/// Retries feed an overload: each one takes a slot from a first attempt. The users bound them over
/// all processes in every window; each process gets an allowance such that the sum keeps the
/// bound, so that no message between processes is needed.
#[derive(Debug)]
pub struct RetryWindow {
    part_us: u64,
    parts: VecDeque<Part>,
}

#[derive(Debug)]
struct Part {
    number: u64,
    requests: u64,
    repeats: u64,
}

impl RetryWindow {
    /// Nothing has been sent yet.
    pub fn new(window: Duration) -> Self {
        let part_us = u64::try_from((window / PARTS).as_micros()).unwrap_or(u64::MAX).max(1);
        Self { part_us, parts: VecDeque::new() }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Mono) {
        self.part(now).requests += 1;
    }

    /// Counts one more send of a request, if the allowance has room; whether it does.
    pub fn try_acquire(&mut self, allowance: RetryAllowance, now: Mono) -> bool {
        self.part(now);
        let requests: u64 = self.parts.iter().map(|part| part.requests).sum();
        let repeats: u64 = self.parts.iter().map(|part| part.repeats).sum();
        let room = repeats < allowance.share.of(requests) + u64::from(allowance.extra);
        if room {
            self.part(now).repeats += 1;
        }
        room
    }

    fn part(&mut self, now: Mono) -> &mut Part {
        let number = now.as_micros() / self.part_us;
        let oldest = number.saturating_sub(u64::from(PARTS));
        while self.parts.front().is_some_and(|part| part.number < oldest) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.number != number) {
            self.parts.push_back(Part { number, requests: 0, repeats: 0 });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
