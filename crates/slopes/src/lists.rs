//! Published lists: checking targets and VMs, and deciding what is in force.

use anyhow::Result;
use shallotfork_platform::{TargetInfo, parse_targets, parse_vms};
use shallotfork_revisions::{Digest, OfferedVersion, Tracker, Version};
use shallotfork_types::{ListName, Revision, ServiceName};

use crate::measure::{memory, time};

/// Targets of one service at the size to design for: 18,000 in 1,200 services.
pub const TARGETS_PER_SERVICE: usize = 15;

/// Services at the size to design for.
const SERVICES: usize = 1200;

/// JSON of a list of targets.
pub fn targets_json(service: usize, count: usize) -> String {
    let one = |index: usize| {
        let port = 1024 + (service * TARGETS_PER_SERVICE + index) % 60_000;
        format!(
            "{{\"id\":\"service-{service}-target-{index}\",\"address\":\"10.0.0.1:{port}\",\
             \"failure_domain\":\"domain-{}\",\"state\":\"serving\",\"slots\":2,\
             \"connections_max\":200,\"shed_status\":503}}",
            index % 3
        )
    };
    let all: Vec<String> = (0..count).map(one).collect();
    format!("{{\"targets\":[{}]}}", all.join(","))
}

/// Targets in typed form.
///
/// # Errors
/// When the list is not valid.
pub fn targets(service: usize, count: usize) -> Result<Vec<TargetInfo>> {
    let name: ServiceName = format!("service-{service}").parse()?;
    Ok(parse_targets(&name, &targets_json(service, count))?)
}

fn vms_json(count: usize) -> String {
    let one = |index: usize| {
        format!(
            "{{\"id\":\"entry-{index}\",\"failure_domain\":\"domain-{}\",\
             \"callers\":\"10.0.0.1:{port}\",\"peers\":\"10.0.0.2:{port}\",\"state\":\"live\"}}",
            index % 19,
            port = 1024 + index
        )
    };
    let all: Vec<String> = (0..count).map(one).collect();
    format!("{{\"vms\":[{}]}}", all.join(","))
}

/// Prints the slopes of published lists.
///
/// # Errors
/// When a list is not valid or memory cannot be read.
pub fn lists() -> Result<()> {
    let service: ServiceName = "service-0".parse()?;
    for count in [5, 15, 150] {
        let json = targets_json(0, count);
        println!("| text of a list of targets | {count} | {} | | | bytes |", json.len());
        time("check a list of targets", count, || parse_targets(&service, &json));
        time("digest of a list of targets", count, || Digest::of(json.as_bytes()));
    }
    for count in [14, 140] {
        let json = vms_json(count);
        println!("| text of the VM list | {count} | {} | | | bytes |", json.len());
        time("check the VM list", count, || parse_vms(&json));
    }
    for services in [SERVICES / 10, SERVICES] {
        let mut tracker = tracker(services)?;
        let offered = offered(services / 2, 1)?;
        time("offer a list that is known", services, || tracker.offer(&offered));
    }
    Ok(())
}

fn tracker(services: usize) -> Result<Tracker> {
    let mut tracker = Tracker::new();
    for service in 0..services {
        tracker.offer(&offered(service, 1)?);
    }
    Ok(tracker)
}

fn offered(service: usize, revision: u64) -> Result<OfferedVersion> {
    let name: ListName = format!("targets.service-{service}").parse()?;
    let content = targets_json(service, TARGETS_PER_SERVICE);
    let version = Version::new(Revision::new(revision), content.as_bytes());
    Ok(OfferedVersion { name, version, valid: true })
}

/// Prints the memory of published lists.
///
/// # Errors
/// When memory cannot be read.
pub fn lists_memory() -> Result<()> {
    memory("targets in typed form", SERVICES * TARGETS_PER_SERVICE, || {
        (0..SERVICES).map(|service| targets(service, TARGETS_PER_SERVICE)).collect::<Vec<_>>()
    })?;
    memory("text of lists of targets", SERVICES * TARGETS_PER_SERVICE, || {
        (0..SERVICES).map(|service| targets_json(service, TARGETS_PER_SERVICE)).collect::<Vec<_>>()
    })
}
