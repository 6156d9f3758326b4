//! Permission for retries and hedges.

use metrics::counter;
use shallotfork_balance::{RepeatClass, RetryAllowance};

use crate::traffic::routed_request::RoutedRequest;
use crate::traffic::service_slots::ServiceSlots;

/// Returns the class of a retry.
pub fn retry_class(routed: &RoutedRequest, slots: &ServiceSlots) -> RepeatClass {
    let answered_at = routed.context.clock.now().plus(slots.usual_time(&routed.class()));
    let is_late = answered_at > routed.objective;
    let rank = routed.route.priority.rank();
    if routed.has_returned() {
        RepeatClass::Returned { rank, is_late }
    } else {
        RepeatClass::First { rank, is_late }
    }
}

impl ServiceSlots {
    /// Acquires permission for a hedge. Returns whether the allowance still permits one.
    pub fn try_acquire_retry(&self, allowance: RetryAllowance) -> bool {
        self.try_acquire_repeat(RepeatClass::Hedge, allowance)
    }

    /// Acquires permission for a repeat. Returns whether the allowance still permits one; while
    /// targets reject at random, this depends on its class.
    pub fn try_acquire_repeat(&self, class: RepeatClass, allowance: RetryAllowance) -> bool {
        let now = self.clock.now();
        let mut inner = self.lock();
        let is_granted = if inner.pool.rejects_at_random(now) {
            inner.repeats.try_acquire_ranked(class, allowance, now)
        } else {
            inner.repeats.try_acquire(allowance, now)
        };
        drop(inner);
        let outcome = if is_granted { "granted" } else { "refused" };
        counter!("shallotfork_repeats", "use" => class.use_str(), "class" => class.as_str(),
            "outcome" => outcome)
        .increment(1);
        is_granted
    }
}
