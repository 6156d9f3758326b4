//! State of the control thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use shallotfork_balance::SlotTarget;
use shallotfork_evacuation::Evacuations;
use shallotfork_feed::{Archive, Feed, Packer, PullScheduler, Uplink};
use shallotfork_fleet::{FleetMember, FleetView, OwnState};
use shallotfork_membership::{Announcement, ListedVm};
use shallotfork_peer::Bundle;
use shallotfork_revisions::PullGate;
use shallotfork_roster::Roster;
use shallotfork_routes::Configuration;
use shallotfork_types::{Endpoint, Epoch, ListsDigest, Mono, Position, ServiceName};
use tokio::sync::{Notify, watch};

use crate::context::Context;
use crate::control::ignored_elements::IgnoredItem;
use crate::control::peers::Peers;
use crate::control::pull::PullSource;
use crate::control::serve_pulls::PullCounts;

/// State that only the control thread accesses.
///
/// No borrow is held across an await, so tasks of the thread never find a cell already borrowed.
pub struct ControlState {
    /// State shared with the traffic threads.
    pub context: Arc<Context>,
    /// Membership of this entry in the fleet.
    pub fleet: RefCell<FleetMember>,
    /// Connections to other entries.
    pub peers: Peers,
    /// Routes in force, and whether newer ones are known that are not.
    pub configuration: RefCell<Configuration>,
    /// Published targets and evacuations that are not used as published, by key.
    pub ignored_items: RefCell<BTreeMap<String, IgnoredItem>>,
    /// Published targets.
    pub roster: RefCell<Roster>,
    /// Evacuations of failure domains.
    pub evacuations: RefCell<Evacuations>,
    /// Interface to the platform.
    pub feed: Arc<dyn Feed>,
    /// Time of the platform's last answer to this entry.
    pub platform_answered_at: Cell<Option<Mono>>,
    /// Published items as last received.
    pub archive: RefCell<Archive>,
    /// Packed items for other entries.
    pub packer: RefCell<Packer>,
    /// Packed items of earlier epochs for other entries.
    pub retained_packer: RefCell<Packer>,
    /// Signalled when a heartbeat of another entry, or what was pulled from it, may show whether the two
    /// hold the same items of earlier epochs.
    pub peer_compared: Notify,
    /// Position and digest of the retained items that another entry has reported last.
    pub peer_retained: Cell<Option<(Epoch, ListsDigest)>>,
    /// Limits pulls for the items of earlier epochs that other entries retain.
    pub retained_pulls: RefCell<PullGate>,
    /// All small items packed together, with their position.
    pub snapshot_bundle: RefCell<Option<(Position, Bundle)>>,
    /// Decides when to pull from other entries.
    pub pull_scheduler: RefCell<PullScheduler>,
    /// Since when this entry has waited for others to send the items that it would have read first.
    pub first_pull_awaited_since: Cell<Option<Mono>>,
    /// Alternative entries to pull from while the chosen one is busy.
    pub pull_sources: RefCell<Vec<PullSource>>,
    /// Counts of pulls served to other entries.
    pub served_pulls: PullCounts,
    /// Limits the share of the network uplink that served pulls may use.
    pub uplink: RefCell<Uplink>,
    /// Since when the platform counts as unavailable; `None` while it is available.
    pub platform_outage_started_at: Cell<Option<Mono>>,
    /// View of the fleet that was published last.
    pub last_view: RefCell<Option<Rc<FleetView>>>,
    /// Signalled when this entry may have to start or stop reading the platform.
    pub recheck_reader_role: Notify,
    /// Targets that were last passed to the slots of each service.
    pub assigned_targets: RefCell<BTreeMap<ServiceName, Vec<SlotTarget>>>,
    /// Version of the roster that was published last.
    pub published_version: Cell<u64>,
    /// Version of the leaving targets with which the targets were published last.
    pub published_leaving_version: Cell<u64>,
    /// Addresses at which other entries may be found.
    pub seeds: RefCell<Vec<Endpoint>>,
    /// Becomes true once routes and targets have been read; the traffic side waits for it.
    pub ready: watch::Sender<bool>,
    /// Largest number of core entries that were live at one time.
    pub known_entries: Cell<usize>,
}

impl ControlState {
    /// Returns the current time.
    pub fn now(&self) -> Mono {
        self.context.clock.now()
    }

    /// Returns the current view of the fleet.
    pub fn view(&self) -> Rc<FleetView> {
        self.fleet.borrow_mut().view(self.now())
    }

    /// Updates this process's own state.
    pub fn update_own_state(&self, change: impl FnOnce(OwnState) -> OwnState) {
        let mut fleet = self.fleet.borrow_mut();
        let own = fleet.own_state();
        fleet.set_own_state(change(own));
    }
}

/// Returns the announcement of this process.
pub fn own_announcement(context: &Context) -> Announcement {
    let settings = &context.settings;
    Announcement {
        listed: ListedVm {
            vm: settings.vm.clone(),
            failure_domain: settings.failure_domain.clone(),
            callers: settings.ports.callers,
            peers: settings.ports.peers,
            leaving: false,
            capacity: settings.capacity,
        },
        incarnation: context.incarnation,
        round: 0,
        isolated: false,
        load: None,
    }
}
