//! What the parts of one process share.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use shallotfork_balance::{PriorWaitEstimator, SlotPoolConfig};
use shallotfork_events::slog::Logger;
use shallotfork_exchange::{BodyBudget, ServeControl, TargetConnections};
use shallotfork_lifecycle::Phase;
use shallotfork_measure::{RateLimits, SchedulingDelay};
use shallotfork_quarantine::{FingerprintKey, Quarantine};
use shallotfork_routes::{Route, RouteName, Splitter};
use shallotfork_timer::Clock;
use shallotfork_types::{Incarnation, Mono, ServiceName};
use tokio::sync::{Notify, watch};

use crate::dialect::Dialect;
use crate::line_budget::LineBudget;
use crate::settings::GatewaySettings;
use crate::snapshot::{Fleet, Published};
use crate::traffic::{ProbeCounts, ServiceSlots};

/// Work that waits longer than this for the processor makes callers notice; a busy process has shorter
/// waits.
const BEHIND_FROM: Duration = Duration::from_millis(50);

/// Time after the last answer is due in which requests that know of it end by themselves.
const OWN_END_MAX: Duration = Duration::from_millis(50);

/// Shared by the control thread and the traffic threads.
pub struct Context {
    /// Settings.
    pub settings: GatewaySettings,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Header names and forms of the platform.
    pub dialect: Dialect,
    /// The monotonic clock.
    pub clock: Clock,
    /// The logger.
    pub log: Logger,
    /// State of the life cycle.
    pub phase: watch::Receiver<Phase>,
    /// What is published.
    pub published: ArcSwap<Published>,
    /// Which entries live.
    pub fleet: ArcSwap<Fleet>,
    /// The callers' port.
    pub callers: ServeControl,
    /// Connections to targets.
    pub links: TargetConnections,
    /// How questions to targets for their load ended.
    pub probe_counts: ProbeCounts,
    /// Bytes of bodies held.
    pub bodies: BodyBudget,
    /// Slots of each service.
    pub services: Services,
    /// Signalled when a request begins to wait for a slot.
    pub waits: Arc<Notify>,
    /// Shares of services within a route.
    pub splitter: Mutex<Splitter>,
    /// Deadlines seen on each route.
    pub deadlines: Deadlines,
    /// When the last answer of a stopping process is due; `None` while it does not stop.
    pub last_answer: watch::Sender<Option<Mono>>,
    /// Bounds the lines about requests that went well.
    pub lines: LineBudget,
    /// Bounds the lines about what targets say that is not valid.
    pub invalid_lines: LineBudget,
    /// Signalled when a request begins.
    pub begins: Notify,
    /// How late the traffic threads do their work.
    pub lateness: Mutex<SchedulingDelay>,
    /// Rate limits advertised by targets.
    pub rate_limits: Mutex<RateLimits>,
    /// Key for request fingerprints.
    pub fingerprint_key: FingerprintKey,
    /// Crash records of requests, shared by the traffic and control threads.
    pub quarantine: Mutex<Quarantine>,
}

impl Context {
    /// How long this process has run; its clock begins with it.
    pub fn age(&self) -> Duration {
        self.clock.now().since(Mono::ZERO)
    }

    /// The service for the next request of a route.
    pub fn choose_service(&self, route: &Route) -> ServiceName {
        lock(&self.splitter).next(route)
    }

    /// The slots of a service.
    pub fn slots(&self, service: &ServiceName) -> Arc<ServiceSlots> {
        let window = self.settings.retry_window;
        let near = Some(self.settings.failure_domain.clone());
        let name = self.settings.vm.to_string();
        let config = || SlotPoolConfig { name, failure_domain: near, ..SlotPoolConfig::default() };
        self.services.get(service, || {
            let waits = Arc::clone(&self.waits);
            ServiceSlots::new(
                service.clone(),
                config(),
                window,
                self.clock,
                self.log.clone(),
                waits,
            )
        })
    }

    /// Has every request answered by then, also one whose own deadline is later: the process ends
    /// soon after, and would cut it off.
    pub fn answer_by(&self, end: Mono) {
        self.last_answer.send_replace(Some(end));
    }

    /// Ends when a stopping process can't wait for a request any longer.
    pub async fn answers_are_due(&self) {
        let mut last_answer = self.last_answer.subscribe();
        let Ok(Some(end)) = last_answer.wait_for(Option::is_some).await.map(|end| *end) else {
            return std::future::pending().await;
        };
        let end = end.plus(OWN_END_MAX);
        tokio::time::sleep(end.since(self.clock.now())).await;
    }

    /// How late the traffic threads do their work.
    pub fn late_by(&self) -> Duration {
        lock(&self.lateness).at(self.clock.now())
    }

    /// Whether work waits for the processor.
    pub fn is_behind(&self) -> bool {
        self.late_by() >= BEHIND_FROM
    }

    /// A piece of work was done so much later than planned.
    pub fn note_lateness(&self, late: Duration) {
        lock(&self.lateness).record(late, self.clock.now());
    }

    /// Whether callers are told to come here.
    pub fn is_serving(&self) -> bool {
        *self.phase.borrow() == Phase::Serving
    }
}

/// The slots of each service; a service comes into being when it is first named.
#[derive(Debug, Default)]
pub struct Services {
    by_name: Mutex<HashMap<ServiceName, Arc<ServiceSlots>>>,
}

impl Services {
    /// The slots of a service, made by `new` if it is not known yet.
    pub fn get(
        &self,
        service: &ServiceName,
        new: impl FnOnce() -> Arc<ServiceSlots>,
    ) -> Arc<ServiceSlots> {
        let mut by_name = lock(&self.by_name);
        Arc::clone(by_name.entry(service.clone()).or_insert_with(new))
    }

    /// Every service known.
    pub fn all(&self) -> Vec<(ServiceName, Arc<ServiceSlots>)> {
        let by_name = lock(&self.by_name);
        by_name.iter().map(|(name, slots)| (name.clone(), Arc::clone(slots))).collect()
    }
}

/// What is known of the deadlines that callers of each route send.
#[derive(Debug, Default)]
pub struct Deadlines {
    by_route: Mutex<HashMap<RouteName, PriorWaitEstimator>>,
}

impl Deadlines {
    /// How long a caller with this deadline had waited before it came here, at least.
    pub fn waited(&self, route: &RouteName, deadline: Duration) -> Duration {
        let mut by_route = lock(&self.by_route);
        let known =
            by_route.entry(route.clone()).or_insert_with(|| PriorWaitEstimator::new(deadline));
        known.estimate(deadline)
    }
}

/// Takes a lock whose holders never leave its content half changed.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
