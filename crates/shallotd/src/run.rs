//! Start-up and shutdown of the process.

use std::net::{SocketAddr, TcpListener as StdListener};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use anyhow::{Context as _, Result, bail};
use arc_swap::ArcSwap;
use poem::endpoint::make;
use rand::RngExt;
use serde::Serialize;
use shallotfork_events::{LogConfig, LogOutput, logger};
use shallotfork_exchange::{
    BodyBudget, Exchange, ExchangeConfig, ServeConfig, ServeControl, ServedConnections,
    ServedLimits, serve,
};
use shallotfork_measure::{ConnectionBudget, ConnectionLimits, FleetShare};
use shallotfork_once::{SECRET_BYTES, Secret};
use shallotfork_peer::PeerKey;
use shallotfork_settings::Settings;
use shallotfork_timer::{Clock, unix_time_ms};
use shallotfork_types::{Endpoint, Incarnation};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::context::Context;
use crate::control::{ControlHandle, ControlParts, start};
use crate::identity::Identity;
use crate::leave::leave;
use crate::operator::{MetricsPage, OperatorApi, OperatorToken, operator_endpoint};
use crate::snapshot::Snapshot;
use crate::traffic::{InFlight, TargetGate, handle_request};
use shallotfork_lifecycle::{Process, Starting};

/// Reads and validates a settings file.
///
/// # Errors
/// Returns an error if the file cannot be read, or one that lists all errors found in it.
pub fn load_settings(path: &Path) -> Result<Settings> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    match Settings::parse(&text) {
        Ok(settings) => Ok(settings),
        Err(errors) => {
            let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
            bail!("{}:\n{}", path.display(), lines.join("\n"));
        }
    }
}

/// First line on standard output.
#[derive(Debug, Serialize)]
struct ReadyLine {
    ready: bool,
    vm: String,
    callers: SocketAddr,
    peers: SocketAddr,
    operators: SocketAddr,
}

struct Ports {
    callers: StdListener,
    peers: StdListener,
    operators: StdListener,
}

/// Runs the daemon until it receives a stop signal.
///
/// # Errors
/// Returns an error if a port cannot be bound, a key file cannot be read, or a port fails while
/// serving.
pub fn run(settings: Settings) -> Result<()> {
    let ports = bind_ports(&settings)?;
    let identity = create_identity(&settings, &ports)?;
    let key = load_peer_key(&settings)?;
    let token = settings.operators.token_file.as_deref().map(OperatorToken::load).transpose()?;
    let metrics = MetricsPage::install()?;
    print_ready_line(&identity, &ports)?;
    let log_config = LogConfig {
        vm: identity.vm.to_string(),
        incarnation: identity.incarnation.to_string(),
        output: LogOutput::StandardError,
    };
    let (log, _log_guard) = logger(&log_config);
    let process = Process::new(log.clone());
    let (control, commands) = ControlHandle::new();
    let clock = Clock::new();
    let connections = ServedConnections::new(ServedLimits {
        count_max: settings.callers.connections_max,
        ..ServedLimits::default()
    });
    let body_budget =
        BodyBudget::new(settings.callers.bodies_total_max).with_connections(connections.clone());
    let exchange_config =
        ExchangeConfig { answer_max: settings.callers.body_max, ..ExchangeConfig::default() };
    let connection_gate = TargetGate::new(connection_budget(&settings), clock);
    let now = Arc::new(move || clock.now());
    let exchange = Exchange::new(
        exchange_config,
        body_budget.clone(),
        Arc::new(connection_gate.clone()),
        now,
    )?;
    // The rotation starts at a different value in each process. Otherwise callers that query many
    // entries, each once, would all be sent to the same entry.
    let initial_rotation = identity.incarnation.value();
    let context = Arc::new(Context {
        settings,
        identity,
        clock,
        log,
        snapshot: ArcSwap::from_pointee(Snapshot::default()),
        control,
        exchange,
        connection_gate,
        body_budget,
        connections,
        in_flight: InFlight::default(),
        entry_rotation: AtomicU64::new(initial_rotation),
        claim_counter: AtomicU64::new(0),
    });
    let (ready, ready_receiver) = watch::channel(false);
    let secret = Secret::new(rand::rng().random::<[u8; SECRET_BYTES]>());
    let parts = ControlParts {
        context: Arc::clone(&context),
        commands,
        peer_listener: ports.peers,
        key,
        secret,
        ready,
    };
    start(parts)?;
    let operator_api =
        OperatorApi { context: Arc::clone(&context), phase: process.watch(), token, metrics };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let traffic = TrafficParts {
        context,
        process,
        callers: ports.callers,
        operators: ports.operators,
        operator_api,
        ready_receiver,
    };
    runtime.block_on(serve_traffic(traffic))
}

/// Returns the share of this process in new and open connections to each target.
fn connection_budget(settings: &Settings) -> ConnectionBudget {
    let share = FleetShare::new(settings.vm.probe_share, settings.vm.probe_shares)
        .expect("settings were checked: the share is below the number of shares");
    let limits = ConnectionLimits { new_connections: settings.measure.new_connections };
    ConnectionBudget::new(limits, share)
}

fn bind_ports(settings: &Settings) -> Result<Ports> {
    let bind = |endpoint: Endpoint, owner: &str| -> Result<StdListener> {
        let listener = StdListener::bind(endpoint.address())
            .with_context(|| format!("cannot bind the {owner}' port {endpoint}"))?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    };
    Ok(Ports {
        callers: bind(settings.callers.listen, "callers")?,
        peers: bind(settings.peers.listen, "peers")?,
        operators: bind(settings.operators.listen, "operators")?,
    })
}

fn create_identity(settings: &Settings, ports: &Ports) -> Result<Identity> {
    let bound = |listener: &StdListener| listener.local_addr().map(Endpoint::new);
    Ok(Identity {
        vm: settings.vm.id.clone(),
        incarnation: Incarnation::from_start_time(unix_time_ms(), rand::rng().random()),
        failure_domain: settings.vm.failure_domain.clone(),
        callers: settings.callers.advertise.map_or_else(|| bound(&ports.callers), Ok)?,
        peers: settings.peers.advertise.map_or_else(|| bound(&ports.peers), Ok)?,
    })
}

fn load_peer_key(settings: &Settings) -> Result<PeerKey> {
    let path = &settings.peers.key_file;
    let bytes = std::fs::read(path).with_context(|| path.display().to_string())?;
    PeerKey::new(&bytes).with_context(|| path.display().to_string())
}

fn print_ready_line(identity: &Identity, ports: &Ports) -> Result<()> {
    let line = ReadyLine {
        ready: true,
        vm: identity.vm.to_string(),
        callers: ports.callers.local_addr()?,
        peers: ports.peers.local_addr()?,
        operators: ports.operators.local_addr()?,
    };
    println!("{}", serde_json::to_string(&line)?);
    Ok(())
}

struct TrafficParts {
    context: Arc<Context>,
    process: Process<Starting>,
    callers: StdListener,
    operators: StdListener,
    operator_api: OperatorApi,
    ready_receiver: watch::Receiver<bool>,
}

async fn serve_traffic(parts: TrafficParts) -> Result<()> {
    let TrafficParts { context, process, callers, operators, operator_api, mut ready_receiver } =
        parts;
    let mut stop_signals = StopSignals::new()?;
    let operator_control = ServeControl::new();
    let operators_server = serve(
        TcpListener::from_std(operators)?,
        operator_endpoint(operator_api),
        ServeConfig::default(),
        operator_control.clone(),
    );
    tokio::spawn(operators_server);
    let callers_control = ServeControl::new().with_connections(context.connections.clone());
    let shared_context = Arc::clone(&context);
    let endpoint = make(move |request| handle_request(Arc::clone(&shared_context), request));
    let callers_server = serve(
        TcpListener::from_std(callers)?,
        endpoint,
        serve_config(&context),
        callers_control.clone(),
    );
    let callers_server = tokio::spawn(callers_server);
    tokio::select! {
        ready = ready_receiver.wait_for(|ready| *ready) => drop(ready?),
        () = stop_signals.received() => return Ok(()),
    }
    let process = process.serve();
    stop_signals.received().await;
    leave(&context, process.leave(), &callers_control).await;
    let _timed_out = tokio::time::timeout(context.settings.leaving.grace_max, callers_server).await;
    Ok(())
}

fn serve_config(context: &Context) -> ServeConfig {
    let callers = &context.settings.callers;
    ServeConfig { header_timeout: callers.header_timeout, ..ServeConfig::default() }
}

/// Signals that request a planned stop.
struct StopSignals {
    terminate: tokio::signal::unix::Signal,
    interrupt: tokio::signal::unix::Signal,
}

impl StopSignals {
    fn new() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
