//! How many connections this process may open and hold to each target.

use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_types::{Mono, PerSecond, TargetId};

use crate::FleetShare;
use crate::probe_plan::WINDOW;

/// How many connections may be opened to each target, over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections in any second to one target; each takes about 1 ms of it, as the users measured.
    pub new_connections: PerSecond,
}

impl Default for ConnectionLimits {
    /// 144 a second: 7 parts in 100 of a target with two slots if all entries reconnect at once.
    fn default() -> Self {
        Self { new_connections: PerSecond::new(144) }
    }
}

/// Leave to open one connection now; give it back with `ConnectionBudget::release`.
#[derive(Debug, PartialEq, Eq)]
pub struct ConnectionPermit {
    target: TargetId,
}

#[derive(Debug)]
struct Opening {
    /// No new connection before this time.
    next: Mono,
    outstanding: bool,
}

/// Spaces new connections and bounds open ones by this process's fixed share.
///
/// The fleet's sum holds for the same reasons as that of probes (see `ProbeScheduler`): no view of
/// peers enters, a new process waits one spacing, and the spacing counts from the end of the
/// attempt to connect.
#[derive(Debug)]
pub struct ConnectionBudget {
    limits: ConnectionLimits,
    share: FleetShare,
    targets: BTreeMap<TargetId, Opening>,
}

impl ConnectionBudget {
    /// A budget without targets.
    pub fn new(limits: ConnectionLimits, share: FleetShare) -> Self {
        Self { limits, share, targets: BTreeMap::new() }
    }

    /// Takes the list of targets. New ones may be connected to after one spacing.
    pub fn set_targets(&mut self, targets: &[TargetId], now: Mono) {
        let gone: Vec<TargetId> =
            self.targets.keys().filter(|known| !targets.contains(known)).cloned().collect();
        self.change_targets(&gone, targets, now);
    }

    /// Takes a change of the list: targets that are gone, and targets that may be new.
    pub fn change_targets(&mut self, gone: &[TargetId], present: &[TargetId], now: Mono) {
        for target in gone {
            self.targets.remove(target);
        }
        let next = now.plus(self.spacing());
        for target in present {
            let first = || Opening { next, outstanding: false };
            self.targets.entry(target.clone()).or_insert_with(first);
        }
    }

    /// How many connections this process may hold open to a target that takes `connections_max`.
    ///
    /// At least one: a fleet larger than the limit could not reach the target at all otherwise.
    pub fn open_max(&self, connections_max: u32) -> u32 {
        (connections_max / self.share.count()).max(1)
    }

    /// Leave to open a connection at this moment; otherwise when to ask again.
    ///
    /// # Errors
    /// The earliest time to ask again; `None` when the target is unknown or another connection
    /// is being opened, whose end is to be awaited.
    pub fn try_acquire(
        &mut self,
        target: &TargetId,
        now: Mono,
    ) -> Result<ConnectionPermit, Option<Mono>> {
        let opening = self.targets.get_mut(target).ok_or(None)?;
        if opening.outstanding {
            return Err(None);
        }
        if now < opening.next {
            return Err(Some(opening.next));
        }
        opening.outstanding = true;
        Ok(ConnectionPermit { target: target.clone() })
    }

    /// Notes that an attempt to connect ended, either way.
    pub fn release(&mut self, permit: ConnectionPermit, now: Mono) {
        let next = now.plus(self.spacing());
        if let Some(opening) = self.targets.get_mut(&permit.target) {
            *opening = Opening { next, outstanding: false };
        }
    }

    /// Time between two new connections of this process to a target.
    ///
    /// Where the budget has less than one connection a second for each share, every process must
    /// still reach the target: the budget then holds over the spacing instead of the second.
    pub fn spacing(&self) -> Duration {
        let fleet_a_second = f64::from(self.limits.new_connections.value());
        let own_a_second = fleet_a_second / f64::from(self.share.count());
        if own_a_second >= 1.0 {
            return WINDOW.div_f64(own_a_second.floor());
        }
        WINDOW.div_f64(own_a_second.max(SLOWEST_A_SECOND))
    }
}

/// A share below this rate still opens a connection in 100 s, to reach the target at all.
const SLOWEST_A_SECOND: f64 = 0.01;
