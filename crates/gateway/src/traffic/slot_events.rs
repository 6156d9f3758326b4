//! Logs what the slots of a service learn about its targets.

use shallotfork_balance::{RejectionCounts, StateChange, TargetStateChange};
use shallotfork_events::{
    RANDOM_REJECTIONS, RANDOM_REJECTIONS_ENDED, TARGET_EJECTED, TARGET_RETURNED, event,
};
use shallotfork_types::Mono;

use crate::traffic::service_slots::{Inner, ServiceSlots};

/// A change of whether targets reject requests at random.
#[derive(Debug, Clone, Copy)]
pub(super) struct RejectionChange {
    is_random: bool,
    counts: RejectionCounts,
}

impl Inner {
    /// Returns the change since the last call, if there was one.
    pub(super) fn take_rejection_change(&mut self, now: Mono) -> Option<RejectionChange> {
        let is_random = self.pool.rejects_at_random(now);
        if is_random == self.logged_random_rejections {
            return None;
        }
        self.logged_random_rejections = is_random;
        Some(RejectionChange { is_random, counts: self.pool.rejection_counts(now) })
    }
}

impl ServiceSlots {
    /// Logs the end of random rejections if it follows from the time passed without a request.
    pub fn update_rejections(&self) {
        let now = self.clock.now();
        let change = self.lock().take_rejection_change(now);
        self.log_rejection_change(change);
    }

    pub(super) fn log_rejection_change(&self, change: Option<RejectionChange>) {
        let Some(RejectionChange { is_random, counts }) = change else { return };
        let service = self.name.as_str();
        if !is_random {
            event!(self.log, RANDOM_REJECTIONS_ENDED, "service" => service);
            return;
        }
        event!(self.log, RANDOM_REJECTIONS,
            "service" => service,
            "attempts" => counts.attempts,
            "rejected_free" => counts.rejected_free,
            "rejected_full" => counts.rejected_full,
            "targets" => counts.tried_targets,
            "rejecting" => counts.rejecting_targets,
        );
    }

    pub(super) fn log_state_changes(&self, changes: &[TargetStateChange]) {
        for TargetStateChange { target, change } in changes {
            let (service, target) = (self.name.as_str(), target.as_str());
            match change {
                StateChange::Ejected { failures, pause } => {
                    let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
                    event!(self.log, TARGET_EJECTED, "service" => service, "target" => target,
                        "failures" => *failures, "pause_ms" => pause_ms);
                }
                StateChange::Returned => {
                    event!(self.log, TARGET_RETURNED, "service" => service, "target" => target);
                }
            }
        }
    }
}
