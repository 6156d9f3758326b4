//! News spreads over a fleet in which each VM exchanges heartbeats with a few others only.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::collections::BTreeSet;
use std::time::Duration;

use shallotfork_membership::{
    Announcement, EntryState, ListedVm, MemberUpdate, MembershipView, ViewConfig, heartbeat_peers,
};
use shallotfork_types::{Incarnation, Mono, PerSecond, Revision, VmId};

const PEERS: usize = 3;
const PERIOD: Duration = Duration::from_millis(500);

/// A fleet whose heartbeats are delivered at once, except to and from silent VMs.
struct Fleet {
    views: Vec<MembershipView>,
    now: Mono,
    silent: BTreeSet<usize>,
    /// Whether the first failure domain is cut off from the others.
    cut: bool,
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
        Self { views, now: Mono::ZERO, silent: BTreeSet::new(), cut: false }
    }

    fn with_silent(mut self, index: usize) -> Self {
        self.silent.insert(index);
        self
    }

    fn with_periods(mut self, periods: u32) -> Self {
        for _ in 0..periods {
            self.now = self.now.plus(PERIOD);
            (0..self.views.len()).for_each(|index| self.beat(index));
        }
        self
    }

    fn beat(&mut self, from: usize) {
        if self.silent.contains(&from) {
            return;
        }
        let own = listed(from).vm;
        let peers = heartbeat_peers(&own, &self.views[from].entries(), PEERS);
        let watched = peers.iter().map(|peer| peer.vm.clone()).collect();
        self.views[from].monitor(&watched, self.now);
        self.views[from].expire(self.now);
        for peer in peers {
            let to: usize = peer.vm.as_str()[3..].parse().unwrap();
            let apart = self.cut && from.is_multiple_of(3) != to.is_multiple_of(3);
            if !self.silent.contains(&to) && !apart {
                self.exchange(from, to);
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        for (speaker, hearer) in [(from, to), (to, from)] {
            let leaving = self.believes(speaker, speaker) == EntryState::Leaving;
            let round = self.views[speaker].own_round();
            let news = self.views[speaker].take_due_updates();
            self.views[hearer].receive_heartbeat(&announcement(speaker, leaving, round), self.now);
            for piece in news {
                self.views[hearer].receive_update(&piece, self.now);
            }
        }
    }

    fn believes(&self, index: usize, about: usize) -> EntryState {
        let vm = listed(about).vm;
        self.views[index].entries().iter().find(|entry| entry.vm == vm).unwrap().state
    }

    /// How many of the VMs that are not silent hold this belief.
    fn believers(&self, about: usize, state: EntryState) -> usize {
        let speaking = (0..self.views.len()).filter(|index| !self.silent.contains(index));
        speaking.filter(|index| self.believes(*index, about) == state).count()
    }
}

fn announcement(index: usize, leaving: bool, round: u32) -> Announcement {
    let listed = ListedVm { leaving, ..listed(index) };
    Announcement { listed, incarnation: Incarnation::new(index as u64), round }
}

#[test]
fn a_healthy_fleet_suspects_nobody() {
    let fleet = Fleet::new(60).with_periods(40);
    for about in 0..60 {
        assert_eq!(60, fleet.believers(about, EntryState::Live));
    }
}

/// A VM in a fleet of 60 dies. Only a few others exchange heartbeats with it.
/// The rest would send callers to it until the platform's list catches up, tens of seconds later.
#[test]
fn a_dead_vm_is_soon_suspected_by_all() {
    let fleet = Fleet::new(60).with_periods(10).with_silent(7).with_periods(16);
    assert_eq!(59, fleet.believers(7, EntryState::Suspected));
}

/// A VM says that it leaves, to a few others. Those who hear it from nobody would go on to name it.
#[test]
fn a_leaving_vm_is_soon_known_to_all() {
    let mut fleet = Fleet::new(60).with_periods(10);
    fleet.views[7].leave();
    let fleet = fleet.with_periods(6);
    assert_eq!(60, fleet.believers(7, EntryState::Leaving));
}

/// A VM is paused for ten seconds and resumed. The fleet has suspected it meanwhile.
/// Without a refutation, those that exchange no heartbeats with it would leave it out for good.
#[test]
fn a_resumed_vm_is_soon_believed_live_by_all() {
    let mut fleet = Fleet::new(60).with_periods(10).with_silent(7).with_periods(20);
    fleet.silent.clear();
    fleet.views[7].handle_resume(fleet.now);
    let fleet = fleet.with_periods(12);
    assert_eq!(60, fleet.believers(7, EntryState::Live));
}

/// A VM that the platform does not list yet starts and greets the few that it was told of.
/// Callers would not be sent to it before the list catches up.
#[test]
fn a_vm_that_is_not_listed_yet_is_soon_known_to_all() {
    let mut fleet = Fleet::new(60);
    let list: Vec<ListedVm> = (0..59).map(listed).collect();
    for (index, view) in fleet.views.iter_mut().enumerate() {
        *view =
            MembershipView::new(ViewConfig::default(), &announcement(index, false, 0), Mono::ZERO);
        view.set_published(Revision::new(1), &list, Mono::ZERO);
    }
    let fleet = fleet.with_periods(8);
    let knows =
        |view: &MembershipView| view.entries().iter().any(|entry| entry.vm == listed(59).vm);
    assert!(fleet.views.iter().all(knows));
}

/// A switch fails and cuts one failure domain off from the rest for ten seconds.
/// Each side suspects the other; after the cut has healed, callers must be sent to all again.
#[test]
fn a_healed_cut_is_soon_forgotten_by_all() {
    let mut fleet = Fleet::new(60).with_periods(10);
    fleet.cut = true;
    let mut fleet = fleet.with_periods(20);
    assert!(fleet.believers(3, EntryState::Suspected) > 0);
    fleet.cut = false;
    let fleet = fleet.with_periods(20);
    for about in 0..60 {
        assert_eq!(60, fleet.believers(about, EntryState::Live), "VM {about}");
    }
}

/// Hundreds of VMs start at once, and everybody's news is new to everybody. Passed on in full, it
/// filled the links for seconds and left the few strong VMs no time to find each other.
#[test]
fn only_news_of_those_who_come_first_is_passed_on() {
    let mut view =
        MembershipView::new(ViewConfig::default(), &announcement(0, false, 0), Mono::ZERO);
    view.set_passed_on(BTreeSet::from([listed(1).vm]));
    for index in 1..=3 {
        view.receive_heartbeat(&announcement(index, false, 0), Mono::ZERO);
    }
    let names = |news: Vec<MemberUpdate>| -> Vec<VmId> {
        news.into_iter().map(|news| news.about.listed.vm).collect()
    };
    assert_eq!(names(view.take_due_updates()), [listed(1).vm]);
    assert_eq!(names(view.news_since(0)), [listed(1).vm]);
    let version = view.version();
    view.receive_heartbeat(&announcement(3, true, 0), Mono::ZERO);
    assert_eq!(names(view.news_since(version)), [listed(3).vm], "the end of one that was known");
}

/// An entry that nobody calls hears of hundreds of restarts. It would tell those whom it calls what
/// they have just told it.
#[test]
fn who_is_called_by_nobody_passes_on_its_own_news_only() {
    let mut view =
        MembershipView::new(ViewConfig::default(), &announcement(0, false, 0), Mono::ZERO);
    view.set_relays(false);
    let about = announcement(1, false, 0);
    view.receive_update(&MemberUpdate { about, suspected: false }, Mono::ZERO);
    assert!(view.take_due_updates().is_empty());
    view.leave();
    assert_eq!(view.take_due_updates().len(), 1);
}

/// The last that was heard of a VM is its end, and it was forgotten since. Taken in again, it would be
/// passed on for ever.
#[test]
fn the_end_of_a_vm_that_is_not_known_is_no_news() {
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

/// What follows from the members is made anew when the version changes; a heartbeat that tells
/// nothing new must not change it, or each would cost a small VM a sort of all members.
#[test]
fn the_version_changes_with_the_beliefs_only() {
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

/// A VM has started anew. One neighbour knows the new run, another remembers the old one as dead or as
/// live; whatever order their words come in, the new run is what counts.
#[test]
fn hearsay_of_an_earlier_run_does_not_undo_a_later_one() {
    let news = |run: u64, suspected: bool| {
        let about =
            Announcement { incarnation: Incarnation::new(run), ..announcement(1, false, 0) };
        MemberUpdate { about, suspected }
    };
    let state_after = |words: &[MemberUpdate]| -> (EntryState, Option<Incarnation>) {
        let mut view =
            MembershipView::new(ViewConfig::default(), &announcement(0, false, 0), Mono::ZERO);
        words.iter().for_each(|word| view.receive_update(word, Mono::from_millis(60_000)));
        let entry = view.entries().into_iter().find(|entry| entry.vm == listed(1).vm).unwrap();
        (entry.state, entry.incarnation)
    };
    let new = (EntryState::Live, Some(Incarnation::new(8)));
    assert_eq!(state_after(&[news(8, false), news(7, true)]), new);
    assert_eq!(state_after(&[news(8, false), news(7, false)]), new);
    assert_eq!(state_after(&[news(7, false), news(7, true), news(8, false)]), new);
    // A clock that was set back between two runs makes the later one look earlier.
    let set_back = [news(8, false), news(8, true), news(7, false)];
    assert_eq!(state_after(&set_back), (EntryState::Live, Some(Incarnation::new(7))));
}

/// An entry that is called seldom has not answered three calls in a row. It was heard in between,
/// since it calls others itself: then it is not suspected.
#[test]
fn who_answers_no_call_is_suspected_unless_it_was_heard() {
    let mut view =
        MembershipView::new(ViewConfig::default(), &announcement(0, false, 0), Mono::ZERO);
    view.receive_heartbeat(&announcement(1, false, 0), Mono::ZERO);
    view.monitor(&BTreeSet::from([listed(1).vm]), Mono::ZERO);
    view.suspect(&listed(1).vm, Mono::from_millis(1_000));
    assert_eq!(view.entries()[1].state, EntryState::Live);
    view.suspect(&listed(1).vm, Mono::from_millis(3_000));
    assert_eq!(view.entries()[1].state, EntryState::Suspected);
}
