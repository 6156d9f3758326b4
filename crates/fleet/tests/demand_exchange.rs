//! Exchange of demand reports between advertised entries.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use quickcheck::{Gen, QuickCheck};
use shallotfork_fleet::{DemandExchange, REPORT_SERVICES_MAX, REPORTS_BYTES_MAX};
use shallotfork_measure::{DemandReport, ServiceDemand, SharerDemand};
use shallotfork_types::{Incarnation, Mono, RequestRate, ServiceKey, VmId};

fn at(ms: u64) -> Mono {
    Mono::from_millis(ms)
}

fn vm(number: usize) -> VmId {
    VmId::new(&format!("vm-{number}")).unwrap()
}

fn incarnation(number: usize) -> Incarnation {
    Incarnation::new(number as u64 + 1)
}

fn service(number: u64) -> ServiceKey {
    ServiceKey::new(number)
}

fn rate(per_s: u64) -> RequestRate {
    RequestRate::from_milli_per_s(per_s * 1000)
}

fn demand(number: u64, per_s: u64) -> ServiceDemand {
    ServiceDemand { service: service(number), rate: rate(per_s) }
}

/// Returns exchanges of entries that are all advertised since time zero.
fn exchanges(count: usize) -> Vec<DemandExchange> {
    let vms: Vec<VmId> = (0..count).map(vm).collect();
    let new = |number| {
        let mut exchange = DemandExchange::new(vm(number), incarnation(number));
        exchange.set_advertised(vms.iter(), at(0));
        exchange.set_live_domains(1);
        exchange
    };
    (0..count).map(new).collect()
}

/// Sends the due reports from one entry to another one. Returns them.
fn send(all: &mut [DemandExchange], from: usize, to: usize, now: Mono) -> Vec<DemandReport> {
    let reports = all[from].take_due_reports(&vm(to), now);
    all[to].receive(&vm(from), incarnation(from), &reports, now);
    reports
}

/// Guards against entries that learn of no demand but that of their contacts, and against reports
/// that circulate.
#[test]
fn reports_are_forwarded_once() {
    let mut all = exchanges(3);
    all[0].set_own_demand(vec![demand(1, 40)], at(100));
    assert_eq!(send(&mut all, 0, 1, at(100)).len(), 1);
    assert_eq!(send(&mut all, 0, 1, at(200)).len(), 0, "sent before");
    assert_eq!(send(&mut all, 1, 0, at(200)).len(), 0, "its own");
    assert_eq!(send(&mut all, 1, 2, at(300)).len(), 1);
    assert_eq!(send(&mut all, 2, 1, at(300)).len(), 0, "known to hold it");
    assert_eq!(all[2].demand(&vm(0), service(1), at(300)), SharerDemand::Known(rate(40)));
    assert_eq!(all[2].demand(&vm(0), service(2), at(300)), SharerDemand::Known(rate(0)));
    assert_eq!(all[2].demand(&vm(0), service(1), at(14_000)), SharerDemand::Known(rate(40)));
    assert_eq!(all[2].demand(&vm(0), service(1), at(15_200)), SharerDemand::Unknown, "expired");
}

/// Guards against demand from entries that callers are not sent to.
#[test]
fn only_advertised_entries_send_reports_and_get_them() {
    let mut all = exchanges(2);
    let mut other = DemandExchange::new(vm(7), incarnation(7));
    other.set_advertised([vm(0), vm(1)].iter(), at(0));
    other.set_own_demand(vec![demand(1, 40)], at(100));
    assert_eq!(other.take_due_reports(&vm(0), at(100)), []);
    all[0].set_own_demand(vec![demand(1, 40)], at(100));
    assert_eq!(all[0].take_due_reports(&vm(7), at(100)), []);
}

/// Guards against an unlimited message, and against taking an omitted service for one without
/// demand.
#[test]
fn report_lists_the_busiest_services() {
    let mut all = exchanges(2);
    let count = REPORT_SERVICES_MAX as u64 + 4;
    all[0].set_own_demand((1..=count).map(|number| demand(number, number)).collect(), at(100));
    let reports = send(&mut all, 0, 1, at(100));
    assert_eq!(reports[0].services.len(), REPORT_SERVICES_MAX);
    assert_eq!(all[1].demand(&vm(0), service(count), at(100)), SharerDemand::Known(rate(count)));
    assert_eq!(all[1].demand(&vm(0), service(4), at(100)), SharerDemand::Unknown);
}

/// Guards against heartbeats whose size grows with the fleet, and against reports that never fit.
#[test]
fn reports_in_a_heartbeat_are_limited_and_all_are_sent() {
    let mut all = exchanges(16);
    let services: Vec<ServiceDemand> = (1..=20).map(|number| demand(number, 50)).collect();
    for number in 1..16 {
        all[number].set_own_demand(services.clone(), at(100));
        send(&mut all, number, 0, at(100));
    }
    all[0].set_own_demand(services, at(100));
    let mut sent = 0;
    for period in 0..20 {
        let reports = send(&mut all, 0, 1, at(200 + period * 150));
        let bytes: usize = reports.iter().map(DemandReport::encoded_bytes).sum();
        assert!(bytes <= REPORTS_BYTES_MAX, "{bytes}");
        sent += reports.len();
    }
    assert_eq!(sent, 15);
}

/// Guards against an entry that gets none of the reports that it has lost with its process.
#[test]
fn restarted_entry_gets_all_reports_again() {
    let mut all = exchanges(2);
    all[0].set_own_demand(vec![demand(1, 40)], at(100));
    send(&mut all, 1, 0, at(100));
    assert_eq!(send(&mut all, 0, 1, at(100)).len(), 1);
    all[0].receive(&vm(1), Incarnation::new(99), &[], at(200));
    assert_eq!(send(&mut all, 0, 1, at(200)).len(), 1);
}

/// Guards against a joining entry whose missing report keeps all shares equal, and against fleets
/// that have just started and take each other for joining.
#[test]
fn missing_report_of_a_new_entry_is_expected() {
    let mut all = exchanges(1);
    let now = at(20_000);
    all[0].set_advertised([vm(0), vm(1)].iter(), now);
    assert_eq!(all[0].demand(&vm(1), service(1), now), SharerDemand::Joining);
    assert_eq!(all[0].demand(&vm(1), service(1), at(23_000)), SharerDemand::Unknown);
    let started = exchanges(2);
    assert_eq!(started[0].demand(&vm(1), service(1), at(500)), SharerDemand::Unknown);
}

/// Guards against shares by demand in a failure domain that is cut off from most others.
#[test]
fn nothing_is_known_without_most_failure_domains() {
    let mut all = exchanges(1);
    all[0].set_own_demand(vec![demand(1, 40)], at(100));
    all[0].set_live_domains(3);
    all[0].set_live_domains(2);
    assert_eq!(all[0].demand(&vm(0), service(1), at(100)), SharerDemand::Known(rate(40)));
    all[0].set_live_domains(1);
    assert_eq!(all[0].demand(&vm(0), service(1), at(100)), SharerDemand::Unknown);
}

/// Guards against reports that follow chance: demand that stays within an eighth is reported as
/// before.
#[test]
fn small_changes_are_not_reported() {
    fn property(changes: Vec<u8>) -> bool {
        let mut all = exchanges(2);
        all[0].set_own_demand(vec![demand(1, 1000)], at(100));
        send(&mut all, 0, 1, at(100));
        (1..).zip(changes).all(|(step, change)| {
            let now = at(100 + step * 150);
            all[0].set_own_demand(vec![demand(1, 900 + u64::from(change) % 200)], now);
            send(&mut all, 0, 1, now);
            all[1].demand(&vm(0), service(1), now) == SharerDemand::Known(rate(1000))
        })
    }
    let generator = Gen::from_size_and_seed(80, 43);
    QuickCheck::new().rng(generator).tests(200).quickcheck(property as fn(Vec<u8>) -> bool);
}
