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
use shallotfork_roster::Roster;
use shallotfork_routes::TableInForce;
use shallotfork_types::{Endpoint, Mono, Revision, ServiceName};
use tokio::sync::{Notify, watch};

use crate::context::Context;
use crate::control::peers::Peers;
use crate::control::reading::Source;
use crate::control::telling::TellCount;

/// All state that only the control thread touches.
///
/// No borrow is held across an await, so that tasks of the thread never meet a borrowed cell.
pub struct State {
    /// Shared with the traffic threads.
    pub context: Arc<Context>,
    /// This entry's part in the fleet.
    pub fleet: RefCell<FleetMember>,
    /// Connections to other entries.
    pub peers: Peers,
    /// The routes in force.
    pub in_force: RefCell<TableInForce>,
    /// The targets.
    pub roster: RefCell<Roster>,
    /// The evacuations of failure domains.
    pub evacuations: RefCell<Evacuations>,
    /// The platform.
    pub feed: Arc<dyn Feed>,
    /// Published items as last seen.
    pub archive: RefCell<Archive>,
    /// Published items as they are handed on.
    pub packer: RefCell<Packer>,
    /// All small items as they are handed on together, and at which revision.
    pub whole_bundle: RefCell<Option<(Revision, Bundle)>>,
    /// When other entries are asked for published items.
    pub catch_up: RefCell<PullScheduler>,
    /// Other entries that may be read from when the one that is read from is busy.
    pub sources: RefCell<Vec<Source>>,
    /// What other entries were told.
    pub told: TellCount,
    /// What of the link that may take.
    pub uplink: RefCell<Uplink>,
    /// Since when the platform has counted as away; `None` while it does not.
    pub away_since: Cell<Option<Mono>>,
    /// The beliefs that callers are named entries by.
    pub named_by: RefCell<Option<Rc<FleetView>>>,
    /// Signalled when this entry may have to begin or end reading the platform.
    pub role_look: Notify,
    /// The targets that each service's slots were given last.
    pub given: RefCell<BTreeMap<ServiceName, Vec<SlotTarget>>>,
    /// The version of the roster that was published last.
    pub published_version: Cell<u64>,
    /// Where other entries may be found.
    pub seeds: RefCell<Vec<Endpoint>>,
    /// Becomes true once routes and targets have been read; the traffic side waits for it.
    pub ready: watch::Sender<bool>,
    /// The most heads that were live at one time.
    pub known: Cell<usize>,
}

impl State {
    /// The time now.
    pub fn now(&self) -> Mono {
        self.context.clock.now()
    }

    /// What is believed of the fleet now.
    pub fn beliefs(&self) -> Rc<FleetView> {
        self.fleet.borrow_mut().view(self.now())
    }

    /// Changes what this process knows of itself.
    pub fn update_own(&self, change: impl FnOnce(OwnState) -> OwnState) {
        let mut fleet = self.fleet.borrow_mut();
        let own = fleet.own_state();
        fleet.set_own_state(change(own));
    }
}

/// What this process says of itself.
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
    }
}
