//! Between the fleet's own account of heartbeats and the messages that carry them.

use shallotfork_fleet::{FleetHeartbeat, PlatformAges};
use shallotfork_measure::RateLimitReport;
use shallotfork_membership::{Announcement, ListedVm, MemberUpdate};
use shallotfork_peer::{Heartbeat, PeerId, PeerState, PeerUpdate, PlatformReport};
use shallotfork_quarantine::{CrashReport, QuarantineDigest};
use shallotfork_types::VmId;

use crate::context::lock;
use crate::control::reader::note_sight;
use crate::control::state::State;
use crate::traffic::{apply_rate_limit, log_quarantined};

/// What this process says of itself to an entry, with the news that is due to that one.
/// `peer_digest` is the digest in the heartbeat that is being answered, if any.
pub fn own_heartbeat(state: &State, to: &VmId, peer_digest: Option<QuarantineDigest>) -> Heartbeat {
    let (crash_reports, quarantine_digest) = quarantine_reports(state, peer_digest);
    let beat = state.fleet.borrow_mut().heartbeat_for(to, state.now());
    let FleetHeartbeat {
        from,
        is_starting,
        updates,
        core_digest,
        is_disconnected,
        platform,
        domain_entries,
        is_overloaded,
    } = beat;
    let position = state.archive.borrow().position();
    Heartbeat {
        state: peer_state(from.listed.leaving, is_starting),
        failure_domain: from.listed.failure_domain,
        callers: from.listed.callers,
        peers: from.listed.peers,
        round: from.round,
        updates: updates.into_iter().map(peer_news).collect(),
        seen_revision: position,
        synced_revision: position,
        lists_digest: core_digest,
        is_disconnected,
        platform: platform_word(platform),
        domain_entries,
        is_overloaded,
        crash_reports,
        quarantine_digest,
        rate_limits: lock(&state.context.rate_limits).reports(state.now()),
        restart_safe: true,
        loads: Vec::new(),
        capacity: from.listed.capacity,
    }
}

/// Takes another entry's heartbeat.
pub fn heard(state: &State, peer: &PeerId, heartbeat: &Heartbeat) {
    let beat = FleetHeartbeat {
        from: announcement(peer, heartbeat),
        is_starting: heartbeat.state == PeerState::Starting,
        updates: heartbeat.updates.iter().map(told_news).collect(),
        core_digest: heartbeat.lists_digest,
        is_disconnected: heartbeat.is_disconnected,
        platform: platform_ages(heartbeat.platform),
        domain_entries: heartbeat.domain_entries,
        is_overloaded: heartbeat.is_overloaded,
    };
    state.fleet.borrow_mut().receive_heartbeat(&beat, state.now());
    note_sight(state);
    merge_crash_reports(state, &heartbeat.crash_reports);
    merge_rate_limits(state, &heartbeat.rate_limits);
}

fn quarantine_reports(
    state: &State,
    peer_digest: Option<QuarantineDigest>,
) -> (Vec<CrashReport>, QuarantineDigest) {
    let now = state.now();
    let quarantine = lock(&state.context.quarantine);
    (quarantine.reports(peer_digest, now), quarantine.digest(now))
}

fn merge_rate_limits(state: &State, reports: &[RateLimitReport]) {
    let context = &state.context;
    for report in reports {
        let mut rate_limits = lock(&context.rate_limits);
        if rate_limits.merge(report, state.now()) {
            apply_rate_limit(context, &report.target, report.limit, "peer");
        }
    }
}

fn merge_crash_reports(state: &State, reports: &[CrashReport]) {
    for report in reports {
        let newly_quarantined = lock(&state.context.quarantine).merge(report, state.now());
        if newly_quarantined {
            log_quarantined(&state.context, report.fingerprint, "peer");
        }
    }
}

fn announcement(peer: &PeerId, beat: &Heartbeat) -> Announcement {
    Announcement {
        listed: ListedVm {
            vm: peer.vm.clone(),
            failure_domain: beat.failure_domain.clone(),
            callers: beat.callers,
            peers: beat.peers,
            leaving: beat.state == PeerState::Leaving,
            capacity: beat.capacity,
        },
        incarnation: peer.incarnation,
        round: beat.round,
    }
}

fn peer_state(leaving: bool, starting: bool) -> PeerState {
    if leaving {
        return PeerState::Leaving;
    }
    if starting { PeerState::Starting } else { PeerState::Live }
}

fn platform_word(ages: PlatformAges) -> PlatformReport {
    let PlatformAges { last_answer, reader_last_seen, outage } = ages;
    PlatformReport { last_answer, reader_last_seen, outage }
}

fn platform_ages(word: PlatformReport) -> PlatformAges {
    let PlatformReport { last_answer, reader_last_seen, outage } = word;
    PlatformAges { last_answer, reader_last_seen, outage }
}

fn peer_news(news: MemberUpdate) -> PeerUpdate {
    let MemberUpdate { about, suspected } = news;
    PeerUpdate {
        peer: PeerId::new(about.listed.vm, about.incarnation),
        round: about.round,
        state: peer_state(about.listed.leaving, false),
        suspected,
        failure_domain: about.listed.failure_domain,
        callers: about.listed.callers,
        peers: about.listed.peers,
        capacity: about.listed.capacity,
    }
}

fn told_news(news: &PeerUpdate) -> MemberUpdate {
    let about = Announcement {
        listed: ListedVm {
            vm: news.peer.vm.clone(),
            failure_domain: news.failure_domain.clone(),
            callers: news.callers,
            peers: news.peers,
            leaving: news.state == PeerState::Leaving,
            capacity: news.capacity,
        },
        incarnation: news.peer.incarnation,
        round: news.round,
    };
    MemberUpdate { about, suspected: news.suspected }
}
