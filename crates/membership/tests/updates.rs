//! Propagation of membership updates in a fleet in which each VM exchanges heartbeats with only a
//! few others.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::collections::BTreeSet;
use std::time::Duration;

use shallotfork_membership::{
    Announcement, EntryState, ListedVm, MemberUpdate, MembershipView, ViewConfig, heartbeat_peers,
};
use shallotfork_types::{Incarnation, LoadLevel, Mono, PerSecond, Revision, VmId};

const PEERS: usize = 3;
const PERIOD: Duration = Duration::from_millis(500);

/// A fleet in which heartbeats are delivered without delay, except to and from silent VMs.
struct Fleet {
    views: Vec<MembershipView>,
    now: Mono,
    silent: BTreeSet<usize>,
    /// Whether the first failure domain is partitioned from the others.
    is_partitioned: bool,
}

fn listed(index: usize) -> ListedVm {
    let port = 1000 + index;
    ListedVm {
        vm: VmId::new(&format!("vm-{index:03}")).unwrap(),
        failure_domain: format!("fd-{}", index % 3).parse().unwrap(),
        callers: format!("127.0.0.1:{port}").parse().unwrap(),
        peers: format!("127.0.0.2:{port}").parse().unwrap(),
        leaving: false,
        capacity: PerSecond::default(),
    }
}

impl Fleet {
    fn new(size: usize) -> Self {
        let list: Vec<ListedVm> = (0..size).map(listed).collect();
        let view = |index: usize| {
            let own = announcement(index, false, 0);
            let mut view = MembershipView::new(ViewConfig::default(), &own, Mono::ZERO);
            view.set_published(Revision::new(1), &list, Mono::ZERO);
            view
        };
        let views = (0..size).map(view).collect();
        Self { views, now: Mono::ZERO, silent: BTreeSet::new(), is_partitioned: false }
    }

    fn with_silent(mut self, index: usize) -> Self {
        self.silent.insert(index);
        self
    }

    fn with_periods(mut self, periods: u32) -> Self {
        for _ in 0..periods {
            self.now = self.now.plus(PERIOD);
            (0..self.views.len()).for_each(|index| self.send_heartbeats(index));
        }
        self
    }

    fn send_heartbeats(&mut self, from: usize) {
        if self.silent.contains(&from) {
            return;
        }
        let own = listed(from).vm;
        let peers = heartbeat_peers(&own, &self.views[from].entries(), PEERS);
        let monitored = peers.iter().map(|peer| peer.vm.clone()).collect();
        self.views[from].monitor(&monitored, self.now);
        self.views[from].expire(self.now);
        for peer in peers {
            let to: usize = peer.vm.as_str()[3..].parse().unwrap();
            let is_unreachable =
                self.is_partitioned && from.is_multiple_of(3) != to.is_multiple_of(3);
            if !self.silent.contains(&to) && !is_unreachable {
                self.exchange(from, to);
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        for (sender, receiver) in [(from, to), (to, from)] {
            let leaving = self.state_of(sender, sender) == EntryState::Leaving;
            let round = self.views[sender].own_round();
            let updates = self.views[sender].take_due_updates();
            self.views[receiver].receive_heartbeat(&announcement(sender, leaving, round), self.now);
            for update in updates {
                self.views[receiver].receive_update(&update, self.now);
            }
        }
    }

    fn state_of(&self, index: usize, about: usize) -> EntryState {
        let vm = listed(about).vm;
        self.views[index].entries().iter().find(|entry| entry.vm == vm).unwrap().state
    }

    /// Returns the number of VMs, except for silent ones, that see a VM in this state.
    fn count_views_with(&self, about: usize, state: EntryState) -> usize {
        let observers = (0..self.views.len()).filter(|index| !self.silent.contains(index));
        observers.filter(|index| self.state_of(*index, about) == state).count()
    }
}

fn announcement(index: usize, leaving: bool, round: u32) -> Announcement {
    let listed = ListedVm { leaving, ..listed(index) };
    Announcement {
        listed,
        incarnation: Incarnation::new(index as u64),
        round,
        isolated: false,
        load: None,
    }
}

#[test]
fn a_healthy_fleet_has_no_suspicions() {
    let fleet = Fleet::new(60).with_periods(40);
    for about in 0..60 {
        assert_eq!(60, fleet.count_views_with(about, EntryState::Live));
    }
}

/// Guards against a dead VM that is suspected only by the few that exchange heartbeats with it. The
/// rest of the 60 would send callers to it until the platform's list is updated, tens of seconds
/// later.
#[test]
fn the_suspicion_of_a_dead_vm_reaches_all() {
    let fleet = Fleet::new(60).with_periods(10).with_silent(7).with_periods(16);
    assert_eq!(59, fleet.count_views_with(7, EntryState::Suspected));
}

/// Guards against advertising a leaving VM, which notifies only a few others directly.
#[test]
fn the_state_of_a_leaving_vm_reaches_all() {
    let mut fleet = Fleet::new(60).with_periods(10);
    fleet.views[7].leave();
    let fleet = fleet.with_periods(6);
    assert_eq!(60, fleet.count_views_with(7, EntryState::Leaving));
}

/// Guards against a VM that stays suspected after a pause of ten seconds. Without a refutation, the
/// VMs that exchange no heartbeats with it would leave it out permanently.
#[test]
fn the_refutation_of_a_resumed_vm_reaches_all() {
    let mut fleet = Fleet::new(60).with_periods(10).with_silent(7).with_periods(20);
    fleet.silent.clear();
    fleet.views[7].handle_resume(fleet.now);
    let fleet = fleet.with_periods(12);
    assert_eq!(60, fleet.count_views_with(7, EntryState::Live));
}

/// Guards against a new VM that gets no callers until the platform lists it, since it contacts only
/// the few VMs that it knows.
#[test]
fn a_vm_that_is_not_listed_yet_becomes_known_to_all() {
    let mut fleet = Fleet::new(60);
    let list: Vec<ListedVm> = (0..59).map(listed).collect();
    for (index, view) in fleet.views.iter_mut().enumerate() {
        *view =
            MembershipView::new(ViewConfig::default(), &announcement(index, false, 0), Mono::ZERO);
        view.set_published(Revision::new(1), &list, Mono::ZERO);
    }
    let fleet = fleet.with_periods(8);
    let is_known =
        |view: &MembershipView| view.entries().iter().any(|entry| entry.vm == listed(59).vm);
    assert!(fleet.views.iter().all(is_known));
}

/// Guards against suspicions that outlast a partition. A failed switch separates one failure domain
/// from the rest for ten seconds and each side suspects the other; afterwards callers must be sent
/// to all again.
#[test]
fn suspicions_end_after_a_partition_heals() {
    let mut fleet = Fleet::new(60).with_periods(10);
    fleet.is_partitioned = true;
    let mut fleet = fleet.with_periods(20);
    assert!(fleet.count_views_with(3, EntryState::Suspected) > 0);
    fleet.is_partitioned = false;
    let fleet = fleet.with_periods(20);
    for about in 0..60 {
        assert_eq!(60, fleet.count_views_with(about, EntryState::Live), "VM {about}");
    }
}

/// Guards against propagating updates about all VMs when hundreds start at once. They filled the
/// links for seconds and left the few large VMs no time to find each other.
#[test]
fn only_updates_about_selected_vms_are_propagated() {
    let mut view =
        MembershipView::new(ViewConfig::default(), &announcement(0, false, 0), Mono::ZERO);
    view.set_propagated(BTreeSet::from([listed(1).vm]));
    for index in 1..=3 {
        view.receive_heartbeat(&announcement(index, false, 0), Mono::ZERO);
    }
    let vms = |updates: Vec<MemberUpdate>| -> Vec<VmId> {
        updates.into_iter().map(|update| update.about.listed.vm).collect()
    };
    assert_eq!(vms(view.take_due_updates()), [listed(1).vm]);
    assert_eq!(vms(view.updates_since(0)), [listed(1).vm]);
    let version = view.version();
    view.receive_heartbeat(&announcement(3, true, 0), Mono::ZERO);
    assert_eq!(vms(view.updates_since(version)), [listed(3).vm], "the end of a known VM");
}

/// Guards against sending updates back to where they came from: an entry that no other one calls
/// receives hundreds of them from those that it calls.
#[test]
fn without_forwarding_only_own_updates_are_sent() {
    let mut view =
        MembershipView::new(ViewConfig::default(), &announcement(0, false, 0), Mono::ZERO);
    view.set_forwards_updates(false);
    let about = announcement(1, false, 0);
    view.receive_update(&MemberUpdate { about, suspected: false }, Mono::ZERO);
    assert!(view.take_due_updates().is_empty());
    view.leave();
    assert_eq!(view.take_due_updates().len(), 1);
}

/// Guards against a forgotten VM that is added again by the update about its end and is then
/// propagated forever.
#[test]
fn the_end_of_an_unknown_vm_is_ignored() {
    let mut view =
        MembershipView::new(ViewConfig::default(), &announcement(0, false, 0), Mono::ZERO);
    let version = view.version();
    view.receive_update(
        &MemberUpdate { about: announcement(1, false, 0), suspected: true },
        Mono::ZERO,
    );
    view.receive_update(
        &MemberUpdate { about: announcement(2, true, 0), suspected: false },
        Mono::ZERO,
    );
    assert_eq!((view.entries().len(), view.version()), (1, version));
}

/// Guards against a version that changes with every heartbeat. Everything derived from the members
/// is computed again when it changes, so each heartbeat would make a small VM sort all members.
#[test]
fn the_version_changes_only_with_the_state_of_members() {
    let mut view =
        MembershipView::new(ViewConfig::default(), &announcement(0, false, 0), Mono::ZERO);
    view.receive_heartbeat(&announcement(1, false, 0), Mono::ZERO);
    let (version, entries) = (view.version(), view.entries());
    view.receive_heartbeat(&announcement(1, false, 0), Mono::from_millis(100));
    view.monitor(&BTreeSet::from([listed(1).vm]), Mono::from_millis(100));
    view.expire(Mono::from_millis(200));
    assert_eq!((view.version(), view.entries()), (version, entries.clone()));
    view.expire(Mono::from_millis(9_000));
    assert_ne!(view.version(), version);
    assert_ne!(view.entries(), entries);
}

/// Guards against a restarted VM whose earlier incarnation comes back. Others may still know that
/// one as dead or live; whatever the order of their updates, the new incarnation wins.
#[test]
fn updates_about_an_earlier_incarnation_do_not_replace_a_later_one() {
    let update = |incarnation: u64, suspected: bool| {
        let about = Announcement {
            incarnation: Incarnation::new(incarnation),
            ..announcement(1, false, 0)
        };
        MemberUpdate { about, suspected }
    };
    let state_after = |updates: &[MemberUpdate]| -> (EntryState, Option<Incarnation>) {
        let mut view =
            MembershipView::new(ViewConfig::default(), &announcement(0, false, 0), Mono::ZERO);
        updates.iter().for_each(|update| view.receive_update(update, Mono::from_millis(60_000)));
        let entry = view.entries().into_iter().find(|entry| entry.vm == listed(1).vm).unwrap();
        (entry.state, entry.incarnation)
    };
    let new = (EntryState::Live, Some(Incarnation::new(8)));
    assert_eq!(state_after(&[update(8, false), update(7, true)]), new);
    assert_eq!(state_after(&[update(8, false), update(7, false)]), new);
    assert_eq!(state_after(&[update(7, false), update(7, true), update(8, false)]), new);
    // A clock that is set back between two starts makes the later incarnation look earlier.
    let set_back = [update(8, false), update(8, true), update(7, false)];
    assert_eq!(state_after(&set_back), (EntryState::Live, Some(Incarnation::new(7))));
}

/// Guards against suspecting a rarely called entry that has not answered three consecutive calls
/// but was seen in between, since it calls others itself.
#[test]
fn an_unresponsive_vm_is_suspected_unless_seen_recently() {
    let mut view =
        MembershipView::new(ViewConfig::default(), &announcement(0, false, 0), Mono::ZERO);
    view.receive_heartbeat(&announcement(1, false, 0), Mono::ZERO);
    view.monitor(&BTreeSet::from([listed(1).vm]), Mono::ZERO);
    view.suspect(&listed(1).vm, Mono::from_millis(1_000));
    assert_eq!(view.entries()[1].state, EntryState::Live);
    view.suspect(&listed(1).vm, Mono::from_millis(3_000));
    assert_eq!(view.entries()[1].state, EntryState::Suspected);
}

/// Guards against an isolation that is lost where an entry of an older release, which does not know
/// of it, forwards the update without it.
#[test]
fn isolation_outlives_an_update_without_it() {
    let update = |round: u32, isolated: bool| MemberUpdate {
        about: Announcement { isolated, ..announcement(1, false, round) },
        suspected: false,
    };
    let isolated_after = |updates: &[MemberUpdate]| {
        let own = announcement(0, false, 0);
        let mut view = MembershipView::new(ViewConfig::default(), &own, Mono::ZERO);
        updates.iter().for_each(|update| view.receive_update(update, Mono::from_millis(60_000)));
        let entries = view.entries();
        entries.iter().find(|entry| entry.vm == listed(1).vm).unwrap().isolated
    };
    assert!(isolated_after(&[update(2, true), update(2, false)]));
    assert!(isolated_after(&[update(2, false), update(2, true)]));
    assert!(isolated_after(&[update(2, true), update(1, false)]));
    assert!(!isolated_after(&[update(2, true), update(3, false)]));
    assert!(!isolated_after(&[update(3, false), update(2, true)]));
}

/// Guards against a VM that is isolated, or no longer isolated, without the others learning it.
#[test]
fn a_change_of_isolation_raises_the_round() {
    let own = announcement(0, false, 0);
    let mut view = MembershipView::new(ViewConfig::default(), &own, Mono::ZERO);
    view.set_own_isolated(false);
    assert_eq!(view.own_round(), 0);
    view.set_own_isolated(true);
    view.set_own_isolated(true);
    assert_eq!((view.own_round(), view.is_own_isolated()), (1, true));
    assert!(view.take_due_updates().iter().any(|update| update.about.isolated));
    view.set_own_isolated(false);
    assert_eq!((view.own_round(), view.is_own_isolated()), (2, false));
}

/// Guards against changes of load that each entry sends to each contact several times: in a fleet that
/// advertises many entries they would cost more than all other updates.
#[test]
fn a_change_of_load_alone_is_sent_only_after_a_comparison() {
    let own = announcement(0, false, 0);
    let mut view = MembershipView::new(ViewConfig::default(), &own, Mono::ZERO);
    view.receive_heartbeat(&announcement(1, false, 0), Mono::ZERO);
    view.receive_update(&update_about(2, 0, None), Mono::ZERO);
    while !view.take_due_updates().is_empty() {}
    let version = view.version();
    view.set_own_load(LoadLevel::IDLE);
    let busy = Announcement { load: LoadLevel::new(9).ok(), ..announcement(1, false, 1) };
    view.receive_heartbeat(&busy, Mono::ZERO);
    view.receive_update(&update_about(2, 1, LoadLevel::new(5).ok()), Mono::ZERO);
    assert_eq!(view.take_due_updates(), []);
    assert_eq!(view.updates_since(version).len(), 3);
    let isolated = Announcement { isolated: true, round: 2, ..busy };
    view.receive_heartbeat(&isolated, Mono::ZERO);
    assert_eq!(view.take_due_updates().len(), 1);
}

fn update_about(index: usize, round: u32, load: Option<LoadLevel>) -> MemberUpdate {
    let about = Announcement { load, ..announcement(index, false, round) };
    MemberUpdate { about, suspected: false }
}

/// Guards against a load that is lost where an entry of an older release forwards the update without it,
/// and against an older load that replaces a later one.
#[test]
fn load_follows_the_latest_round() {
    let load = |number: u8| LoadLevel::new(number).ok();
    let update = |round: u32, number: u8| MemberUpdate {
        about: Announcement { load: load(number), ..announcement(1, false, round) },
        suspected: false,
    };
    let load_after = |updates: &[MemberUpdate]| {
        let own = announcement(0, false, 0);
        let mut view = MembershipView::new(ViewConfig::default(), &own, Mono::ZERO);
        updates.iter().for_each(|update| view.receive_update(update, Mono::from_millis(60_000)));
        view.live_loads().find(|(vm, _)| **vm == listed(1).vm).and_then(|(_, load)| load)
    };
    let no_load = 0;
    assert_eq!(load_after(&[update(2, 9), update(2, no_load)]), load(9));
    assert_eq!(load_after(&[update(2, no_load), update(2, 9)]), load(9));
    assert_eq!(load_after(&[update(3, 5), update(2, 9)]), load(5));
    assert_eq!(load_after(&[update(2, 9), update(3, 5)]), load(5));
}
