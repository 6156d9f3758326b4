//! State shared by the threads of one entry process.

use std::collections::HashMap;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use shallotfork_balance::{PriorWaitEstimator, SlotPoolConfig};
use shallotfork_events::slog::Logger;
use shallotfork_exchange::{BodyBudget, ServeControl, ServedConnections, TargetConnections};
use shallotfork_lifecycle::Phase;
use shallotfork_measure::{RateLimits, SchedulingDelay};
use shallotfork_quarantine::{FingerprintKey, Quarantine};
use shallotfork_reachability::PathMonitor;
use shallotfork_routes::{Route, RouteName, Splitter};
use shallotfork_statements::{FaultyTargets, LeavingTargets, Rests};
use shallotfork_timer::Clock;
use shallotfork_types::{Incarnation, Mono, ServiceName};
use tokio::sync::{Notify, watch};

use crate::dialect::Dialect;
use crate::large::LargeAnswers;
use crate::log_budget::LogBudget;
use crate::settings::GatewaySettings;
use crate::snapshot::{FleetSnapshot, Published};
use crate::traffic::{ProbeCounters, ServiceSlots};

/// Scheduling delay from which the process counts as overloaded. Callers notice longer delays; a
/// process that is merely busy has shorter ones.
const OVERLOAD_THRESHOLD: Duration = Duration::from_millis(50);

/// Time after the answer deadline before unfinished requests are cut short. Requests that know the
/// deadline end by themselves within this time.
const ANSWER_DEADLINE_SLACK: Duration = Duration::from_millis(50);

/// State shared by the control thread and the traffic threads.
pub struct Context {
    /// Settings of this entry.
    pub settings: GatewaySettings,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Header names, paths and formats of the platform.
    pub dialect: Dialect,
    /// Monotonic clock, which starts with the process.
    pub clock: Clock,
    /// Logger of this process.
    pub log: Logger,
    /// Life cycle phase of the process.
    pub phase: watch::Receiver<Phase>,
    /// Published routes, targets and evacuations.
    pub published: ArcSwap<Published>,
    /// View of the fleet.
    pub fleet: ArcSwap<FleetSnapshot>,
    /// Open connections of all ports but the one for other entries.
    pub connections: ServedConnections,
    /// Control of the callers' port.
    pub callers: ServeControl,
    /// Connections to targets.
    pub target_connections: TargetConnections,
    /// Connections to other entries, for forwarded requests.
    pub entry_connections: TargetConnections,
    /// Number of requests forwarded to other entries so far.
    pub forwarded_count: AtomicUsize,
    /// Counts of load probes of targets, by outcome.
    pub probe_counts: ProbeCounters,
    /// Budget for the bodies held in memory.
    pub body_budget: BodyBudget,
    /// Room and pace of large answers.
    pub large_answers: Arc<LargeAnswers>,
    /// Slots of each service.
    pub services: Services,
    /// Signalled when a request starts to wait for a slot.
    pub request_queued: Arc<Notify>,
    /// Splits the requests of a route among its services.
    pub splitter: Mutex<Splitter>,
    /// Estimates of how long callers had waited before their requests arrived.
    pub prior_waits: PriorWaitEstimators,
    /// Deadline for the last answer of a stopping process; `None` while it is not stopping.
    pub answer_deadline: watch::Sender<Option<Mono>>,
    /// Budget for log lines about successful requests.
    pub request_log_budget: LogBudget,
    /// Budget for log lines about answers of the platform that do not follow what is known.
    pub feed_log_budget: LogBudget,
    /// Budget for log lines about invalid data from targets.
    pub invalid_log_budget: LogBudget,
    /// Budget for log lines about transfers that ended early.
    pub transfer_log_budget: LogBudget,
    /// Signalled when a request starts.
    pub request_started: Notify,
    /// Scheduling delay of the traffic threads.
    pub scheduling_delay: Mutex<SchedulingDelay>,
    /// Rate limits advertised by targets.
    pub rate_limits: Mutex<RateLimits>,
    /// Decides whether this process has lost its path to all targets.
    pub path_monitor: Mutex<PathMonitor>,
    /// Signalled when the path to the targets may have to be checked.
    pub path_suspected: Notify,
    /// Whether this process reaches no target.
    pub isolated: watch::Sender<bool>,
    /// Targets that have said that they are leaving.
    pub leaving_targets: Mutex<LeavingTargets>,
    /// Targets that have asked this process for rest.
    pub rests: Mutex<Rests>,
    /// Targets whose answers do not end.
    pub faulty_targets: Mutex<FaultyTargets>,
    /// Key for request fingerprints.
    pub fingerprint_key: FingerprintKey,
    /// Crash records of requests, shared by the traffic and control threads.
    pub quarantine: Mutex<Quarantine>,
}

impl Context {
    /// Returns the time since the start of the process, which is also the start of its clock.
    pub fn uptime(&self) -> Duration {
        self.clock.now().since(Mono::ZERO)
    }

    /// Chooses the service for the next request of a route.
    pub fn choose_service(&self, route: &Route) -> ServiceName {
        lock(&self.splitter).next(route)
    }

    /// Returns the slots of a service, creating them on first use.
    pub fn slots(&self, service: &ServiceName) -> Arc<ServiceSlots> {
        let window = self.settings.retry_window;
        let own_domain = Some(self.settings.failure_domain.clone());
        let name = self.settings.vm.to_string();
        let config =
            || SlotPoolConfig { name, failure_domain: own_domain, ..SlotPoolConfig::default() };
        self.services.get_or_insert_with(service, || {
            let request_queued = Arc::clone(&self.request_queued);
            ServiceSlots::new(
                service.clone(),
                config(),
                window,
                self.clock,
                self.log.clone(),
                request_queued,
            )
        })
    }

    /// Sets the deadline for all answers, including those to requests whose own deadline is later.
    /// The process ends soon afterwards and would cut these off.
    pub fn set_answer_deadline(&self, deadline: Mono) {
        self.large_answers.end_by(deadline);
        self.answer_deadline.send_replace(Some(deadline));
    }

    /// Waits until a stopping process has set the deadline for all answers and that deadline has
    /// passed.
    pub async fn wait_for_answer_deadline(&self) {
        let mut answer_deadline = self.answer_deadline.subscribe();
        let Ok(Some(deadline)) =
            answer_deadline.wait_for(Option::is_some).await.map(|deadline| *deadline)
        else {
            return std::future::pending().await;
        };
        let deadline = deadline.plus(ANSWER_DEADLINE_SLACK);
        tokio::time::sleep(deadline.since(self.clock.now())).await;
    }

    /// Returns the current scheduling delay of the traffic threads.
    pub fn scheduling_delay(&self) -> Duration {
        lock(&self.scheduling_delay).at(self.clock.now())
    }

    /// Whether work waits so long for the processor that callers notice.
    pub fn is_overloaded(&self) -> bool {
        self.scheduling_delay() >= OVERLOAD_THRESHOLD
    }

    /// Records how much later than planned a piece of work ran.
    pub fn record_scheduling_delay(&self, delay: Duration) {
        lock(&self.scheduling_delay).record(delay, self.clock.now());
    }

    /// Whether this process reaches no target.
    pub fn is_isolated(&self) -> bool {
        *self.isolated.borrow()
    }

    /// Whether the process is in the phase in which callers may be sent to it.
    pub fn is_serving(&self) -> bool {
        *self.phase.borrow() == Phase::Serving
    }
}

/// The slots of each service. A service is added when it is first used.
#[derive(Debug, Default)]
pub struct Services {
    by_name: Mutex<HashMap<ServiceName, Arc<ServiceSlots>>>,
}

impl Services {
    /// Returns the slots of a service, created by `new` if there are none yet.
    pub fn get_or_insert_with(
        &self,
        service: &ServiceName,
        new: impl FnOnce() -> Arc<ServiceSlots>,
    ) -> Arc<ServiceSlots> {
        let mut by_name = lock(&self.by_name);
        Arc::clone(by_name.entry(service.clone()).or_insert_with(new))
    }

    /// Returns all services with their slots.
    pub fn all(&self) -> Vec<(ServiceName, Arc<ServiceSlots>)> {
        let by_name = lock(&self.by_name);
        by_name.iter().map(|(name, slots)| (name.clone(), Arc::clone(slots))).collect()
    }
}

/// Estimates how long callers had waited before their requests arrived, from the deadlines that the
/// callers of each route send.
#[derive(Debug, Default)]
pub struct PriorWaitEstimators {
    by_route: Mutex<HashMap<RouteName, PriorWaitEstimator>>,
}

impl PriorWaitEstimators {
    /// Returns a lower bound on the time that a caller with this deadline had waited before its
    /// request arrived.
    pub fn estimate(&self, route: &RouteName, deadline: Duration) -> Duration {
        let mut by_route = lock(&self.by_route);
        let estimator =
            by_route.entry(route.clone()).or_insert_with(|| PriorWaitEstimator::new(deadline));
        estimator.estimate(deadline)
    }
}

/// Locks a mutex and ignores poisoning, because holders never leave the data half changed.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
