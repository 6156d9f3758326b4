//! How many requests this process may have in flight to all targets together.

/// Lowest limit: with less than one, the service would not be tried any more.
const LIMIT_MIN: f64 = 1.0;
/// Part that a crowded answer takes off the limit.
const DECREASE: f64 = 0.04;
/// What an answer without crowding adds to the limit while requests wait.
const INCREASE: f64 = 0.1;

/// Additive increase, multiplicative decrease by what answers say of crowding at targets.
///
/// Gates alone don't bound the queues at targets: fourteen processes that each keep two requests
/// at a target with two slots queue 26 there, where no deadline or priority is looked at. All
/// processes see the same crowding, so each goes down to its share without knowing how many
/// there are, as flows do that share a link.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    max: f64,
}

impl ConcurrencyLimit {
    pub(crate) fn new() -> Self {
        Self { limit: LIMIT_MIN, max: LIMIT_MIN }
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

    pub(crate) fn answered(&mut self, crowded: bool, waiting: bool) {
        if crowded {
            self.limit = (self.limit * (1.0 - DECREASE)).max(LIMIT_MIN);
        } else if waiting {
            self.limit = (self.limit + INCREASE).min(self.max);
        }
    }
}
