//! What became of the hedge of a request, for metrics and logs.

use metrics::counter;
use shallotfork_balance::HedgeResult;

/// Reason why a request was not hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum NoHedge {
    /// The limits allow no further attempt.
    NoAttemptLeft,
    /// No other target had a slot for a hedge, or requests waited.
    NoFreeTarget,
    /// There was no room for a second large answer.
    NoRoom,
    /// The allowance of repeats did not permit a hedge.
    NoAllowance,
    /// The request is suspected to crash targets.
    Quarantine,
    /// The hedge was not due before the objective, or before the attempt ended.
    #[default]
    TooLate,
    /// The request must not run more than once.
    NotIdempotent,
}

impl NoHedge {
    /// Returns the name of the reason in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoAttemptLeft => "no-attempt-left",
            Self::NoFreeTarget => "no-free-target",
            Self::NoRoom => "no-room",
            Self::NoAllowance => "no-allowance",
            Self::Quarantine => "quarantine",
            Self::TooLate => "too-late",
            Self::NotIdempotent => "not-idempotent",
        }
    }
}

/// What became of the hedge of a request. Of several hedges of a request, the last one counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeReport {
    /// A hedge was sent.
    Sent(HedgeResult),
    /// No hedge was sent.
    NotSent(NoHedge),
}

impl Default for HedgeReport {
    fn default() -> Self {
        Self::NotSent(NoHedge::default())
    }
}

impl HedgeReport {
    /// Records why an attempt was not hedged, unless an earlier one was.
    pub fn record_not_sent(&mut self, reason: NoHedge) {
        if let Self::NotSent(known) = self {
            *known = reason;
        }
    }

    /// Returns the text for the log line of a request. The reason for no hedge is given only if the
    /// request was late.
    pub fn log_text(self, is_late: bool) -> &'static str {
        match self {
            Self::Sent(result) => result.as_str(),
            Self::NotSent(reason) if is_late => reason.as_str(),
            Self::NotSent(_) => "",
        }
    }

    /// Counts a late request without a hedge.
    pub fn count_late(self) {
        if let Self::NotSent(reason) = self {
            counter!("shallotfork_late_without_hedge", "reason" => reason.as_str()).increment(1);
        }
    }
}

/// Counts the result of a hedge.
pub fn count_hedge(result: HedgeResult, is_early: bool) {
    let kind = if is_early { "early" } else { "usual" };
    counter!("shallotfork_hedges", "kind" => kind, "result" => result.as_str()).increment(1);
}
