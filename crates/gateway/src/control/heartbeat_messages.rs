//! Converts between the fleet's heartbeats and the messages that carry them.

use shallotfork_events::{ENTRY_LOAD_INVALID, event};
use shallotfork_fleet::{FleetHeartbeat, PlatformAges};
use shallotfork_measure::RateLimitReport;
use shallotfork_membership::{Announcement, ListedVm, MemberUpdate};
use shallotfork_peer::{Heartbeat, NO_LOAD, PeerId, PeerState, PeerUpdate, PlatformReport};
use shallotfork_quarantine::{CrashReport, QuarantineDigest};
use shallotfork_statements::{ExclusionReport, LeavingReport};
use shallotfork_types::{Epoch, LoadLevel, VmId};

use crate::context::lock;
use crate::control::reader::update_platform_state;
use crate::control::state::ControlState;
use crate::log_budget::LogDecision;
use crate::traffic::{apply_rate_limit, exclude_target, log_quarantined, stop_sending};

/// Builds the heartbeat to an entry, with the membership updates that are due to it. `peer_digest`
/// is the digest in the heartbeat that is being answered, if any.
pub fn build_heartbeat(
    state: &ControlState,
    to: &VmId,
    peer_digest: Option<QuarantineDigest>,
) -> Heartbeat {
    let (crash_reports, quarantine_digest) = quarantine_reports(state, peer_digest);
    let heartbeat = state.fleet.borrow_mut().heartbeat_for(to, state.now());
    let FleetHeartbeat {
        from,
        is_starting,
        updates,
        core_digest,
        load_digest,
        is_disconnected,
        platform,
        domain_entries,
        knows_epochs: _,
        is_overloaded,
        demands,
    } = heartbeat;
    let (position, retained_digest) = {
        let archive = state.archive.borrow();
        (archive.position(), archive.retained_digest())
    };
    Heartbeat {
        state: peer_state(from.listed.leaving, is_starting),
        failure_domain: from.listed.failure_domain,
        callers: from.listed.callers,
        peers: from.listed.peers,
        round: from.round,
        isolated: from.isolated,
        load_level: from.load.map_or(NO_LOAD, LoadLevel::number),
        updates: updates.into_iter().map(peer_update).collect(),
        seen_revision: position.revision(),
        synced_revision: position.revision(),
        synced_epoch: Some(position.epoch()),
        retained_digest,
        lists_digest: core_digest,
        loads_digest: load_digest,
        is_disconnected,
        platform: platform_report(platform),
        domain_entries,
        is_overloaded,
        crash_reports,
        quarantine_digest,
        rate_limits: lock(&state.context.rate_limits).reports(state.now()),
        leaving_targets: lock(&state.context.leaving_targets).reports(state.now()),
        exclusions: lock(&state.context.faulty_targets).reports(state.now()),
        restart_safe: true,
        loads: Vec::new(),
        capacity: from.listed.capacity,
        demands,
    }
}

/// Applies a heartbeat received from another entry.
pub fn receive_heartbeat(state: &ControlState, peer: &PeerId, heartbeat: &Heartbeat) {
    // On a platform without epochs there is nothing to tell apart.
    let has_epochs = state.archive.borrow().position().epoch() != Epoch::NONE;
    let received = FleetHeartbeat {
        from: announcement(state, peer, heartbeat),
        is_starting: heartbeat.state == PeerState::Starting,
        updates: heartbeat.updates.iter().map(|update| member_update(state, update)).collect(),
        core_digest: heartbeat.lists_digest,
        load_digest: heartbeat.loads_digest,
        is_disconnected: heartbeat.is_disconnected,
        platform: platform_ages(heartbeat.platform),
        domain_entries: heartbeat.domain_entries,
        knows_epochs: heartbeat.synced_epoch.is_some() || !has_epochs,
        is_overloaded: heartbeat.is_overloaded,
        demands: heartbeat.demands.clone(),
    };
    state.fleet.borrow_mut().receive_heartbeat(&received, state.now());
    update_platform_state(state);
    if let Some(epoch) = heartbeat.synced_epoch {
        state.peer_retained.set(Some((epoch, heartbeat.retained_digest)));
        state.peer_compared.notify_waiters();
    }
    merge_crash_reports(state, &heartbeat.crash_reports);
    merge_rate_limits(state, &heartbeat.rate_limits);
    merge_leaving_targets(state, &heartbeat.leaving_targets);
    merge_exclusions(state, &heartbeat.exclusions);
}

fn quarantine_reports(
    state: &ControlState,
    peer_digest: Option<QuarantineDigest>,
) -> (Vec<CrashReport>, QuarantineDigest) {
    let now = state.now();
    let quarantine = lock(&state.context.quarantine);
    (quarantine.reports(peer_digest, now), quarantine.digest(now))
}

fn merge_rate_limits(state: &ControlState, reports: &[RateLimitReport]) {
    let context = &state.context;
    for report in reports {
        let mut rate_limits = lock(&context.rate_limits);
        if rate_limits.merge(report, state.now()) {
            apply_rate_limit(context, &report.target, report.limit, "peer");
        }
    }
}

fn merge_leaving_targets(state: &ControlState, reports: &[LeavingReport]) {
    for report in reports {
        if lock(&state.context.leaving_targets).merge(report, state.now()) {
            stop_sending(&state.context, &report.run, "peer");
        }
    }
}

fn merge_exclusions(state: &ControlState, reports: &[ExclusionReport]) {
    for report in reports {
        let excluded_until = lock(&state.context.faulty_targets).merge(report, state.now());
        if let Some(until) = excluded_until {
            exclude_target(&state.context, &report.run, until, "peer");
        }
    }
}

fn merge_crash_reports(state: &ControlState, reports: &[CrashReport]) {
    for report in reports {
        let newly_quarantined = lock(&state.context.quarantine).merge(report, state.now());
        if newly_quarantined {
            log_quarantined(&state.context, report.fingerprint, "peer");
        }
    }
}

fn announcement(state: &ControlState, peer: &PeerId, heartbeat: &Heartbeat) -> Announcement {
    Announcement {
        listed: ListedVm {
            vm: peer.vm.clone(),
            failure_domain: heartbeat.failure_domain.clone(),
            callers: heartbeat.callers,
            peers: heartbeat.peers,
            leaving: heartbeat.state == PeerState::Leaving,
            capacity: heartbeat.capacity,
        },
        incarnation: peer.incarnation,
        round: heartbeat.round,
        isolated: heartbeat.isolated,
        load: load(state, peer, heartbeat.load_level),
    }
}

/// Returns the load that an entry reports. A number that is not a level counts as no report.
fn load(state: &ControlState, reporter: &PeerId, number: u8) -> Option<LoadLevel> {
    if number == NO_LOAD {
        return None;
    }
    let level = LoadLevel::new(number);
    if let Err(error) = &level
        && let LogDecision::Write { left_out } =
            state.context.invalid_log_budget.try_acquire(state.now())
    {
        event!(state.context.log, ENTRY_LOAD_INVALID, "entry" => reporter.vm.as_str(),
            "reason" => error.to_string(), "left_out" => left_out);
    }
    level.ok()
}

fn peer_state(is_leaving: bool, is_starting: bool) -> PeerState {
    if is_leaving {
        return PeerState::Leaving;
    }
    if is_starting { PeerState::Starting } else { PeerState::Live }
}

fn platform_report(ages: PlatformAges) -> PlatformReport {
    let PlatformAges { last_answer, reader_last_seen, outage } = ages;
    PlatformReport { last_answer, reader_last_seen, outage }
}

fn platform_ages(report: PlatformReport) -> PlatformAges {
    let PlatformReport { last_answer, reader_last_seen, outage } = report;
    PlatformAges { last_answer, reader_last_seen, outage }
}

fn peer_update(update: MemberUpdate) -> PeerUpdate {
    let MemberUpdate { about, suspected } = update;
    PeerUpdate {
        peer: PeerId::new(about.listed.vm, about.incarnation),
        round: about.round,
        isolated: about.isolated,
        load_level: about.load.map_or(NO_LOAD, LoadLevel::number),
        state: peer_state(about.listed.leaving, false),
        suspected,
        failure_domain: about.listed.failure_domain,
        callers: about.listed.callers,
        peers: about.listed.peers,
        capacity: about.listed.capacity,
    }
}

fn member_update(state: &ControlState, update: &PeerUpdate) -> MemberUpdate {
    let about = Announcement {
        listed: ListedVm {
            vm: update.peer.vm.clone(),
            failure_domain: update.failure_domain.clone(),
            callers: update.callers,
            peers: update.peers,
            leaving: update.state == PeerState::Leaving,
            capacity: update.capacity,
        },
        incarnation: update.peer.incarnation,
        round: update.round,
        isolated: update.isolated,
        load: load(state, &update.peer, update.load_level),
    };
    MemberUpdate { about, suspected: update.suspected }
}
