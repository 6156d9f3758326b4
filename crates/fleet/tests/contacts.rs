//! Whom entries exchange heartbeats with, in fleets of hundreds.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::collections::{BTreeMap, BTreeSet};

use shallotfork_fleet::{
    Candidate, Contacts, Standing, active_entries, choose_readers, contacts, fleet_order, heads,
    may_have_to_read, near_periods,
};
use shallotfork_types::{FailureDomain, PerSecond, VmId};

const HALLS: usize = 5;
const TARGETS: usize = 809;
const STRONG: u32 = 833;
const WEAK: u32 = 104;

/// Entries in five halls in turn; `(count, strength)`.
fn fleet(strengths: &[(usize, u32)]) -> Vec<Candidate> {
    let all = strengths.iter().flat_map(|(count, capacity)| vec![*capacity; *count]);
    let candidate = |(number, capacity)| Candidate {
        vm: VmId::new(&format!("vm-{number}")).unwrap(),
        failure_domain: FailureDomain::new(&format!("hall-{}", number % HALLS)).unwrap(),
        capacity: PerSecond::new(capacity),
    };
    fleet_order(all.enumerate().map(candidate).collect())
}

fn large_fleet() -> Vec<Candidate> {
    fleet(&[(15, STRONG), (457, WEAK)])
}

fn named(order: &[Candidate]) -> BTreeSet<VmId> {
    active_entries(TARGETS, order).into_iter().map(|entry| entry.vm).collect()
}

/// Everybody's contacts, of a fleet in which all know all.
fn all_contacts(order: &[Candidate]) -> BTreeMap<VmId, Contacts> {
    let names: Vec<VmId> = order.iter().map(|entry| entry.vm.clone()).collect();
    let readers = choose_readers(&names, &BTreeSet::new());
    let named = named(order);
    let of = |own: &Candidate| {
        let here = order.iter().filter(|entry| entry.failure_domain == own.failure_domain);
        contacts(&Standing {
            own,
            order,
            readers: &readers,
            named: &named,
            may_have_to_read: false,
            domain_entries: here.count(),
        })
    };
    order.iter().map(|own| (own.vm.clone(), of(own))).collect()
}

/// Each of 472 entries sent heartbeats to the first ones and the readers of other failure domains:
/// 5,000 a second, of which half crossed, more bytes than the requests that they were for.
#[test]
fn what_crosses_failure_domains_does_not_grow_with_the_fleet() {
    let crossing_per_period = |order: &[Candidate]| -> f64 {
        let domains: BTreeMap<&VmId, &FailureDomain> =
            order.iter().map(|entry| (&entry.vm, &entry.failure_domain)).collect();
        let all = all_contacts(order);
        let of_one = |(own, contacts): (&VmId, &Contacts)| {
            let far = contacts.watched.iter().filter(|vm| domains[vm] != domains[own]).count();
            let watched = far as f64 / f64::from(contacts.watched_periods);
            let turns = f64::from(u8::from(!contacts.in_turn.is_empty()));
            watched + turns / f64::from(contacts.in_turn_periods)
        };
        all.iter().map(of_one).sum()
    };
    let large = crossing_per_period(&large_fleet());
    let larger = crossing_per_period(&fleet(&[(15, STRONG), (2842, WEAK)]));
    assert!(large < 25.0, "{large}");
    assert_eq!(large, larger);
}

#[test]
fn no_entry_takes_more_heartbeats_than_a_period_bears() {
    let mut taken: BTreeMap<VmId, f64> = BTreeMap::new();
    for contacts in all_contacts(&large_fleet()).values() {
        for vm in &contacts.watched {
            *taken.entry(vm.clone()).or_default() += 1.0 / f64::from(contacts.watched_periods);
        }
    }
    let most = taken.values().copied().fold(0.0, f64::max);
    assert!(most < 30.0, "{most}");
}

/// All strong entries of a hall are lost and ten weak ones are named in their place. An entry that
/// none of the others watched would go on being named to callers after its end.
#[test]
fn whoever_callers_are_sent_to_is_watched_at_every_period() {
    for order in [large_fleet(), fleet(&[(457, WEAK)]), fleet(&[(3, STRONG)])] {
        let all = all_contacts(&order);
        for vm in named(&order) {
            let watchers = all.iter().filter(|(own, contacts)| {
                **own != vm && contacts.watched_periods == 1 && contacts.watched.contains(&vm)
            });
            assert!(watchers.count() >= 2, "{vm} of {}", order.len());
        }
    }
}

/// The platform turns the first entries away. Those that come next in turn hear at every period who
/// still reads, wherever they stand; the rest of the fleet is told by the first ones near it.
#[test]
fn whoever_may_have_to_read_hears_the_readers_at_every_period() {
    let order = large_fleet();
    let names: Vec<VmId> = order.iter().map(|entry| entry.vm.clone()).collect();
    let blind = BTreeSet::from([names[0].clone()]);
    let readers = choose_readers(&names, &blind);
    let (next, last) = (&order[8], &order[9]);
    assert!(may_have_to_read(&next.vm, &names, &blind));
    assert!(!may_have_to_read(&last.vm, &names, &blind));
    assert!(!may_have_to_read(&next.vm, &names, &BTreeSet::new()));
    let standing = Standing {
        own: next,
        order: &order,
        readers: &readers,
        named: &named(&order),
        may_have_to_read: true,
        domain_entries: 90,
    };
    let contacts = contacts(&standing);
    assert_eq!(contacts.watched_periods, 1);
    assert!(readers.iter().all(|vm| *vm == next.vm || contacts.watched.contains(vm)));
}

#[test]
fn an_entry_that_knows_nobody_has_no_contacts() {
    let own = large_fleet().remove(20);
    let standing = Standing {
        own: &own,
        order: &[],
        readers: &[],
        named: &BTreeSet::new(),
        may_have_to_read: false,
        domain_entries: 1,
    };
    let contacts = contacts(&standing);
    assert!(contacts.watched.is_empty() && contacts.in_turn.is_empty() && contacts.relays);
}

/// With all of 472 entries told of all others, a common start took 90 KB of news for each new
/// contact.
#[test]
fn the_fleet_knows_a_bounded_part_of_each_failure_domain() {
    let count = |order: &[Candidate]| heads(order, &named(order)).len();
    assert_eq!(count(&large_fleet()), 12 * HALLS);
    assert_eq!(count(&fleet(&[(15, STRONG), (2842, WEAK)])), 12 * HALLS);
    assert_eq!(count(&fleet(&[(14, WEAK)])), 14);
    let weak = fleet(&[(457, WEAK)]);
    assert_eq!(count(&weak), named(&weak).len() + 3 * HALLS, "all that are named, and the next");
    let order = large_fleet();
    let places = heads(&order, &named(&order));
    let places = places.iter().map(|vm| order.iter().position(|entry| entry.vm == *vm));
    assert!(places.is_sorted(), "in the order of the fleet");
    assert_eq!(near_periods(order.len() / HALLS), 5);
}
