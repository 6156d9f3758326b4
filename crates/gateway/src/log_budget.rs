//! Bounds the lines that are logged about requests.

use std::sync::Mutex;

use shallotfork_types::{Mono, PerSecond};

use crate::context::lock;

const SECOND_US: u64 = 1_000_000;

/// Lines about requests that went well, of which a busy process could write more than anybody
/// reads. Lines about failures, refusals and changes of belief are not counted: they are fewer, and
/// those that explain something.
#[derive(Debug)]
pub struct LogBudget {
    limit: PerSecond,
    used: Mutex<Used>,
}

#[derive(Debug, Default)]
struct Used {
    second: u64,
    lines: u32,
    left_out: u64,
}

/// Whether a line may be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogDecision {
    /// It may; so many were left out before it.
    Write {
        /// Lines left out since the last one that was written.
        left_out: u64,
    },
    /// It is left out, and counted.
    Suppress,
}

impl LogBudget {
    /// Allows so many lines in each second.
    pub fn new(limit: PerSecond) -> Self {
        Self { limit, used: Mutex::default() }
    }

    /// Asks for one line.
    pub fn try_acquire(&self, now: Mono) -> LogDecision {
        let mut used = lock(&self.used);
        let second = now.as_micros() / SECOND_US;
        if used.second != second {
            used.second = second;
            used.lines = 0;
        }
        if used.lines >= self.limit.value() {
            used.left_out += 1;
            return LogDecision::Suppress;
        }
        used.lines += 1;
        LogDecision::Write { left_out: std::mem::take(&mut used.left_out) }
    }
}
