//! Start-up and shutdown of the process.

use std::net::TcpListener as StdListener;
use std::sync::{Arc, Mutex};

use anyhow::{Context as _, Result};
use arc_swap::ArcSwap;
use poem::endpoint::make_sync;
use poem::{IntoEndpoint, endpoint::make};
use rand::RngExt;
use shallotfork_events::{LogConfig, LogOutput, logger};
use shallotfork_exchange::{
    BodyBudget, ConnectionConfig, ServeConfig, ServeControl, TargetConnections, serve,
    serve_pipelined,
};
use shallotfork_lifecycle::{Process, Starting};
use shallotfork_peer::PeerKey;
use shallotfork_quarantine::{FingerprintKey, Quarantine, QuarantineConfig};
use shallotfork_routes::Splitter;
use shallotfork_timer::{Clock, TimerService, unix_time_ms};
use shallotfork_types::{Endpoint, Incarnation, PerSecond};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};

use crate::context::{Context, Deadlines, Services};
use crate::control::{ControlHandle, ControlParts, start};
use crate::dialect::Dialect;
use crate::follow_settings::follow_settings;
use crate::leave::{leave, leave_before_serving};
use crate::line_budget::LineBudget;
use crate::metrics_page::MetricsPage;
use crate::settings::GatewaySettings;
use crate::snapshot::{Fleet, Published};
use crate::traffic::{
    ProbeCounts, directory, front, lateness, may_begin_early, probes, readiness, service_load,
};
use shallotfork_feed::Feed;

/// Lines a second about requests that went well: about as many requests as the users' busiest entry
/// answers today, so that in the ordinary case each can be followed by its id.
const REQUEST_LINES: PerSecond = PerSecond::new(400);

/// Lines a second about what targets say that is not valid; they may repeat it in every answer.
const INVALID_LINES: PerSecond = PerSecond::new(1);

/// What a platform's adapter brings.
pub struct Program {
    /// Settings.
    pub settings: GatewaySettings,
    /// Header names and forms.
    pub dialect: Dialect,
    /// The platform.
    pub feed: Arc<dyn Feed>,
    /// Reads the settings again, as the platform may change them while the process runs.
    pub reload: ReloadFn,
}

/// Reads the settings as they are now.
pub type ReloadFn = Arc<dyn Fn() -> Result<GatewaySettings> + Send + Sync>;

struct Listeners {
    callers: StdListener,
    readiness: StdListener,
    peers: StdListener,
    directory: StdListener,
    metrics: StdListener,
}

/// Runs the process until it is told to stop.
///
/// # Errors
/// When a port can't be bound, or a part of the process can't be started.
pub fn run(program: Program) -> Result<()> {
    let Program { settings, dialect, feed, reload } = program;
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
    let bodies = BodyBudget::new(settings.bodies_max);
    let threads = settings.traffic_threads.max(1);
    let context = Arc::new(Context {
        settings,
        incarnation,
        dialect,
        clock: Clock::new(),
        log,
        phase: process.watch(),
        published: ArcSwap::from_pointee(Published::default()),
        fleet: ArcSwap::from_pointee(Fleet::default()),
        callers: ServeControl::new(),
        links: TargetConnections::new(ConnectionConfig::default(), bodies.clone()),
        probe_counts: ProbeCounts::default(),
        bodies,
        services: Services::default(),
        waits: Arc::new(Notify::new()),
        splitter: Mutex::new(Splitter::new()),
        deadlines: Deadlines::default(),
        last_answer: watch::Sender::new(None),
        lines: LineBudget::new(REQUEST_LINES),
        invalid_lines: LineBudget::new(INVALID_LINES),
        begins: Notify::new(),
        lateness: Mutex::default(),
        rate_limits: Mutex::default(),
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
    let parts = Parts { context, control, process, listeners, metrics, is_ready, reload };
    runtime.block_on(serve_all(parts))
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

struct Parts {
    context: Arc<Context>,
    control: ControlHandle,
    process: Process<Starting>,
    listeners: Listeners,
    metrics: MetricsPage,
    is_ready: watch::Receiver<bool>,
    reload: ReloadFn,
}

async fn serve_all(parts: Parts) -> Result<()> {
    let Parts { context, control, process, listeners, metrics, mut is_ready, reload } = parts;
    let mut stop = Stop::new()?;
    tokio::spawn(follow_settings(Arc::clone(&context), control.clone(), reload)?);
    let shared = Arc::clone(&context);
    serve_aside(listeners.readiness, make_sync(move |request| readiness(&shared, &request)))?;
    let shared = Arc::clone(&context);
    serve_aside(listeners.directory, make_sync(move |request| directory(&shared, &request)))?;
    serve_aside(listeners.metrics, make_sync(move |_| metrics.render()))?;
    let callers = context.callers.clone();
    let shared = Arc::clone(&context);
    let endpoint = make(move |request| front(Arc::clone(&shared), request));
    let listener = TcpListener::from_std(listeners.callers)?;
    let shared = Arc::clone(&context);
    let early = Arc::new(move |head: &http::request::Parts| may_begin_early(&shared, head));
    let config = ServeConfig::default();
    tokio::spawn(serve_pipelined(listener, endpoint, config, callers, early));
    tokio::spawn(probes(Arc::clone(&context)));
    tokio::spawn(lateness(Arc::clone(&context)));
    tokio::spawn(service_load(Arc::clone(&context), TimerService::new(context.clock)));
    tokio::select! {
        ready = is_ready.wait_for(|ready| *ready) => drop(ready.context("control has ended")?),
        () = stop.asked() => {
            leave_before_serving(&context).await;
            return Ok(());
        }
    }
    let process = process.serve();
    stop.asked().await;
    leave(&context, &control, process.leave()).await;
    Ok(())
}

/// Serves a port that needs no planned stop.
fn serve_aside<E>(listener: StdListener, endpoint: E) -> Result<()>
where
    E: IntoEndpoint + Send + 'static,
    E::Endpoint: 'static,
{
    let listener = TcpListener::from_std(listener)?;
    tokio::spawn(serve(listener, endpoint, ServeConfig::default(), ServeControl::new()));
    Ok(())
}

/// Signals that ask for a planned stop.
struct Stop {
    terminate: Signal,
    interrupt: Signal,
}

impl Stop {
    fn new() -> Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Self { terminate, interrupt })
    }

    async fn asked(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
