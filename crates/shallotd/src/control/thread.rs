//! Starts the control thread and runs its tasks.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::{Context as _, Result};
use shallotfork_membership::{Announcement, ListedVm, MembershipView, ViewConfig};
use shallotfork_once::{Issuer, OnceConfig, Secret};
use shallotfork_peer::{PeerConfig, PeerId, PeerKey, PeerServer};
use shallotfork_platform::{HttpPlatform, HttpPlatformConfig, Platform};
use shallotfork_revisions::PullGate;
use shallotfork_timer::TimerService;
use shallotfork_types::PerSecond;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, mpsc, watch as watch_channel};
use tokio::task::LocalSet;

use crate::context::Context;
use crate::control::audit::AuditTrail;
use crate::control::command::Command;
use crate::control::handoff::seal;
use crate::control::ledger::Ledger;
use crate::control::lists::Lists;
use crate::control::members::{
    announce_leaving, announce_list_changes, run_heartbeats, stale_advertisement_time,
};
use crate::control::peer_calls::PeerCalls;
use crate::control::peers::Peers;
use crate::control::probes::{new_probe_scheduler, run_probes};
use crate::control::state::State;
use crate::control::watch::watch_platform;
use crate::control::{operations, publish::publish, report};

/// Arguments of the control thread.
pub struct ControlParts {
    /// Context shared with the traffic threads.
    pub context: Arc<Context>,
    /// Commands of the traffic threads.
    pub commands: mpsc::UnboundedReceiver<Command>,
    /// Bound listener for other entries.
    pub peer_listener: StdListener,
    /// Key that entries prove to each other.
    pub key: PeerKey,
    /// Secret that signs the sessions of this incarnation.
    pub secret: Secret,
    /// Set to true when a rule list is in force.
    pub ready: watch_channel::Sender<bool>,
}

/// Minimum time between two pulls from a peer while the difference between its lists and those of
/// this process stays the same.
const PULL_REPEAT_PERIOD: Duration = Duration::from_secs(5);

/// Starts the control thread, which runs until the process ends.
///
/// # Errors
/// Returns an error if the thread or its runtime cannot be created.
pub fn start(parts: ControlParts) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        let local = LocalSet::new();
        if let Err(error) = local.block_on(&runtime, run(parts)) {
            eprintln!("shallotd: control thread ended: {error:#}");
            std::process::abort();
        }
    })?;
    Ok(())
}

async fn run(parts: ControlParts) -> Result<()> {
    let ControlParts { context, commands, peer_listener, key, secret, ready } = parts;
    let platform = Box::new(HttpPlatform::new(platform_config(&context))?);
    let state = Rc::new(state(context, platform, key.clone(), secret, ready));
    publish(&state);
    let timer = TimerService::new(state.context.clock);
    let listener =
        TcpListener::from_std(peer_listener).context("cannot use the listener for peers")?;
    let server = PeerServer::new(
        listener,
        key,
        own_id(&state.context),
        peer_config(&state.context),
        Rc::new(PeerCalls::new(Rc::clone(&state))),
    );
    tokio::task::spawn_local(server.serve());
    tokio::task::spawn_local(watch_platform(Rc::clone(&state)));
    tokio::task::spawn_local(announce_list_changes(Rc::clone(&state)));
    tokio::task::spawn_local(run_heartbeats(Rc::clone(&state), timer.clone()));
    tokio::task::spawn_local(run_probes(Rc::clone(&state), timer));
    handle_commands(state, commands).await;
    Ok(())
}

fn state(
    context: Arc<Context>,
    platform: Box<dyn Platform>,
    key: PeerKey,
    secret: Secret,
    ready: watch_channel::Sender<bool>,
) -> State {
    let identity = &context.identity;
    let once = once_config(&context);
    let issuer = Issuer::new(identity.vm.clone(), identity.incarnation, secret, once.clone());
    let ledger = Ledger::new(issuer, own_id(&context), once);
    let view_config =
        ViewConfig { suspect_after: context.settings.peers.suspect_after, ..ViewConfig::default() };
    let view = MembershipView::new(view_config, &announcement(&context), context.clock.now());
    let peers = Peers::new(key, own_id(&context), peer_config(&context));
    State {
        platform,
        lists_changed: Notify::new(),
        pull_gate: RefCell::new(PullGate::new(PULL_REPEAT_PERIOD)),
        lists: RefCell::new(Lists::default()),
        view: RefCell::new(view),
        ledger: RefCell::new(ledger),
        peers,
        lookup_permits: Semaphore::new(operations::CONCURRENT_LOOKUPS_MAX),
        report_permits: Arc::new(Semaphore::new(operations::BACKGROUND_REPORTS_MAX)),
        audit: RefCell::new(AuditTrail::default()),
        pools: RefCell::new(BTreeMap::new()),
        probe_scheduler: RefCell::new(new_probe_scheduler(&context)),
        probes_sent: Cell::new(0),
        probed_snapshot: RefCell::default(),
        is_leaving: Cell::new(false),
        is_disconnected: Cell::new(false),
        disconnected_entries: RefCell::default(),
        ready,
        context,
    }
}

fn announcement(context: &Context) -> Announcement {
    let identity = &context.identity;
    let listed = ListedVm {
        vm: identity.vm.clone(),
        failure_domain: identity.failure_domain.clone(),
        callers: identity.callers,
        peers: identity.peers,
        leaving: false,
        capacity: PerSecond::default(),
    };
    Announcement {
        listed,
        incarnation: identity.incarnation,
        round: 0,
        isolated: false,
        load: None,
    }
}

fn own_id(context: &Context) -> PeerId {
    PeerId::new(context.identity.vm.clone(), context.identity.incarnation)
}

fn once_config(context: &Context) -> OnceConfig {
    let once = &context.settings.once;
    OnceConfig {
        session_lifetime: once.session_lifetime,
        operations_max: once.operations_max,
        kept_total_max: once.kept_bytes_max,
        kept_answer_max: once.kept_answer_max,
        ..OnceConfig::default()
    }
}

fn peer_config(context: &Context) -> PeerConfig {
    PeerConfig { call_timeout: context.settings.peers.call_timeout, ..PeerConfig::default() }
}

fn platform_config(context: &Context) -> HttpPlatformConfig {
    let platform = &context.settings.platform;
    HttpPlatformConfig::new(platform.address.clone())
        .with_calls_per_second(platform.calls_per_s)
        .with_timeout(platform.timeout)
}

async fn handle_commands(state: Rc<State>, mut commands: mpsc::UnboundedReceiver<Command>) {
    while let Some(command) = commands.recv().await {
        handle_command(&state, command);
    }
}

/// Handles one command; a reply whose receiver has been dropped is discarded.
fn handle_command(state: &Rc<State>, command: Command) {
    match command {
        Command::Issue(reply) => {
            let state = Rc::clone(state);
            tokio::task::spawn_local(async move {
                let _reply_dropped = reply.send(operations::issue(&state).await);
            });
        }
        Command::Claim(operation, claim, reply) => {
            let state = Rc::clone(state);
            tokio::task::spawn_local(async move {
                let _reply_dropped =
                    reply.send(operations::claim(&state, &operation, &claim).await);
            });
        }
        Command::Close(operation, claim, reply) => {
            let state = Rc::clone(state);
            tokio::task::spawn_local(async move {
                let _reply_dropped =
                    reply.send(operations::close(&state, &operation, &claim).await);
            });
        }
        Command::Complete(operation, claim, completion, reply) => {
            let state = Rc::clone(state);
            tokio::task::spawn_local(async move {
                let done = operations::complete(&state, &operation, &claim, completion).await;
                let _reply_dropped = reply.send(done);
            });
        }
        Command::Status(reply) => {
            let _reply_dropped = reply.send(report::status(state));
        }
        Command::Audit(reply) => {
            let _reply_dropped = reply.send(report::audit(state));
        }
        Command::List(name, reply) => {
            let _reply_dropped = reply.send(state.lists.borrow().content(&name));
        }
        Command::Leave(reply) => {
            let state = Rc::clone(state);
            tokio::task::spawn_local(async move {
                if !announce_leaving(&state).await {
                    tokio::time::sleep(stale_advertisement_time(&state)).await;
                }
                let _reply_dropped = reply.send(());
            });
        }
        Command::Seal(reply) => {
            let state = Rc::clone(state);
            tokio::task::spawn_local(async move {
                seal(&state).await;
                let _reply_dropped = reply.send(());
            });
        }
    }
}
