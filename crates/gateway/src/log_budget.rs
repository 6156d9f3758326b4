//! Bounds the number of log lines per second.

use std::sync::Mutex;

use shallotfork_types::{Mono, PerSecond};

use crate::context::lock;

const SECOND_US: u64 = 1_000_000;

/// Limit on log lines of one kind. A busy process could write more lines about successful requests
/// than anybody reads. Lines about failures, rejections and state changes are never suppressed:
/// they are fewer and explain problems.
#[derive(Debug)]
pub struct LogBudget {
    limit: PerSecond,
    window: Mutex<LogWindow>,
}

#[derive(Debug, Default)]
struct LogWindow {
    second: u64,
    lines: u32,
    left_out: u64,
}

/// Whether a log line may be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogDecision {
    /// The line may be written.
    Write {
        /// Lines suppressed since the last one that was written.
        left_out: u64,
    },
    /// The line is suppressed and counted.
    Suppress,
}

impl LogBudget {
    /// Creates a budget of `limit` lines in each second.
    pub fn new(limit: PerSecond) -> Self {
        Self { limit, window: Mutex::default() }
    }

    /// Requests permission to write one line.
    pub fn try_acquire(&self, now: Mono) -> LogDecision {
        let mut window = lock(&self.window);
        let second = now.as_micros() / SECOND_US;
        if window.second != second {
            window.second = second;
            window.lines = 0;
        }
        if window.lines >= self.limit.value() {
            window.left_out += 1;
            return LogDecision::Suppress;
        }
        window.lines += 1;
        LogDecision::Write { left_out: std::mem::take(&mut window.left_out) }
    }
}
