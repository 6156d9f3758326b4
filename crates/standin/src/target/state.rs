//! State of a target, shared by its handlers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use super::config::{ServiceTime, TargetConfig};
use super::faults::TargetFaults;
use super::load::{Load, LoadHistory};
use super::records::{Recorder, TargetRecords};
use crate::net::ConnectionState;

/// Factor by which the service times of a cold target are longer.
const COLD_SLOWDOWN: u32 = 10;

/// State shared by the work, probe and control handlers of one target.
#[derive(Debug)]
pub(super) struct TargetState {
    pub(super) config: TargetConfig,
    pub(super) slots: Arc<Semaphore>,
    pub(super) connections: ConnectionState,
    waiting: AtomicU64,
    faults: watch::Sender<FaultsInForce>,
    recorder: Mutex<Recorder>,
    history: Mutex<LoadHistory>,
    rng: Mutex<StdRng>,
}

#[derive(Debug, Clone, Copy)]
struct FaultsInForce {
    faults: TargetFaults,
    set_at: Instant,
}

/// Guard that counts one waiting request until it is dropped.
struct WaitingGuard<'a> {
    waiting: &'a AtomicU64,
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

impl TargetState {
    pub(super) fn new(config: TargetConfig) -> Self {
        let in_force = FaultsInForce { faults: TargetFaults::default(), set_at: Instant::now() };
        Self {
            slots: Arc::new(Semaphore::new(config.slots)),
            connections: ConnectionState::new(),
            waiting: AtomicU64::new(0),
            faults: watch::Sender::new(in_force),
            recorder: Mutex::default(),
            history: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(config.seed)),
            config,
        }
    }

    pub(super) fn faults(&self) -> TargetFaults {
        self.faults.borrow().faults
    }

    /// Replaces all faults.
    pub(super) fn set_faults(&self, faults: TargetFaults) {
        let now = Instant::now();
        self.recorder().set_draining(faults.draining, now);
        self.connections.set_faults(faults.connections);
        self.faults.send_replace(FaultsInForce { faults, set_at: now });
    }

    /// Adds draining to the faults in force.
    pub(super) fn start_draining(&self) {
        self.recorder().set_draining(true, Instant::now());
        self.faults.send_modify(|in_force| in_force.faults.draining = true);
    }

    /// Waits as long as the target is frozen.
    pub(super) async fn wait_while_frozen(&self) {
        let mut faults = self.faults.subscribe();
        // The sender lives as long as this state, so waiting cannot fail.
        let _ = faults.wait_for(|in_force| !in_force.faults.frozen).await;
    }

    /// Waits for a slot; returns `None` if the queue is full.
    pub(super) async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        let waiting_before = self.waiting.fetch_add(1, Ordering::Relaxed);
        let waiting = WaitingGuard { waiting: &self.waiting };
        if waiting_before >= self.config.queue_max as u64 && self.slots.available_permits() == 0 {
            return None;
        }
        self.record_load_sample();
        let slot = self.slots.clone().acquire_owned().await.ok();
        drop(waiting);
        self.record_load_sample();
        slot
    }

    /// Returns a random service time for the next request, adjusted for the faults in force.
    pub(super) fn service_time(&self) -> Duration {
        let time = self.draw_service_time();
        self.apply_slowdown(time)
    }

    /// Returns a service time adjusted for the faults in force.
    pub(super) fn apply_slowdown(&self, time: Duration) -> Duration {
        let FaultsInForce { faults, set_at } = *self.faults.borrow();
        let age_ms = u64::try_from(set_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let mut time = scale_by_permille(time, faults.slowdown_permille);
        if age_ms < faults.cold_ms {
            time *= COLD_SLOWDOWN;
        }
        match faults.noise {
            Some(noise) if (age_ms / noise.turn_ms.max(1)) % 2 == 1 => {
                scale_by_permille(time, noise.slowdown_permille)
            }
            _ => time,
        }
    }

    fn draw_service_time(&self) -> Duration {
        match self.config.service_time {
            ServiceTime::Constant(time) => time,
            ServiceTime::Exponential(mean) => {
                let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
                let uniform: f64 = rng.random();
                mean.mul_f64(-(1.0 - uniform).ln())
            }
        }
    }

    /// Returns the current load.
    pub(super) fn load(&self) -> Load {
        let busy = self.config.slots.saturating_sub(self.slots.available_permits());
        let queue = self.waiting.load(Ordering::Relaxed);
        Load {
            utilization_permille: (busy * 1000 / self.config.slots.max(1)) as u64,
            queue,
            in_flight: queue + busy as u64,
            rps: self.recorder().rps(Instant::now()),
            draining: self.faults().draining,
        }
    }

    /// Returns the load that the target reports, which faults may falsify; `None` if a fault
    /// suppresses reports.
    pub(super) fn reported_load(&self) -> Option<Load> {
        let faults = self.faults();
        if faults.report.missing {
            return None;
        }
        let mut load = self.load();
        if faults.report.lag_ms > 0 {
            let lag = Duration::from_millis(faults.report.lag_ms);
            load = self.history().load_before(lag, Instant::now());
            load.draining = faults.draining;
        }
        if let Some(reported) = faults.report.utilization_permille {
            load = Load { utilization_permille: reported, queue: 0, in_flight: 0, ..load };
        }
        Some(load)
    }

    pub(super) fn recorder(&self) -> MutexGuard<'_, Recorder> {
        self.recorder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn records(&self) -> TargetRecords {
        self.recorder().records(self.connections.counts())
    }

    /// Resets all records, but keeps the target draining if it is.
    pub(super) fn reset_records(&self) {
        let draining = self.faults().draining;
        let mut recorder = self.recorder();
        *recorder = Recorder::default();
        recorder.set_draining(draining, Instant::now());
    }

    fn record_load_sample(&self) {
        if self.faults().report.lag_ms == 0 {
            return;
        }
        let load = self.load();
        self.history().push(load, Instant::now());
    }

    fn history(&self) -> MutexGuard<'_, LoadHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn scale_by_permille(time: Duration, permille: u64) -> Duration {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(micros.saturating_mul(permille) / 1000)
}
