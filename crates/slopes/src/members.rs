//! Costs of membership: heartbeats, the view and the groups of entries that serve a service.

use std::collections::BTreeSet;

use anyhow::Result;
use shallotfork_balance::GroupSize;
use shallotfork_membership::{
    Announcement, CallerPreference, ListedVm, MembershipView, ViewConfig, entries_for,
    service_group,
};
use shallotfork_types::{Incarnation, Mono, PerSecond, Revision, ServiceName, TargetId};

use crate::lists::TARGETS_PER_SERVICE;
use crate::measure::measure_time;

const GROUP_SIZE: u32 = 4;

fn announcement(index: usize) -> Result<Announcement> {
    let port = 1024 + index;
    let listed = ListedVm {
        vm: format!("entry-{index}").parse()?,
        failure_domain: format!("domain-{}", index % 19).parse()?,
        callers: format!("10.0.0.1:{port}").parse()?,
        peers: format!("10.0.0.2:{port}").parse()?,
        leaving: false,
        capacity: PerSecond::default(),
    };
    Ok(Announcement {
        listed,
        incarnation: Incarnation::new(index as u64),
        round: 0,
        isolated: false,
        load: None,
    })
}

/// Measures and prints the processor time of membership operations.
///
/// # Errors
/// When a generated name is not valid.
pub fn print_times() -> Result<()> {
    let service: ServiceName = "service-0".parse()?;
    let targets: Vec<TargetId> =
        (0..TARGETS_PER_SERVICE).map(|i| format!("t-{i}").parse()).collect::<Result<_, _>>()?;
    for count in [14, 140] {
        let fleet: Vec<Announcement> = (0..count).map(announcement).collect::<Result<_>>()?;
        let listed: Vec<ListedVm> = fleet.iter().map(|vm| vm.listed.clone()).collect();
        let mut view = MembershipView::new(ViewConfig::default(), &fleet[0], Mono::ZERO);
        view.set_published(Revision::new(1), &listed, Mono::ZERO);
        view.monitor(&BTreeSet::new(), Mono::ZERO);
        measure_time("take a heartbeat", count, || view.receive_heartbeat(&fleet[1], Mono::ZERO));
        measure_time("list the entries", count, || view.entries());
        let entries = view.entries();
        let own = &fleet[0].listed.vm;
        measure_time("group of a service and its home targets", count, || {
            service_group(&service, &entries, GroupSize::new(GROUP_SIZE))
                .home_targets(own, &targets)
        });
        let preference = CallerPreference { failure_domain: None, rotation: 3 };
        measure_time("entries for a caller", count, || {
            entries_for(&service, &entries, GroupSize::new(GROUP_SIZE), &preference)
        });
    }
    Ok(())
}
