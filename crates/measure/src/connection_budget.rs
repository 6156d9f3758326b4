//! How many connections this process may open and hold to each target.

use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_types::{Mono, Permille, TargetId};

use crate::probe_plan::WINDOW;
use crate::{FleetShare, MeasuredTarget};

const SLOT_US_PER_SECOND: u64 = 1_000_000;

/// What connections may cost each target, over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Share of the target's time that opening connections may take in any second.
    pub share: Permille,
    /// Target time that opening one connection takes.
    pub open_cost: Duration,
}

impl Default for ConnectionLimits {
    /// A tenth of the target's time; 1 ms a connection, as the users measured.
    fn default() -> Self {
        Self { share: Permille::new(100), open_cost: Duration::from_millis(1) }
    }
}

/// Leave to open one connection now; give it back with `ConnectionBudget::finished`.
#[derive(Debug, PartialEq, Eq)]
pub struct ConnectionPermit {
    target: TargetId,
}

#[derive(Debug)]
struct Opening {
    slots: u32,
    /// No new connection before this time.
    next: Mono,
    outstanding: bool,
}

/// Spaces new connections and bounds open ones by this process's fixed share.
///
/// The fleet's sum holds for the same reasons as that of probes (see `ProbePlan`): no view of
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
    pub fn set_targets(&mut self, targets: &[MeasuredTarget], now: Mono) {
        let mut kept = BTreeMap::new();
        for target in targets {
            let opening = match self.targets.remove(&target.id) {
                Some(old) if old.slots == target.slots => old,
                _ => self.first(target.slots, now),
            };
            kept.insert(target.id.clone(), opening);
        }
        self.targets = kept;
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
    pub fn take(&mut self, target: &TargetId, now: Mono) -> Result<ConnectionPermit, Option<Mono>> {
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
    pub fn finished(&mut self, permit: ConnectionPermit, now: Mono) {
        let Some(slots) = self.targets.get(&permit.target).map(|opening| opening.slots) else {
            return;
        };
        let next = now.plus(self.spacing(slots));
        self.targets.insert(permit.target, Opening { slots, next, outstanding: false });
    }

    /// Time between two new connections of this process to a target with `slots`.
    ///
    /// Where the budget has less than one connection a second for each share, every process must
    /// still reach the target: the budget then holds over the spacing instead of the second.
    pub fn spacing(&self, slots: u32) -> Duration {
        let budget_us = self.limits.share.of(u64::from(slots) * SLOT_US_PER_SECOND);
        let cost_us = u64::try_from(self.limits.open_cost.as_micros()).unwrap_or(u64::MAX).max(1);
        let fleet_a_second = budget_us / cost_us;
        let own_a_second = fleet_a_second as f64 / f64::from(self.share.count());
        if own_a_second >= 1.0 {
            return WINDOW.div_f64(own_a_second.floor());
        }
        WINDOW.div_f64(own_a_second.max(SLOWEST_A_SECOND))
    }

    fn first(&self, slots: u32, now: Mono) -> Opening {
        Opening { slots, next: now.plus(self.spacing(slots)), outstanding: false }
    }
}

/// A share below this rate still opens a connection in 100 s, to reach the target at all.
const SLOWEST_A_SECOND: f64 = 0.01;
