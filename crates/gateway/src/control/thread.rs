//! Starts the control thread and runs its tasks.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::{Context as _, Result};
use shallotfork_peer::{PeerConfig, PeerId, PeerKey, PeerServer};
use shallotfork_revisions::PullGate;
use shallotfork_roster::{Roster, RosterConfig};
use shallotfork_routes::{Configuration, ConfigurationStatus};
use shallotfork_timer::{Schedule, TimerService};
use shallotfork_types::Endpoint;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::LocalSet;

use crate::context::{Context, lock};
use crate::control::advertise::mark_settled;
use crate::control::configuration::set_metrics;
use crate::control::handler::Handler;
use crate::control::heartbeats::{announce_isolation, announce_leaving, run_heartbeats};
use crate::control::peers::Peers;
use crate::control::publish::{expire_targets, settle};
use crate::control::reader::run_reader;
use crate::control::serve_pulls::{PullCounts, report_served_pulls};
use crate::control::state::{ControlState, own_announcement};
use crate::traffic::apply_rate_limit;
use shallotfork_evacuation::Evacuations;
use shallotfork_feed::{Archive, Feed, Packer, PullScheduler, Uplink};
use shallotfork_fleet::FleetMember;

/// Timeout for opening a connection to an entry, and for an answer from it. Shorter than the
/// silence after which an entry is suspected.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// Connections from other entries that are served at once. After a simultaneous start hundreds of
/// entries contact the same few seeds; each connection takes some tens of kilobytes.
const PEER_CONNECTIONS_MAX: usize = 1024;
/// Interval at which expired targets and idle connections are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which an entry whose retained items differ is asked for them again. Entries of different
/// releases may never agree on them.
const RETAINED_PULL_REPEAT: Duration = Duration::from_secs(5);
/// Interval at which the pulls served to other entries are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Arguments of the control thread.
pub struct ControlParts {
    /// State shared with the traffic threads.
    pub context: Arc<Context>,
    /// Commands from the traffic side.
    pub commands: mpsc::UnboundedReceiver<Command>,
    /// Bound port for other entries.
    pub peers: StdListener,
    /// Key that entries prove to each other.
    pub key: PeerKey,
    /// Interface to the platform.
    pub feed: Arc<dyn Feed>,
    /// Becomes true once routes are in force.
    pub ready: watch::Sender<bool>,
}

/// A command to the control thread.
#[derive(Debug)]
pub enum Command {
    /// Announces that this process is leaving; answered once the other entries have been informed.
    Leave(oneshot::Sender<()>),
    /// Replaces the addresses at which other entries may be found.
    SetSeeds(Vec<Endpoint>),
}

/// Sends commands to the control thread.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    commands: mpsc::UnboundedSender<Command>,
}

impl ControlHandle {
    /// Creates a handle, and the receiver for the thread.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Command>) {
        let (commands, receiver) = mpsc::unbounded_channel();
        (Self { commands }, receiver)
    }

    /// Replaces the addresses at which other entries may be found.
    pub fn set_seeds(&self, seeds: Vec<Endpoint>) {
        // A thread that has ended does not need the seeds any more.
        let _ended = self.commands.send(Command::SetSeeds(seeds));
    }

    /// Announces that this process is leaving, and waits until the other entries have been
    /// informed.
    pub async fn leave(&self) {
        let (done, finished) = oneshot::channel();
        // If the thread has ended, nothing can be sent to other entries any more.
        let _ended = self.commands.send(Command::Leave(done));
        let _ended = finished.await;
    }
}

/// Starts the control thread.
///
/// # Errors
/// Returns an error if the thread or its runtime can't be started.
pub fn start(parts: ControlParts) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || LocalSet::new().block_on(&runtime, run(parts)))
        .context("cannot start the control thread")?;
    Ok(())
}

async fn run(parts: ControlParts) {
    let ControlParts { context, mut commands, peers, key, feed, ready } = parts;
    let listener = match TcpListener::from_std(peers) {
        Ok(listener) => listener,
        // The traffic side waits for `ready`, and reports the failure when that is dropped.
        Err(_) => return,
    };
    let own = PeerId::new(context.settings.vm.clone(), context.incarnation);
    let state = Rc::new(new_state(context, feed, &key, &own, ready));
    set_metrics(&ConfigurationStatus::default());
    let server = PeerServer::new(
        listener,
        key,
        own,
        peer_config(),
        Rc::new(Handler { state: Rc::clone(&state) }),
    );
    tokio::task::spawn_local(server.serve());
    tokio::task::spawn_local(run_reader(Rc::clone(&state)));
    let timer = TimerService::new(state.context.clock);
    tokio::task::spawn_local(announce_isolation(Rc::clone(&state)));
    tokio::task::spawn_local(run_heartbeats(Rc::clone(&state), timer.clone()));
    let mut cleanup = timer.subscribe(Schedule::new(CLEANUP_INTERVAL));
    let mut report = timer.subscribe(Schedule::new(REPORT_INTERVAL));
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(Command::Leave(done)) => {
                    let state = Rc::clone(&state);
                    tokio::task::spawn_local(async move {
                        announce_leaving(&state).await;
                        let _gone = done.send(());
                    });
                }
                Some(Command::SetSeeds(seeds)) => *state.seeds.borrow_mut() = seeds,
                None => return,
            },
            _ = report.tick() => report_served_pulls(&state),
            _ = cleanup.tick() => {
                settle(&state);
                expire_targets(&state);
                mark_settled(&state);
                state.context.target_connections.prune_idle();
                state.context.entry_connections.prune_idle();
                lock(&state.context.quarantine).expire(state.now());
                expire_rate_limits(&state.context);
                lock(&state.context.rests).expire(state.now());
                lock(&state.context.faulty_targets).expire(state.now());
            }
        }
    }
}

fn expire_rate_limits(context: &Context) {
    let mut rate_limits = lock(&context.rate_limits);
    for target in rate_limits.expire(context.clock.now()) {
        apply_rate_limit(context, &target, None, "lapsed");
    }
}

fn new_state(
    context: Arc<Context>,
    feed: Arc<dyn Feed>,
    key: &PeerKey,
    own: &PeerId,
    ready: watch::Sender<bool>,
) -> ControlState {
    ControlState {
        fleet: RefCell::new(FleetMember::new(own_announcement(&context), context.clock.now())),
        peers: Peers::new(key.clone(), own.clone(), peer_config()),
        configuration: RefCell::new(Configuration::new()),
        ignored_items: RefCell::default(),
        roster: RefCell::new(Roster::new(RosterConfig::default())),
        evacuations: RefCell::new(Evacuations::new()),
        feed,
        platform_answered_at: Cell::new(None),
        archive: RefCell::new(Archive::new()),
        packer: RefCell::new(Packer::new()),
        retained_packer: RefCell::new(Packer::new()),
        peer_compared: Notify::new(),
        peer_retained: Cell::new(None),
        retained_pulls: RefCell::new(PullGate::new(RETAINED_PULL_REPEAT)),
        snapshot_bundle: RefCell::default(),
        pull_scheduler: RefCell::new(PullScheduler::new()),
        first_pull_awaited_since: Cell::new(None),
        pull_sources: RefCell::default(),
        served_pulls: PullCounts::default(),
        uplink: RefCell::new(Uplink::new(context.settings.link_bandwidth)),
        platform_outage_started_at: Cell::new(None),
        last_view: RefCell::new(None),
        recheck_reader_role: Notify::new(),
        assigned_targets: RefCell::new(BTreeMap::new()),
        published_version: Cell::new(0),
        published_leaving_version: Cell::new(0),
        seeds: RefCell::new(context.settings.seeds.clone()),
        ready,
        known_entries: Cell::new(1),
        context,
    }
}

fn peer_config() -> PeerConfig {
    PeerConfig {
        handshake_timeout: PEER_TIMEOUT,
        call_timeout: PEER_TIMEOUT,
        connections_max: PEER_CONNECTIONS_MAX,
        ..PeerConfig::default()
    }
}
