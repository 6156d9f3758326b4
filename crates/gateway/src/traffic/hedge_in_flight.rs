//! A hedge in flight, whose result is recorded when it ends.

use std::sync::Arc;

use shallotfork_balance::{HedgeResult, WorkClass};
use shallotfork_types::Mono;

use crate::context::Context;
use crate::traffic::hedge_report::{HedgeReport, count_hedge};
use crate::traffic::service_slots::ServiceSlots;

/// Records the result of a hedge when dropped. A hedge that is dropped without a result was
/// cancelled: it is lost.
pub struct HedgeInFlight<'a> {
    context: &'a Context,
    slots: &'a Arc<ServiceSlots>,
    class: WorkClass,
    is_early: bool,
    sent_at: Mono,
    result: HedgeResult,
    report: &'a mut HedgeReport,
}

impl<'a> HedgeInFlight<'a> {
    /// Creates the record of a hedge that is sent now.
    pub fn new(
        context: &'a Context,
        slots: &'a Arc<ServiceSlots>,
        class: WorkClass,
        is_early: bool,
        report: &'a mut HedgeReport,
    ) -> Self {
        let sent_at = context.clock.now();
        Self { context, slots, class, is_early, sent_at, result: HedgeResult::Lost, report }
    }

    /// Ends the hedge with a result.
    pub fn end(mut self, result: HedgeResult) {
        self.result = result;
    }
}

impl Drop for HedgeInFlight<'_> {
    fn drop(&mut self) {
        *self.report = HedgeReport::Sent(self.result);
        count_hedge(self.result, self.is_early);
        if self.is_early {
            let duration = self.context.clock.now().since(self.sent_at);
            self.slots.record_early_hedge(&self.class, self.result, duration);
        }
    }
}
