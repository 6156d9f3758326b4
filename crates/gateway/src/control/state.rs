//! State of the control thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

use shallotfork_balance::SlotTarget;
use shallotfork_membership::{Announcement, ListedVm, View};
use shallotfork_peer::PeerState;
use shallotfork_roster::Roster;
use shallotfork_routes::InForce;
use shallotfork_types::{Endpoint, Mono, ServiceName, VmId};
use tokio::sync::{Notify, watch};

use crate::context::Context;
use crate::control::beliefs::Beliefs;
use crate::control::hearing::Told;
use crate::control::peers::Peers;
use shallotfork_feed::{Archive, CatchUp, Feed};
use shallotfork_fleet::PlatformSight;

/// All state that only the control thread touches.
///
/// No borrow is held across an await, so that tasks of the thread never meet a borrowed cell.
pub struct State {
    /// Shared with the traffic threads.
    pub context: Arc<Context>,
    /// Which entries live.
    pub view: RefCell<View>,
    /// Connections to other entries.
    pub peers: Peers,
    /// The routes in force.
    pub in_force: RefCell<InForce>,
    /// The targets.
    pub roster: RefCell<Roster>,
    /// The platform.
    pub feed: Arc<dyn Feed>,
    /// Published items as last seen.
    pub archive: RefCell<Archive>,
    /// When other entries are asked for published items.
    pub catch_up: RefCell<CatchUp>,
    /// Whether the platform answers.
    pub sight: RefCell<PlatformSight>,
    /// Since when the platform has counted as away; `None` while it does not.
    pub away_since: Cell<Option<Mono>>,
    /// What was believed of the fleet last.
    pub beliefs: RefCell<Option<Rc<Beliefs>>>,
    /// The beliefs that callers are named entries by.
    pub named_by: RefCell<Option<Rc<Beliefs>>>,
    /// Whether this entry reads the platform now.
    pub reads: Cell<bool>,
    /// Signalled when that may have to change.
    pub role_look: Notify,
    /// The targets that each service's slots were given last.
    pub given: RefCell<BTreeMap<ServiceName, Vec<SlotTarget>>>,
    /// The version of the roster that was published last.
    pub published_version: Cell<u64>,
    /// Entries that say that they can't read the platform.
    pub blind: RefCell<BTreeSet<VmId>>,
    /// Where other entries may be found.
    pub seeds: RefCell<Vec<Endpoint>>,
    /// What other entries were told.
    pub told: RefCell<BTreeMap<VmId, Told>>,
    /// Raised with each change of `blind` or `starting`.
    pub words_version: Cell<u64>,
    /// Live entries of the own failure domain, by the word of the first ones there.
    pub told_domain_entries: Cell<u32>,
    /// Entries that said that they know no routes yet, and when they said it last.
    pub starting: RefCell<BTreeMap<VmId, Mono>>,
    /// Whether a planned stop is under way.
    pub leaving: Cell<bool>,
    /// Whether routes and targets have been read once.
    pub synced: Cell<bool>,
    /// Becomes true at that moment; the traffic side waits for it.
    pub ready: watch::Sender<bool>,
    /// The most heads that were live at one time.
    pub known: Cell<usize>,
}

impl State {
    /// Whether callers may be sent to this process.
    pub fn serves(&self) -> bool {
        self.synced.get() && !self.leaving.get()
    }

    /// Where this process stands in its life.
    pub fn own_state(&self) -> PeerState {
        if self.leaving.get() {
            return PeerState::Leaving;
        }
        if self.synced.get() { PeerState::Live } else { PeerState::Starting }
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
            strength: settings.strength,
        },
        incarnation: context.incarnation,
        round: 0,
    }
}
