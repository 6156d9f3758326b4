//! Exchange of the demands of advertised entries.
//!
//! Each advertised entry issues a report of its demand by service. Reports travel with the
//! heartbeats that advertised entries exchange in any case, and each entry forwards the reports that
//! it holds, since most pairs of advertised entries exchange no heartbeats. Each report is sent at
//! most once to each contact, and not to one that is known to hold it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shallotfork_measure::{DemandReport, ServiceDemand, SharerDemand};
use shallotfork_types::{Incarnation, Mono, ServiceKey, VmId};

use crate::demand_reports::{OwnReport, REPORT_VALID_FOR, REPORTS_BYTES_MAX};

/// Time after an entry is advertised within which its first report is expected at all others. Then
/// its demand counts as unknown.
const JOIN_TIME: Duration = Duration::from_secs(3);

/// Number of advertised entries up to which they exchange reports. Each entry forwards those of all
/// others: 48 small entries sent up to 53 kB/s each, nine times what control may use of a link.
const REPORTING_ENTRIES_MAX: usize = 16;

/// Position of a report among those of its entry.
type ReportNumber = (Incarnation, u32);

#[derive(Debug)]
struct HeldReport {
    report: DemandReport,
    issued_at: Mono,
}

impl HeldReport {
    fn is_valid(&self, now: Mono) -> bool {
        now.since(self.issued_at) < REPORT_VALID_FOR
    }
}

/// Reports that an entry is known to hold.
#[derive(Debug, Default)]
struct PeerReports {
    incarnation: Option<Incarnation>,
    held: BTreeMap<VmId, ReportNumber>,
}

/// Reports of the demand at advertised entries, this one included.
#[derive(Debug)]
pub struct DemandExchange {
    own_vm: VmId,
    own: OwnReport,
    held: BTreeMap<VmId, HeldReport>,
    peers: BTreeMap<VmId, PeerReports>,
    /// Whether the advertised entries are few enough to exchange reports.
    is_exchanging: bool,
    /// Since when each entry has been advertised.
    advertised_since: BTreeMap<VmId, Mono>,
    /// Number of failure domains with live entries.
    live_domains: usize,
    /// Largest number of failure domains with live entries at one time.
    known_domains: usize,
}

impl DemandExchange {
    /// Creates an exchange without reports.
    pub fn new(vm: VmId, incarnation: Incarnation) -> Self {
        let own = DemandReport {
            vm: vm.clone(),
            incarnation,
            sequence: 0,
            issued_ago: Duration::ZERO,
            services: Vec::new(),
            is_complete: true,
        };
        Self {
            own_vm: vm,
            own: OwnReport::new(own),
            held: BTreeMap::new(),
            peers: BTreeMap::new(),
            is_exchanging: true,
            advertised_since: BTreeMap::new(),
            live_domains: 0,
            known_domains: 0,
        }
    }

    /// Sets the entries that are advertised to callers.
    ///
    /// If there are more than can exchange reports, none is sent, and their demand is unknown.
    pub fn set_advertised<'a>(&mut self, advertised: impl Iterator<Item = &'a VmId>, now: Mono) {
        let mut advertised: BTreeSet<&VmId> = advertised.collect();
        self.is_exchanging = advertised.len() <= REPORTING_ENTRIES_MAX;
        if !self.is_exchanging {
            advertised.clear();
        }
        self.advertised_since.retain(|vm, _| advertised.contains(vm));
        self.peers.retain(|vm, _| advertised.contains(vm));
        for vm in advertised {
            self.advertised_since.entry(vm.clone()).or_insert(now);
        }
        self.held.retain(|_, held| held.is_valid(now));
    }

    /// Sets the number of failure domains with live entries.
    pub fn set_live_domains(&mut self, count: usize) {
        self.live_domains = count;
        self.known_domains = self.known_domains.max(count);
    }

    /// Returns whether this process sees most failure domains. A domain that is cut off advertises
    /// more of its own entries in place of the others, so the number of entries does not show it.
    fn sees_most_domains(&self) -> bool {
        self.live_domains * 2 > self.known_domains
    }

    /// Records the demand at this entry. Nothing is reported while it is not advertised.
    pub fn set_own_demand(&mut self, demands: Vec<ServiceDemand>, now: Mono) {
        if self.advertised_since.contains_key(&self.own_vm) {
            self.own.update(demands, now);
        }
    }

    /// Returns the reports to send to an entry now. There are none unless both it and this one are
    /// advertised.
    pub fn take_due_reports(&mut self, to: &VmId, now: Mono) -> Vec<DemandReport> {
        let is_advertised = |vm: &VmId| self.advertised_since.contains_key(vm);
        if !is_advertised(&self.own_vm) || !is_advertised(to) {
            return Vec::new();
        }
        let is_due = |held: &&HeldReport| {
            held.is_valid(now) && held.report.vm != *to && is_advertised(&held.report.vm)
        };
        let mut others: Vec<&HeldReport> = self.held.values().filter(is_due).collect();
        // Oldest first: otherwise the reports beyond the size limit might never be sent.
        others.sort_by_key(|held| held.issued_at);
        let others = others.into_iter().map(|held| (&held.report, now.since(held.issued_at)));
        let peer = self.peers.entry(to.clone()).or_default();
        let mut bytes = 0;
        let due = self.own.issued(now).into_iter().chain(others).filter(|(report, _)| {
            let number = number(report);
            let is_held = peer.held.get(&report.vm).is_some_and(|held| *held >= number);
            if is_held || bytes + report.encoded_bytes() > REPORTS_BYTES_MAX {
                return false;
            }
            bytes += report.encoded_bytes();
            peer.held.insert(report.vm.clone(), number);
            true
        });
        due.map(|(report, issued_ago)| DemandReport { issued_ago, ..report.clone() }).collect()
    }

    /// Processes the reports in a heartbeat.
    pub fn receive(
        &mut self,
        from: &VmId,
        incarnation: Incarnation,
        reports: &[DemandReport],
        now: Mono,
    ) {
        if self.advertised_since.contains_key(from) {
            let peer = self.peers.entry(from.clone()).or_default();
            if peer.incarnation != Some(incarnation) {
                // A restarted process has lost the reports that it held.
                *peer = PeerReports { incarnation: Some(incarnation), held: BTreeMap::new() };
            }
            for report in reports {
                let number = number(report);
                let held = peer.held.entry(report.vm.clone()).or_insert(number);
                *held = number.max(*held);
            }
        }
        for report in reports {
            self.hold(report, now);
        }
    }

    fn hold(&mut self, report: &DemandReport, now: Mono) {
        let known = self.held.get(&report.vm);
        let is_newer = known.is_none_or(|known| number(&known.report) < number(report));
        if report.vm == self.own_vm || report.issued_ago >= REPORT_VALID_FOR || !is_newer {
            return;
        }
        // Times before the start of the clock count as its start, so that a report can only seem
        // newer than it is, by less than the time for which it is valid.
        let issued_at = Mono::ZERO.plus(now.since(Mono::ZERO).saturating_sub(report.issued_ago));
        self.held.insert(report.vm.clone(), HeldReport { report: report.clone(), issued_at });
    }

    /// Returns what an entry has reported about its demand for a service. Nothing counts as known
    /// while this process doesn't see most failure domains.
    ///
    /// A process that itself has only just been advertised can't tell which of the others report
    /// demand. If it took the others for joining, all entries that start at the same time would
    /// claim most of the slots.
    pub fn demand(&self, vm: &VmId, service: ServiceKey, now: Mono) -> SharerDemand {
        if !self.is_exchanging || !self.sees_most_domains() {
            return SharerDemand::Unknown;
        }
        let report = if *vm == self.own_vm {
            self.own.issued(now).map(|(report, _)| report)
        } else {
            let held = self.held.get(vm);
            held.filter(|held| held.is_valid(now)).map(|held| &held.report)
        };
        match report {
            Some(report) => report.rate(service).map_or(SharerDemand::Unknown, SharerDemand::Known),
            None if self.has_just_joined(vm, now) && !self.has_just_joined(&self.own_vm, now) => {
                SharerDemand::Joining
            }
            None => SharerDemand::Unknown,
        }
    }

    fn has_just_joined(&self, vm: &VmId, now: Mono) -> bool {
        self.advertised_since.get(vm).is_some_and(|since| now.since(*since) < JOIN_TIME)
    }
}

fn number(report: &DemandReport) -> ReportNumber {
    (report.incarnation, report.sequence)
}
