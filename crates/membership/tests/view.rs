//! The membership view under lagging lists, pauses, restarts and planned stops.

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

fn announcement(number: u8, incarnation: u64, leaving: bool) -> Announcement {
    let listed = ListedVm { leaving, ..listed(number) };
    Announcement {
        listed,
        incarnation: Incarnation::new(incarnation),
        round: 0,
        isolated: false,
        load: None,
    }
}

/// Builds a view of VM 0 by a chain of events.
struct Case {
    view: MembershipView,
    now: Mono,
}

impl Case {
    fn new() -> Self {
        let view =
            MembershipView::new(ViewConfig::default(), &announcement(0, 100, false), Mono::ZERO);
        Self { view, now: Mono::ZERO }
    }

    fn with_list(mut self, revision: u64, numbers: &[u8]) -> Self {
        let list: Vec<ListedVm> = numbers.iter().map(|number| listed(*number)).collect();
        self.view.set_published(Revision::new(revision), &list, self.now);
        self.monitoring_all()
    }

    fn monitoring_all(mut self) -> Self {
        let all: BTreeSet<VmId> = self.view.entries().into_iter().map(|entry| entry.vm).collect();
        self.view.monitor(&all, self.now);
        self
    }

    fn with_heartbeat(mut self, number: u8, incarnation: u64, leaving: bool) -> Self {
        self.view.receive_heartbeat(&announcement(number, incarnation, leaving), self.now);
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
fn a_silent_vm_is_suspected_but_never_the_local_one() {
    let case = Case::new().with_list(1, &[0, 1]).with_wait(3);
    assert_eq!(Some(EntryState::Suspected), case.state(1));
    assert_eq!(Some(EntryState::Live), case.state(0));
}

/// Guards against a late heartbeat of an ended incarnation. A VM is paused, its replacement starts
/// under the same name, and the paused process resumes. The state of the ended incarnation would
/// come back and callers would be rejected.
#[test]
fn a_heartbeat_of_an_ended_incarnation_is_ignored() {
    let case = Case::new()
        .with_heartbeat(1, 1, true)
        .with_heartbeat(1, 2, false)
        .with_heartbeat(1, 1, true);
    assert_eq!(Some(EntryState::Live), case.state(1));
}

/// Guards against sending callers to a VM that is about to stop because the lagging platform list
/// still has it as live. The VM's own announcement must take precedence.
#[test]
fn a_leaving_announcement_overrides_a_lagging_list() {
    let case = Case::new().with_heartbeat(1, 1, true).with_list(1, &[0, 1]);
    assert_eq!(Some(EntryState::Leaving), case.state(1));
}

/// Guards against a removed VM that is listed again permanently because a lagging replica of the
/// platform returns an old list after a newer one was seen.
#[test]
fn a_list_of_lower_revision_is_ignored() {
    let mut case = Case::new().with_list(2, &[0]).with_list(1, &[0, 1]).with_wait(61);
    case.view.expire(case.now);
    assert_eq!(None, case.state(1));
}

/// Guards against a process that suspects all peers after a pause of a minute: they seem silent
/// although only its own clock has advanced.
#[test]
fn a_resumed_process_does_not_suspect_others() {
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

/// Guards against responses that list a leaving VM, or no VM although one is available.
#[test]
fn responses_have_no_leaving_vms_and_are_never_empty() {
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

/// Guards against reshuffled groups, with which the loss of one VM of nine would move the callers
/// of every service at once.
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

/// Guards against a VM that responds late and is taken for lost and found again many times a
/// minute.
#[test]
fn wrong_suspicions_extend_the_allowed_silence() {
    let config = ViewConfig { suspect_after: Duration::from_millis(500), ..ViewConfig::default() };
    let mut view = MembershipView::new(config, &announcement(0, 100, false), Mono::ZERO);
    let mut now = Mono::ZERO;
    let mut silences = Vec::new();
    for _ in 0..4 {
        view.receive_heartbeat(&announcement(1, 7, false), now);
        view.monitor(&BTreeSet::from([vm(1)]), now);
        let started_at = now;
        while view.entries().iter().all(|entry| entry.state != EntryState::Suspected) {
            now = now.plus(Duration::from_millis(10));
            view.expire(now);
        }
        silences.push(now.since(started_at).as_millis());
        now = now.plus(Duration::from_millis(100));
    }
    assert_eq!(silences, [510, 1010, 2010, 2010]);
}

/// Guards against late detection of the next loss of a VM that was unreachable for a long time.
#[test]
fn a_long_absence_does_not_extend_the_allowed_silence() {
    let mut case = Case::new().with_heartbeat(1, 7, false).monitoring_all().with_wait(3);
    assert_eq!(case.state(1), Some(EntryState::Suspected));
    case = case.with_wait(10).with_heartbeat(1, 7, false).with_wait(3);
    assert_eq!(case.state(1), Some(EntryState::Suspected));
}

/// Guards against a live VM that is left out permanently because nobody sends it the suspicion that
/// the others hold; the receivers of its heartbeats no longer hold it.
#[test]
fn a_returning_vm_receives_the_suspicion_until_it_refutes_it() {
    let mut case = Case::new().with_heartbeat(1, 7, false).monitoring_all().with_wait(3);
    assert_eq!(case.view.suspicion_of(&vm(1)), None, "it has not been seen since");
    case = case.with_heartbeat(1, 7, false);
    let update = case.view.suspicion_of(&vm(1)).unwrap();
    assert!(update.suspected);
    let mut suspected =
        MembershipView::new(ViewConfig::default(), &announcement(1, 7, false), Mono::ZERO);
    suspected.receive_update(&update, Mono::ZERO);
    assert_eq!(suspected.own_round(), update.about.round + 1);
    let refuted = Announcement { round: suspected.own_round(), ..announcement(1, 7, false) };
    case.view.receive_heartbeat(&refuted, case.now);
    assert_eq!(case.view.suspicion_of(&vm(1)), None);
}
