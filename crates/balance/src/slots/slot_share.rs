//! The share of a service's slots that this process may use before others come first.

use shallotfork_types::PartsPerMillion;

use super::SlotPool;

/// All usable slots of a service.
const WHOLE_PPM: u32 = 1_000_000;

impl SlotPool {
    /// Returns whether this process already uses its share of the usable slots: the share by demand,
    /// or an equal one.
    ///
    /// Under overload a process reuses a slot that it has freed before another process learns of
    /// it, so that an uneven distribution persists: of three processes with equal load one rejected
    /// 300 requests a second and the others ten. A process that has reached its share leaves slots
    /// in other failure domains to the processes there. One with less takes any free slot, since
    /// its own failure domain may have few.
    pub(super) fn has_reached_share(&self) -> bool {
        let Some(share) = self.demand_share else {
            return self.attempts.len() * self.sharers.len().max(1) >= self.usable_slots() as usize;
        };
        let used = self.attempts.len() as u64 * u64::from(WHOLE_PPM);
        used >= u64::from(self.usable_slots()) * u64::from(share.value())
    }

    /// Sets the share of the usable slots for this process; `None` if all sharers have equal shares.
    /// Rate limits and warm-up rates are divided equally in any case.
    pub fn set_demand_share(&mut self, share: Option<PartsPerMillion>) {
        self.demand_share = share;
    }

    /// Returns the share of the usable slots for this process: the share by demand, or an equal one.
    pub fn slot_share(&self) -> PartsPerMillion {
        let count = u32::try_from(self.sharers.len().max(1)).unwrap_or(u32::MAX);
        self.demand_share.unwrap_or(PartsPerMillion::new(WHOLE_PPM / count))
    }
}
