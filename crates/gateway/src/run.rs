//! Start-up and shutdown of the process.

use std::net::TcpListener as StdListener;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};

use anyhow::{Context as _, Result};
use arc_swap::ArcSwap;
use poem::endpoint::make_sync;
use poem::{IntoEndpoint, endpoint::make};
use rand::RngExt;
use shallotfork_events::{LogConfig, LogOutput, logger};
use shallotfork_exchange::{
    BodyBudget, ConnectionConfig, ServeConfig, ServeControl, ServedConnections, ServedLimits,
    TargetConnections, serve, serve_pipelined,
};
use shallotfork_lifecycle::{Process, Starting};
use shallotfork_peer::PeerKey;
use shallotfork_quarantine::{FingerprintKey, Quarantine, QuarantineConfig};
use shallotfork_reachability::{PathConfig, PathMonitor};
use shallotfork_routes::Splitter;
use shallotfork_timer::{Clock, TimerService, unix_time_ms};
use shallotfork_types::{Bytes, Endpoint, Incarnation, PerSecond};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};

use crate::context::{Context, PriorWaitEstimators, Services};
use crate::control::{ControlHandle, ControlParts, start};
use crate::dialect::Dialect;
use crate::large::LargeAnswers;
use crate::leave::{leave, leave_before_serving};
use crate::log_budget::LogBudget;
use crate::metrics_page::MetricsPage;
use crate::reload::watch_settings;
use crate::settings::GatewaySettings;
use crate::snapshot::{FleetSnapshot, Published};
use crate::traffic::{
    ProbeCounters, handle_directory, handle_readiness, handle_request, may_begin_early,
    monitor_scheduling_delay, report_service_load, run_path_checks, run_probes,
};
use shallotfork_feed::Feed;

/// Log lines per second about successful requests. The users' busiest entry answers about as many
/// requests today, so that ordinarily each request can be traced by its id.
const REQUEST_LOG_LIMIT: PerSecond = PerSecond::new(400);

/// Log lines per second about invalid data from targets, which may repeat it in every answer.
const INVALID_LOG_LIMIT: PerSecond = PerSecond::new(1);
/// Log lines per second about transfers that ended early. Callers that lose their network all at once
/// break as many transfers as an entry has.
const TRANSFER_LOG_LIMIT: PerSecond = PerSecond::new(20);
/// Maximum number of log lines per second about answers of the platform that do not follow what is
/// known.
const FEED_LOG_LIMIT: PerSecond = PerSecond::new(2);

/// Maximum number of idle connections to another entry: the concurrent requests of a busy entry that
/// forwards all of them.
const ENTRY_IDLE_MAX: usize = 32;

/// Maximum of an answer's bytes that the kernel takes of a connection beyond those that it can send.
const UNSENT_MAX: Bytes = Bytes::from_kib(16);
/// Maximum size of the heads of requests at the ports for readiness checks, the directory and metrics.
const INTERNAL_HEADER_MAX: Bytes = Bytes::from_kib(8);
/// Size of the kernel's receive buffers at these ports, whose requests have no bodies.
const INTERNAL_RECEIVE_BUFFER: Bytes = Bytes::from_kib(8);

/// What [`run`] needs from the program for a platform.
pub struct PlatformAdapter {
    /// Settings of the entry.
    pub settings: GatewaySettings,
    /// Header names, paths and formats of the platform.
    pub dialect: Dialect,
    /// Interface to the platform.
    pub feed: Arc<dyn Feed>,
    /// Reads the settings again, because the platform may change them while the process runs.
    pub reload: ReloadFn,
}

/// Reads the current settings.
pub type ReloadFn = Arc<dyn Fn() -> Result<GatewaySettings> + Send + Sync>;

struct Listeners {
    callers: StdListener,
    readiness: StdListener,
    peers: StdListener,
    directory: StdListener,
    metrics: StdListener,
}

/// Runs the process until it is asked to stop.
///
/// # Errors
/// Returns an error if a port can't be bound or a part of the process can't be started.
pub fn run(adapter: PlatformAdapter) -> Result<()> {
    let PlatformAdapter { settings, dialect, feed, reload } = adapter;
    let incarnation = Incarnation::from_start_time(unix_time_ms(), rand::rng().random());
    let log_config = LogConfig {
        vm: settings.vm.to_string(),
        incarnation: incarnation.to_string(),
        output: LogOutput::StandardOutput,
    };
    let (log, _flush) = logger(&log_config);
    let listeners = bind(&settings)?;
    let key = PeerKey::new(&settings.fleet_key).context("the fleet's key is too short")?;
    let fingerprint_key = FingerprintKey::new(&settings.fleet_key);
    let metrics = MetricsPage::install()?;
    let process = Process::new(log.clone());
    let connections = ServedConnections::new(ServedLimits {
        count_max: settings.connections_max,
        memory_max: settings.connection_budget,
    });
    let body_budget = BodyBudget::new(settings.body_budget).with_connections(connections.clone());
    let clock = Clock::new();
    let large_answers = LargeAnswers::new(settings.body_budget, settings.link_bandwidth, clock);
    let threads = settings.traffic_threads.max(1);
    let context = Arc::new(Context {
        settings,
        incarnation,
        dialect,
        clock,
        log,
        phase: process.watch(),
        published: ArcSwap::from_pointee(Published::default()),
        fleet: ArcSwap::from_pointee(FleetSnapshot::default()),
        callers: ServeControl::new().with_connections(connections.clone()),
        connections,
        target_connections: TargetConnections::new(
            ConnectionConfig::default(),
            body_budget.clone(),
        ),
        entry_connections: TargetConnections::new(
            ConnectionConfig { idle_per_target_max: ENTRY_IDLE_MAX, ..ConnectionConfig::default() },
            body_budget.clone(),
        ),
        forwarded_count: AtomicUsize::new(0),
        probe_counts: ProbeCounters::default(),
        body_budget,
        large_answers,
        services: Services::default(),
        request_queued: Arc::new(Notify::new()),
        splitter: Mutex::new(Splitter::new()),
        prior_waits: PriorWaitEstimators::default(),
        answer_deadline: watch::Sender::new(None),
        request_log_budget: LogBudget::new(REQUEST_LOG_LIMIT),
        invalid_log_budget: LogBudget::new(INVALID_LOG_LIMIT),
        transfer_log_budget: LogBudget::new(TRANSFER_LOG_LIMIT),
        feed_log_budget: LogBudget::new(FEED_LOG_LIMIT),
        request_started: Notify::new(),
        scheduling_delay: Mutex::default(),
        rate_limits: Mutex::default(),
        leaving_targets: Mutex::default(),
        rests: Mutex::default(),
        faulty_targets: Mutex::default(),
        path_monitor: Mutex::new(PathMonitor::new(PathConfig::default())),
        path_suspected: Notify::new(),
        isolated: watch::Sender::new(false),
        fingerprint_key,
        quarantine: Mutex::new(Quarantine::new(QuarantineConfig::default())),
    });
    let (control, commands) = ControlHandle::new();
    let (ready, is_ready) = watch::channel(false);
    start(ControlParts {
        context: Arc::clone(&context),
        commands,
        peers: listeners.peers.try_clone()?,
        key,
        feed,
        ready,
    })?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build()?;
    let parts = ServerParts { context, control, process, listeners, metrics, is_ready, reload };
    runtime.block_on(serve_until_stopped(parts))
}

fn bind(settings: &GatewaySettings) -> Result<Listeners> {
    let bind = |endpoint: Endpoint, what: &str| -> Result<StdListener> {
        let listener = StdListener::bind(endpoint.address())
            .with_context(|| format!("cannot bind the {what} port {endpoint}"))?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    };
    let ports = &settings.ports;
    Ok(Listeners {
        callers: bind(ports.callers, "callers'")?,
        readiness: bind(ports.readiness, "readiness")?,
        peers: bind(ports.peers, "peers'")?,
        directory: bind(ports.directory, "directory")?,
        metrics: bind(ports.metrics, "metrics")?,
    })
}

struct ServerParts {
    context: Arc<Context>,
    control: ControlHandle,
    process: Process<Starting>,
    listeners: Listeners,
    metrics: MetricsPage,
    is_ready: watch::Receiver<bool>,
    reload: ReloadFn,
}

async fn serve_until_stopped(parts: ServerParts) -> Result<()> {
    let ServerParts { context, control, process, listeners, metrics, mut is_ready, reload } = parts;
    let mut stop_signals = StopSignals::new()?;
    tokio::spawn(watch_settings(Arc::clone(&context), control.clone(), reload)?);
    let shared = Arc::clone(&context);
    serve_without_drain(
        &context,
        listeners.readiness,
        make_sync(move |request| handle_readiness(&shared, &request)),
    )?;
    let shared = Arc::clone(&context);
    serve_without_drain(
        &context,
        listeners.directory,
        make_sync(move |request| handle_directory(&shared, &request)),
    )?;
    serve_without_drain(&context, listeners.metrics, make_sync(move |_| metrics.render()))?;
    let callers = context.callers.clone();
    let shared = Arc::clone(&context);
    let endpoint = make(move |request| handle_request(Arc::clone(&shared), request));
    let listener = TcpListener::from_std(listeners.callers)?;
    let shared = Arc::clone(&context);
    let early = Arc::new(move |head: &http::request::Parts| may_begin_early(&shared, head));
    let config = ServeConfig { unsent_max: Some(UNSENT_MAX), ..ServeConfig::default() };
    tokio::spawn(serve_pipelined(listener, endpoint, config, callers, early));
    tokio::spawn(run_probes(Arc::clone(&context)));
    tokio::spawn(run_path_checks(Arc::clone(&context)));
    tokio::spawn(monitor_scheduling_delay(Arc::clone(&context)));
    tokio::spawn(report_service_load(Arc::clone(&context), TimerService::new(context.clock)));
    tokio::select! {
        ready = is_ready.wait_for(|ready| *ready) => drop(
            ready.context("control thread ended before routes were in force")?
        ),
        () = stop_signals.recv() => {
            leave_before_serving(&context).await;
            return Ok(());
        }
    }
    let process = process.serve();
    stop_signals.recv().await;
    leave(&context, &control, process.leave()).await;
    Ok(())
}

/// Serves a port that needs no planned stop.
fn serve_without_drain<E>(context: &Context, listener: StdListener, endpoint: E) -> Result<()>
where
    E: IntoEndpoint + Send + 'static,
    E::Endpoint: 'static,
{
    let listener = TcpListener::from_std(listener)?;
    let control = ServeControl::new().with_connections(context.connections.clone());
    let config = ServeConfig {
        header_max: INTERNAL_HEADER_MAX,
        receive_buffer: INTERNAL_RECEIVE_BUFFER,
        unsent_max: Some(UNSENT_MAX),
        ..ServeConfig::default()
    };
    tokio::spawn(serve(listener, endpoint, config, control));
    Ok(())
}

/// Signals that request a planned stop.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Self { terminate, interrupt })
    }

    async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
