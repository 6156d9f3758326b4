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
use shallotfork_roster::{Roster, RosterConfig};
use shallotfork_routes::TableInForce;
use shallotfork_timer::{Schedule, TimerService};
use shallotfork_types::Endpoint;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::LocalSet;

use crate::context::{Context, lock};
use crate::control::beats::{beats, tell_leaving};
use crate::control::handler::Handler;
use crate::control::naming::note_settled;
use crate::control::peers::Peers;
use crate::control::publish::expire_targets;
use crate::control::reader::read_on;
use crate::control::state::{State, own_announcement};
use crate::control::telling::{TellCount, report_told};
use crate::traffic::apply_rate_limit;
use shallotfork_evacuation::Evacuations;
use shallotfork_feed::{Archive, Feed, Packer, PullScheduler, Uplink};
use shallotfork_fleet::FleetMember;

/// Time to open a connection to an entry or to have an answer; shorter than the silence after which
/// it is suspected.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// Connections of other entries that are served at once. After a common start hundreds look for the
/// fleet at the same few seeds; each connection takes some tens of kilobytes.
const CONNECTIONS_MAX: usize = 1024;
/// How often lapsed targets and idle connections are looked after.
const TIDY: Duration = Duration::from_millis(250);
/// How often what other entries were told is reported.
const REPORT: Duration = Duration::from_secs(1);
/// What the control thread takes over from start-up.
pub struct ControlParts {
    /// Shared with the traffic threads.
    pub context: Arc<Context>,
    /// Requests of the traffic side.
    pub commands: mpsc::UnboundedReceiver<Command>,
    /// Bound port for other entries.
    pub peers: StdListener,
    /// The key that entries prove to each other.
    pub key: PeerKey,
    /// The platform.
    pub feed: Arc<dyn Feed>,
    /// Becomes true when routes are in force.
    pub ready: watch::Sender<bool>,
}

/// A request to the control thread.
#[derive(Debug)]
pub enum Command {
    /// Tell everybody that this process leaves; answered once all were told.
    Leave(oneshot::Sender<()>),
    /// Other entries may be found at these addresses from now on.
    SetSeeds(Vec<Endpoint>),
}

/// Talks to the control thread.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    commands: mpsc::UnboundedSender<Command>,
}

impl ControlHandle {
    /// A handle, and the receiver for the thread.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Command>) {
        let (commands, receiver) = mpsc::unbounded_channel();
        (Self { commands }, receiver)
    }

    /// Replaces the addresses at which other entries may be found.
    pub fn set_seeds(&self, seeds: Vec<Endpoint>) {
        // A thread that has ended looks for nobody.
        let _ended = self.commands.send(Command::SetSeeds(seeds));
    }

    /// Tells everybody that this process leaves.
    pub async fn leave(&self) {
        let (told, done) = oneshot::channel();
        // A thread that has ended has nobody left to tell.
        let _ended = self.commands.send(Command::Leave(told));
        let _ended = done.await;
    }
}

/// Starts the thread.
///
/// # Errors
/// When the thread or its runtime can't be started.
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
        // The traffic side waits for `ready`, sees its end, and reports the failure.
        Err(_) => return,
    };
    let own = PeerId::new(context.settings.vm.clone(), context.incarnation);
    let state = Rc::new(new_state(context, feed, &key, &own, ready));
    let server = PeerServer::new(
        listener,
        key,
        own,
        peer_config(),
        Rc::new(Handler { state: Rc::clone(&state) }),
    );
    tokio::task::spawn_local(server.serve());
    tokio::task::spawn_local(read_on(Rc::clone(&state)));
    let timer = TimerService::new(state.context.clock);
    tokio::task::spawn_local(beats(Rc::clone(&state), timer.clone()));
    let mut tidy = timer.subscribe(Schedule::new(TIDY));
    let mut report = timer.subscribe(Schedule::new(REPORT));
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(Command::Leave(told)) => {
                    let state = Rc::clone(&state);
                    tokio::task::spawn_local(async move {
                        tell_leaving(&state).await;
                        let _gone = told.send(());
                    });
                }
                Some(Command::SetSeeds(seeds)) => *state.seeds.borrow_mut() = seeds,
                None => return,
            },
            _ = report.tick() => report_told(&state),
            _ = tidy.tick() => {
                expire_targets(&state);
                note_settled(&state);
                state.context.links.prune_idle();
                lock(&state.context.quarantine).expire(state.now());
                expire_rate_limits(&state.context);
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
) -> State {
    State {
        fleet: RefCell::new(FleetMember::new(own_announcement(&context), context.clock.now())),
        peers: Peers::new(key.clone(), own.clone(), peer_config()),
        in_force: RefCell::new(TableInForce::new()),
        roster: RefCell::new(Roster::new(RosterConfig::default())),
        evacuations: RefCell::new(Evacuations::new()),
        feed,
        archive: RefCell::new(Archive::new()),
        packer: RefCell::new(Packer::new()),
        whole_bundle: RefCell::default(),
        catch_up: RefCell::new(PullScheduler::new()),
        sources: RefCell::default(),
        told: TellCount::default(),
        uplink: RefCell::new(Uplink::new(context.settings.link)),
        away_since: Cell::new(None),
        named_by: RefCell::new(None),
        role_look: Notify::new(),
        given: RefCell::new(BTreeMap::new()),
        published_version: Cell::new(0),
        seeds: RefCell::new(context.settings.seeds.clone()),
        ready,
        known: Cell::new(1),
        context,
    }
}

fn peer_config() -> PeerConfig {
    PeerConfig {
        handshake_timeout: PEER_TIMEOUT,
        call_timeout: PEER_TIMEOUT,
        connections_max: CONNECTIONS_MAX,
        ..PeerConfig::default()
    }
}
