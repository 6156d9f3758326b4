//! The view under lag, pauses, restarts and leaving.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::collections::BTreeSet;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use shallotfork_balance::GroupSize;
use shallotfork_membership::{
    Announcement, CallerPreference, EntryState, ListedVm, MembershipView, ViewConfig, entries_for,
};
use shallotfork_types::{Incarnation, Mono, PerSecond, Revision, ServiceName, VmId};

const SEED: u64 = 0x3e3b;
const GROUP_SIZE: u32 = 4;

fn vm(number: u8) -> VmId {
    VmId::new(&format!("vm-{number}")).unwrap()
}

fn listed(number: u8) -> ListedVm {
    let port = u16::from(number) + 1000;
    ListedVm {
        vm: vm(number),
        failure_domain: format!("fd-{}", number % 3).parse().unwrap(),
        callers: format!("127.0.0.1:{port}").parse().unwrap(),
        peers: format!("127.0.0.1:{}", port + 1000).parse().unwrap(),
        leaving: false,
        capacity: PerSecond::default(),
    }
}

fn says(number: u8, incarnation: u64, leaving: bool) -> Announcement {
    let listed = ListedVm { leaving, ..listed(number) };
    Announcement { listed, incarnation: Incarnation::new(incarnation), round: 0 }
}

/// Sets up a view of VM 0 in a chain of events, one second apart.
struct Case {
    view: MembershipView,
    now: Mono,
}

impl Case {
    fn new() -> Self {
        let view = MembershipView::new(ViewConfig::default(), &says(0, 100, false), Mono::ZERO);
        Self { view, now: Mono::ZERO }
    }

    fn with_list(mut self, revision: u64, numbers: &[u8]) -> Self {
        let list: Vec<ListedVm> = numbers.iter().map(|number| listed(*number)).collect();
        self.view.set_published(Revision::new(revision), &list, self.now);
        self.watching_all()
    }

    fn watching_all(mut self) -> Self {
        let all: BTreeSet<VmId> = self.view.entries().into_iter().map(|entry| entry.vm).collect();
        self.view.monitor(&all, self.now);
        self
    }

    fn with_heartbeat(mut self, number: u8, incarnation: u64, leaving: bool) -> Self {
        self.view.receive_heartbeat(&says(number, incarnation, leaving), self.now);
        self
    }

    fn with_wait(mut self, wait_s: u64) -> Self {
        self.now = self.now.plus(Duration::from_secs(wait_s));
        self.view.expire(self.now);
        self
    }

    fn state(&self, number: u8) -> Option<EntryState> {
        let entries = self.view.entries();
        entries.iter().find(|entry| entry.vm == vm(number)).map(|entry| entry.state)
    }
}

#[test]
fn a_silent_vm_is_suspected_and_the_own_one_never() {
    let case = Case::new().with_list(1, &[0, 1]).with_wait(3);
    assert_eq!(Some(EntryState::Suspected), case.state(1));
    assert_eq!(Some(EntryState::Live), case.state(0));
}

/// A VM is paused, its replacement starts under the same name, and the paused process wakes up.
/// Its late heartbeat would bring back the state of the ended run, and callers would be refused.
/// The cause is a message that outlives its sender's replacement.
#[test]
fn a_heartbeat_of_an_ended_incarnation_is_ignored() {
    let case = Case::new()
        .with_heartbeat(1, 1, true)
        .with_heartbeat(1, 2, false)
        .with_heartbeat(1, 1, true);
    assert_eq!(Some(EntryState::Live), case.state(1));
}

/// A VM says that it leaves while the platform's list still calls it live.
/// Callers would be sent to a VM that is about to stop.
/// The cause is the list's lag; the VM's own word must win.
#[test]
fn a_leaving_notice_wins_over_a_lagging_list() {
    let case = Case::new().with_heartbeat(1, 1, true).with_list(1, &[0, 1]);
    assert_eq!(Some(EntryState::Leaving), case.state(1));
}

/// A replica of the platform answers with an old list after a newer one was seen.
/// A VM that was taken off the list would be listed again for good.
/// The cause is a replica that lags behind its peers.
#[test]
fn a_lower_list_is_ignored() {
    let mut case = Case::new().with_list(2, &[0]).with_list(1, &[0, 1]).with_wait(61);
    case.view.expire(case.now);
    assert_eq!(None, case.state(1));
}

/// A process is stopped for a minute and resumed.
/// All peers look silent, although only its own clock ran on, and every one would be suspected.
#[test]
fn a_resumed_process_does_not_suspect_everyone() {
    let mut case = Case::new().with_list(1, &[0, 1, 2]);
    case.now = case.now.plus(Duration::from_secs(60));
    case.view.handle_resume(case.now);
    case.view.expire(case.now);
    assert_eq!(Some(EntryState::Live), case.state(1));
}

#[derive(Debug, Clone)]
struct Events(Vec<(u8, u8, u64, bool, u64)>);

impl Arbitrary for Events {
    fn arbitrary(g: &mut Gen) -> Self {
        let one = |g: &mut Gen| {
            (
                u8::arbitrary(g) % 4,
                u8::arbitrary(g) % 6,
                u64::from(u8::arbitrary(g) % 3),
                bool::arbitrary(g),
                u64::from(u8::arbitrary(g) % 4),
            )
        };
        Self((0..g.size()).map(|_| one(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(Self))
    }
}

fn run(events: &Events) -> Case {
    events.0.iter().fold(Case::new(), |case, (kind, number, small, flag, wait_s)| {
        let case = case.with_wait(*wait_s);
        match kind {
            0 => case.with_list(*small, &[0, *number]),
            1 => case.with_heartbeat(*number, *small, *flag),
            2 => case.with_heartbeat(*number, *small, false),
            _ => case.with_wait(5),
        }
    })
}

/// An answer to a caller names a VM that is leaving, or names nobody although one is there.
#[test]
fn answers_never_name_leaving_vms_and_are_never_empty() {
    fn property(events: Events, rotation: u64) -> bool {
        let case = run(&events);
        let entries = case.view.entries();
        let preference = CallerPreference { failure_domain: None, rotation };
        let service: ServiceName = "orders".parse().unwrap();
        let group = entries_for(&service, &entries, GroupSize::new(GROUP_SIZE), &preference);
        let leaving = group.iter().any(|entry| entry.state == EntryState::Leaving);
        !leaving && !group.is_empty() && group.len() <= GROUP_SIZE as usize
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(500)
        .quickcheck(property as fn(Events, u64) -> bool);
}

#[test]
fn a_group_spans_the_failure_domains_and_starts_near_the_caller() {
    let case = Case::new().with_list(1, &[0, 1, 2, 3, 4, 5, 6, 7, 8]);
    let entries = case.view.entries();
    let service: ServiceName = "orders".parse().unwrap();
    for rotation in 0..4 {
        let near = "fd-2".parse().unwrap();
        let preference = CallerPreference { failure_domain: Some(near), rotation };
        let group = entries_for(&service, &entries, GroupSize::new(GROUP_SIZE), &preference);
        let domains: BTreeSet<&str> =
            group.iter().map(|entry| entry.failure_domain.as_str()).collect();
        assert_eq!(3, domains.len());
        assert_eq!("fd-2", group[0].failure_domain.as_str());
    }
}

/// One VM of nine is lost.
/// If groups were reshuffled, callers of every service would change entries at once.
#[test]
fn losing_a_vm_changes_only_the_groups_it_was_in() {
    let all = Case::new().with_list(1, &[0, 1, 2, 3, 4, 5, 6, 7, 8]);
    let fewer = Case::new().with_list(1, &[0, 1, 2, 3, 4, 5, 6, 7]);
    let preference = CallerPreference { failure_domain: None, rotation: 0 };
    for number in 0..200 {
        let service: ServiceName = format!("service-{number}").parse().unwrap();
        let names = |case: &Case| {
            let entries = case.view.entries();
            let mut names: Vec<VmId> =
                entries_for(&service, &entries, GroupSize::new(GROUP_SIZE), &preference)
                    .into_iter()
                    .map(|entry| entry.vm)
                    .collect();
            names.sort();
            names
        };
        let before = names(&all);
        if !before.contains(&vm(8)) {
            assert_eq!(before, names(&fewer));
        }
    }
}

/// Guards against a VM that answers late and is taken for lost and found again many times a minute.
#[test]
fn a_vm_that_was_suspected_wrongly_may_be_silent_for_longer() {
    let config = ViewConfig { suspect_after: Duration::from_millis(500), ..ViewConfig::default() };
    let mut view = MembershipView::new(config, &says(0, 100, false), Mono::ZERO);
    let mut now = Mono::ZERO;
    let mut silences = Vec::new();
    for _ in 0..4 {
        view.receive_heartbeat(&says(1, 7, false), now);
        view.monitor(&BTreeSet::from([vm(1)]), now);
        let begun = now;
        while view.entries().iter().all(|entry| entry.state != EntryState::Suspected) {
            now = now.plus(Duration::from_millis(10));
            view.expire(now);
        }
        silences.push(now.since(begun).as_millis());
        now = now.plus(Duration::from_millis(100));
    }
    assert_eq!(silences, [510, 1010, 2010, 2010]);
}

/// Guards against a VM that was cut off for long and whose next loss is noticed late.
#[test]
fn a_vm_that_was_gone_for_long_was_not_suspected_wrongly() {
    let mut case = Case::new().with_heartbeat(1, 7, false).watching_all().with_wait(3);
    assert_eq!(case.state(1), Some(EntryState::Suspected));
    case = case.with_wait(10).with_heartbeat(1, 7, false).with_wait(3);
    assert_eq!(case.state(1), Some(EntryState::Suspected));
}

/// Guards against a VM that lives and is left out for good: whoever heard it knows better, and nobody
/// tells it of the suspicion that all others go by.
#[test]
fn a_vm_that_is_heard_again_is_told_of_the_suspicion_until_it_refutes_it() {
    let mut case = Case::new().with_heartbeat(1, 7, false).watching_all().with_wait(3);
    assert_eq!(case.view.suspicion_of(&vm(1)), None, "it has not been heard since");
    case = case.with_heartbeat(1, 7, false);
    let news = case.view.suspicion_of(&vm(1)).unwrap();
    assert!(news.suspected);
    let mut suspected = MembershipView::new(ViewConfig::default(), &says(1, 7, false), Mono::ZERO);
    suspected.receive_update(&news, Mono::ZERO);
    assert_eq!(suspected.own_round(), news.about.round + 1);
    let refuted = Announcement { round: suspected.own_round(), ..says(1, 7, false) };
    case.view.receive_heartbeat(&refuted, case.now);
    assert_eq!(case.view.suspicion_of(&vm(1)), None);
}
