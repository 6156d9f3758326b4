//! Costs of published lists: checking targets and VMs, and selecting the version in force.

use anyhow::Result;
use shallotfork_platform::{TargetInfo, parse_targets, parse_vms};
use shallotfork_revisions::{Digest, OfferedVersion, Tracker, Version};
use shallotfork_types::{ListName, Revision, ServiceName};

use crate::measure::{measure_memory, measure_time};

/// Targets per service in the design size: 18,000 targets in 1,200 services.
pub const TARGETS_PER_SERVICE: usize = 15;

/// Services in the design size.
const SERVICES: usize = 1200;

/// Returns the target list of a service as JSON.
pub fn targets_json(service: usize, count: usize) -> String {
    let target_json = |index: usize| {
        let port = 1024 + (service * TARGETS_PER_SERVICE + index) % 60_000;
        format!(
            "{{\"id\":\"service-{service}-target-{index}\",\"address\":\"10.0.0.1:{port}\",\
             \"failure_domain\":\"domain-{}\",\"state\":\"serving\",\"slots\":2,\
             \"connections_max\":200,\"shed_status\":503}}",
            index % 3
        )
    };
    let all: Vec<String> = (0..count).map(target_json).collect();
    format!("{{\"targets\":[{}]}}", all.join(","))
}

/// Returns the target list of a service in typed form.
///
/// # Errors
/// When the list is not valid.
pub fn parsed_targets(service: usize, count: usize) -> Result<Vec<TargetInfo>> {
    let name: ServiceName = format!("service-{service}").parse()?;
    Ok(parse_targets(&name, &targets_json(service, count))?)
}

fn vms_json(count: usize) -> String {
    let vm_json = |index: usize| {
        format!(
            "{{\"id\":\"entry-{index}\",\"failure_domain\":\"domain-{}\",\
             \"callers\":\"10.0.0.1:{port}\",\"peers\":\"10.0.0.2:{port}\",\"state\":\"live\"}}",
            index % 19,
            port = 1024 + index
        )
    };
    let all: Vec<String> = (0..count).map(vm_json).collect();
    format!("{{\"vms\":[{}]}}", all.join(","))
}

/// Measures and prints the processor time of operations on published lists.
///
/// # Errors
/// When a generated name is not valid.
pub fn print_times() -> Result<()> {
    let service: ServiceName = "service-0".parse()?;
    for count in [5, 15, 150] {
        let json = targets_json(0, count);
        println!("| text of a list of targets | {count} | {} | | | bytes |", json.len());
        measure_time("check a list of targets", count, || parse_targets(&service, &json));
        measure_time("digest of a list of targets", count, || Digest::of(json.as_bytes()));
    }
    for count in [14, 140] {
        let json = vms_json(count);
        println!("| text of the VM list | {count} | {} | | | bytes |", json.len());
        measure_time("check the VM list", count, || parse_vms(&json));
    }
    for services in [SERVICES / 10, SERVICES] {
        let mut tracker = new_tracker(services)?;
        let offered = offered_version(services / 2, 1)?;
        measure_time("offer a list that is known", services, || tracker.offer(&offered));
    }
    Ok(())
}

fn new_tracker(services: usize) -> Result<Tracker> {
    let mut tracker = Tracker::new();
    for service in 0..services {
        tracker.offer(&offered_version(service, 1)?);
    }
    Ok(tracker)
}

fn offered_version(service: usize, revision: u64) -> Result<OfferedVersion> {
    let name: ListName = format!("targets.service-{service}").parse()?;
    let content = targets_json(service, TARGETS_PER_SERVICE);
    let version = Version::new(Revision::new(revision), content.as_bytes());
    Ok(OfferedVersion { name, version, valid: true })
}

/// Measures and prints the memory of published lists.
///
/// # Errors
/// When the resident memory cannot be read.
pub fn print_memory() -> Result<()> {
    measure_memory("targets in typed form", SERVICES * TARGETS_PER_SERVICE, || {
        (0..SERVICES)
            .map(|service| parsed_targets(service, TARGETS_PER_SERVICE))
            .collect::<Vec<_>>()
    })?;
    measure_memory("text of lists of targets", SERVICES * TARGETS_PER_SERVICE, || {
        (0..SERVICES).map(|service| targets_json(service, TARGETS_PER_SERVICE)).collect::<Vec<_>>()
    })
}
