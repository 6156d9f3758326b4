//! Limits on the connections that this process opens and holds to each target.

use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_types::{Mono, PerSecond, TargetId};

use crate::FleetShare;
use crate::probe_scheduler::BUDGET_WINDOW;

/// Fleet-wide limits on new connections to each target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// New connections to one target in any second; each takes about 1 ms of the target's time.
    pub new_connections: PerSecond,
}

impl Default for ConnectionLimits {
    /// Allows 144 per second, which take about 7% of the time of a target with two slots if all
    /// entries reconnect at once.
    fn default() -> Self {
        Self { new_connections: PerSecond::new(144) }
    }
}

/// Permit to open one connection immediately; return it with [`ConnectionBudget::release`].
#[derive(Debug, PartialEq, Eq)]
pub struct ConnectionPermit {
    target: TargetId,
}

#[derive(Debug)]
struct ConnectionSchedule {
    /// Earliest time of the next connection attempt.
    next_at: Mono,
    is_outstanding: bool,
}

/// Spaces new connections and limits open ones according to this process's fixed share.
///
/// The fleet-wide limit holds for the same reasons as that of probes (see
/// [`ProbeScheduler`](crate::ProbeScheduler)): it does not depend on a view of the fleet, a new
/// process waits for one spacing, and the spacing is counted from the end of a connection attempt.
#[derive(Debug)]
pub struct ConnectionBudget {
    limits: ConnectionLimits,
    share: FleetShare,
    targets: BTreeMap<TargetId, ConnectionSchedule>,
}

impl ConnectionBudget {
    /// Creates a budget without targets.
    pub fn new(limits: ConnectionLimits, share: FleetShare) -> Self {
        Self { limits, share, targets: BTreeMap::new() }
    }

    /// Sets the list of targets. New ones may be connected to after one spacing.
    pub fn set_targets(&mut self, targets: &[TargetId], now: Mono) {
        let removed: Vec<TargetId> =
            self.targets.keys().filter(|known| !targets.contains(known)).cloned().collect();
        self.change_targets(&removed, targets, now);
    }

    /// Updates the list of targets: those of `removed` are deleted, and those of `present` that are
    /// unknown are added.
    pub fn change_targets(&mut self, removed: &[TargetId], present: &[TargetId], now: Mono) {
        for target in removed {
            self.targets.remove(target);
        }
        let next_at = now.plus(self.spacing());
        for target in present {
            let new_schedule = || ConnectionSchedule { next_at, is_outstanding: false };
            self.targets.entry(target.clone()).or_insert_with(new_schedule);
        }
    }

    /// Returns how many open connections this process may hold to a target that accepts
    /// `connections_max`.
    ///
    /// The minimum is one, because processes of a fleet larger than the limit could not reach the
    /// target otherwise.
    pub fn open_max(&self, connections_max: u32) -> u32 {
        (connections_max / self.share.count()).max(1)
    }

    /// Returns a permit to open a connection now.
    ///
    /// # Errors
    /// Returns the earliest time to try again; `None` if the target is unknown or another
    /// connection attempt is in progress, whose end must be awaited.
    pub fn try_acquire(
        &mut self,
        target: &TargetId,
        now: Mono,
    ) -> Result<ConnectionPermit, Option<Mono>> {
        let schedule = self.targets.get_mut(target).ok_or(None)?;
        if schedule.is_outstanding {
            return Err(None);
        }
        if now < schedule.next_at {
            return Err(Some(schedule.next_at));
        }
        schedule.is_outstanding = true;
        Ok(ConnectionPermit { target: target.clone() })
    }

    /// Takes back the permit of a connection attempt that has succeeded or failed.
    pub fn release(&mut self, permit: ConnectionPermit, now: Mono) {
        let next_at = now.plus(self.spacing());
        if let Some(schedule) = self.targets.get_mut(&permit.target) {
            *schedule = ConnectionSchedule { next_at, is_outstanding: false };
        }
    }

    /// Returns the interval between two new connections of this process to a target.
    ///
    /// If the budget allows less than one connection per second and share, it is kept over the
    /// spacing instead of over a second, so that every process can still reach the target.
    pub fn spacing(&self) -> Duration {
        let fleet_per_second = f64::from(self.limits.new_connections.value());
        let own_per_second = fleet_per_second / f64::from(self.share.count());
        if own_per_second >= 1.0 {
            return BUDGET_WINDOW.div_f64(own_per_second.floor());
        }
        BUDGET_WINDOW.div_f64(own_per_second.max(MIN_RATE_PER_SECOND))
    }
}

/// Minimum rate of a share: one connection in 100 s, so that every process can reach the target.
const MIN_RATE_PER_SECOND: f64 = 0.01;
