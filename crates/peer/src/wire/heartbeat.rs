//! Heartbeats and what they report.

use std::time::Duration;

use capnp::Result;
use shallotfork_measure::{DemandReport, RateLimitReport, ServiceDemand};
use shallotfork_quarantine::{CrashReport, QuarantineDigest, RequestFingerprint};
use shallotfork_statements::{ExclusionReport, LeavingReport, TargetRun};
use shallotfork_types::{
    ListsDigest, PerSecond, Permille, RequestRate, Revision, ServiceKey, TargetId,
};

use super::{
    list_length, read_age, read_epoch, read_peer_id, to_capnp_error, write_age, write_epoch,
};
use crate::peer_capnp as schema;
use crate::{Heartbeat, LoadHint, PeerState, PeerUpdate, PlatformReport};

/// Wire value for a digest of loads that is not stated.
const NO_LOADS_DIGEST: u64 = 0;

pub(crate) fn write_heartbeat(heartbeat: &Heartbeat, mut to: schema::heartbeat::Builder<'_>) {
    to.set_state(write_state(heartbeat.state));
    to.set_seen_revision(heartbeat.seen_revision.value());
    to.set_synced_revision(heartbeat.synced_revision.value());
    to.set_synced_epoch(write_epoch(heartbeat.synced_epoch));
    to.set_retained_digest(heartbeat.retained_digest.value());
    to.set_lists_digest(heartbeat.lists_digest.value());
    to.set_loads_digest(heartbeat.loads_digest.map_or(NO_LOADS_DIGEST, ListsDigest::value));
    to.set_platform_lost(heartbeat.is_disconnected);
    to.set_restart_safe(heartbeat.restart_safe);
    to.set_strength_per_s(heartbeat.capacity.value());
    to.set_failure_domain(heartbeat.failure_domain.as_str());
    to.set_callers(&heartbeat.callers.to_string()[..]);
    to.set_peers(&heartbeat.peers.to_string()[..]);
    to.set_round(heartbeat.round);
    to.set_isolated(heartbeat.isolated);
    to.set_load_level(heartbeat.load_level);
    to.set_platform_answered_ms(write_age(heartbeat.platform.last_answer));
    to.set_reader_heard_ms(write_age(heartbeat.platform.reader_last_seen));
    to.set_platform_away_ms(write_age(heartbeat.platform.outage));
    to.set_domain_entries(heartbeat.domain_entries);
    to.set_behind(heartbeat.is_overloaded);
    to.set_quarantine_digest(heartbeat.quarantine_digest.value());
    if !heartbeat.crash_reports.is_empty() {
        let mut reports =
            to.reborrow().init_crash_reports(list_length(heartbeat.crash_reports.len()));
        for (index, report) in (0..).zip(&heartbeat.crash_reports) {
            write_crash_report(report, reports.reborrow().get(index));
        }
    }
    if !heartbeat.rate_limits.is_empty() {
        let mut rate_limits =
            to.reborrow().init_rate_limits(list_length(heartbeat.rate_limits.len()));
        for (index, report) in (0..).zip(&heartbeat.rate_limits) {
            write_rate_limit(report, rate_limits.reborrow().get(index));
        }
    }
    if !heartbeat.leaving_targets.is_empty() {
        let mut leaving_targets =
            to.reborrow().init_leaving_targets(list_length(heartbeat.leaving_targets.len()));
        for (index, report) in (0..).zip(&heartbeat.leaving_targets) {
            write_leaving_target(report, leaving_targets.reborrow().get(index));
        }
    }
    if !heartbeat.exclusions.is_empty() {
        let mut exclusions = to.reborrow().init_exclusions(list_length(heartbeat.exclusions.len()));
        for (index, report) in (0..).zip(&heartbeat.exclusions) {
            write_exclusion(report, exclusions.reborrow().get(index));
        }
    }
    if !heartbeat.updates.is_empty() {
        let mut updates = to.reborrow().init_news(list_length(heartbeat.updates.len()));
        for (index, update) in (0..).zip(&heartbeat.updates) {
            write_update(update, updates.reborrow().get(index));
        }
    }
    if !heartbeat.demands.is_empty() {
        let mut demands = to.reborrow().init_demands(list_length(heartbeat.demands.len()));
        for (index, report) in (0..).zip(&heartbeat.demands) {
            write_demand_report(report, demands.reborrow().get(index));
        }
    }
    if heartbeat.loads.is_empty() {
        return;
    }
    let mut loads = to.init_loads(list_length(heartbeat.loads.len()));
    for (index, load) in (0..).zip(&heartbeat.loads) {
        let mut hint = loads.reborrow().get(index);
        hint.set_target(load.target.as_str());
        hint.set_load_permille(load.load.value());
        hint.set_age_ms(load.age_ms);
    }
}

fn write_demand_report(report: &DemandReport, mut to: schema::demand_report::Builder<'_>) {
    to.set_vm(report.vm.as_str());
    to.set_incarnation(report.incarnation.value());
    to.set_sequence(report.sequence);
    to.set_age_ms(write_age(Some(report.issued_ago)));
    to.set_complete(report.is_complete);
    let mut services = to.init_services(list_length(report.services.len()));
    for (index, demand) in (0..).zip(&report.services) {
        let mut service = services.reborrow().get(index);
        service.set_service(demand.service.value());
        service.set_milli_per_s(u32::try_from(demand.rate.milli_per_s()).unwrap_or(u32::MAX));
    }
}

fn read_demand_report(from: schema::demand_report::Reader<'_>) -> Result<DemandReport> {
    let peer = read_peer_id(from.get_vm()?, from.get_incarnation())?;
    let services = from.get_services()?.iter().map(|service| ServiceDemand {
        service: ServiceKey::new(service.get_service()),
        rate: RequestRate::from_milli_per_s(service.get_milli_per_s().into()),
    });
    Ok(DemandReport {
        vm: peer.vm,
        incarnation: peer.incarnation,
        sequence: from.get_sequence(),
        issued_ago: Duration::from_millis(from.get_age_ms().into()),
        services: services.collect(),
        is_complete: from.get_complete(),
    })
}

fn write_update(update: &PeerUpdate, mut to: schema::news::Builder<'_>) {
    to.set_vm(update.peer.vm.as_str());
    to.set_incarnation(update.peer.incarnation.value());
    to.set_round(update.round);
    to.set_isolated(update.isolated);
    to.set_load_level(update.load_level);
    to.set_state(write_state(update.state));
    to.set_suspected(update.suspected);
    to.set_failure_domain(update.failure_domain.as_str());
    to.set_callers(&update.callers.to_string()[..]);
    to.set_peers(&update.peers.to_string()[..]);
    to.set_strength_per_s(update.capacity.value());
}

fn write_crash_report(report: &CrashReport, mut to: schema::crash_report::Builder<'_>) {
    to.set_fingerprint(report.fingerprint.value());
    to.set_crashes(report.crashes);
    to.set_crashed_ms(write_age(Some(report.crashed_ago)));
    to.set_answered_ms(write_age(report.answered_ago));
}

fn read_crash_report(from: schema::crash_report::Reader<'_>) -> CrashReport {
    CrashReport {
        fingerprint: RequestFingerprint::new(from.get_fingerprint()),
        crashes: from.get_crashes(),
        crashed_ago: Duration::from_millis(from.get_crashed_ms().into()),
        answered_ago: read_age(from.get_answered_ms()),
    }
}

/// Wire value for a removed rate limit.
const REMOVED_RATE_LIMIT: u64 = u64::MAX;

fn write_rate_limit(report: &RateLimitReport, mut to: schema::rate_limit::Builder<'_>) {
    to.set_target(report.target.as_str());
    to.set_milli_per_s(report.limit.map_or(REMOVED_RATE_LIMIT, RequestRate::milli_per_s));
    to.set_answered_ms(write_age(Some(report.answered_ago)));
}

fn read_rate_limit(from: schema::rate_limit::Reader<'_>) -> Result<RateLimitReport> {
    let milli_per_s = from.get_milli_per_s();
    Ok(RateLimitReport {
        target: TargetId::new(from.get_target()?.to_str()?).map_err(to_capnp_error)?,
        limit: (milli_per_s != REMOVED_RATE_LIMIT)
            .then(|| RequestRate::from_milli_per_s(milli_per_s)),
        answered_ago: Duration::from_millis(from.get_answered_ms().into()),
    })
}

/// Wire value for an unknown start of a target.
const UNKNOWN_START_MS: u64 = 0;

fn write_leaving_target(report: &LeavingReport, mut to: schema::leaving_target::Builder<'_>) {
    to.set_target(report.run.target.as_str());
    to.set_started_at_ms(report.run.started_at_ms.unwrap_or(UNKNOWN_START_MS));
    to.set_answered_ms(write_age(Some(report.answered_ago)));
}

fn read_leaving_target(from: schema::leaving_target::Reader<'_>) -> Result<LeavingReport> {
    let target = TargetId::new(from.get_target()?.to_str()?).map_err(to_capnp_error)?;
    let started_at_ms = from.get_started_at_ms();
    Ok(LeavingReport {
        run: TargetRun::new(target, (started_at_ms != UNKNOWN_START_MS).then_some(started_at_ms)),
        answered_ago: Duration::from_millis(from.get_answered_ms().into()),
    })
}

fn write_exclusion(report: &ExclusionReport, mut to: schema::exclusion::Builder<'_>) {
    to.set_target(report.run.target.as_str());
    to.set_started_at_ms(report.run.started_at_ms.unwrap_or(UNKNOWN_START_MS));
    to.set_remaining_ms(write_age(Some(report.remaining)));
    to.set_count(report.exclusions);
}

fn read_exclusion(from: schema::exclusion::Reader<'_>) -> Result<ExclusionReport> {
    let target = TargetId::new(from.get_target()?.to_str()?).map_err(to_capnp_error)?;
    let started_at_ms = from.get_started_at_ms();
    Ok(ExclusionReport {
        run: TargetRun::new(target, (started_at_ms != UNKNOWN_START_MS).then_some(started_at_ms)),
        remaining: Duration::from_millis(from.get_remaining_ms().into()),
        exclusions: from.get_count(),
    })
}

fn write_state(state: PeerState) -> schema::heartbeat::State {
    match state {
        PeerState::Starting => schema::heartbeat::State::Starting,
        PeerState::Live => schema::heartbeat::State::Live,
        PeerState::Leaving => schema::heartbeat::State::Leaving,
    }
}

fn read_state(state: schema::heartbeat::State) -> PeerState {
    match state {
        schema::heartbeat::State::Starting => PeerState::Starting,
        schema::heartbeat::State::Live => PeerState::Live,
        schema::heartbeat::State::Leaving => PeerState::Leaving,
    }
}

pub(crate) fn read_heartbeat(from: schema::heartbeat::Reader<'_>) -> Result<Heartbeat> {
    Ok(Heartbeat {
        state: read_state(from.get_state()?),
        failure_domain: from.get_failure_domain()?.to_str()?.parse().map_err(to_capnp_error)?,
        callers: from.get_callers()?.to_str()?.parse().map_err(to_capnp_error)?,
        peers: from.get_peers()?.to_str()?.parse().map_err(to_capnp_error)?,
        round: from.get_round(),
        isolated: from.get_isolated(),
        load_level: from.get_load_level(),
        updates: from.get_news()?.iter().map(read_update).collect::<Result<_>>()?,
        seen_revision: Revision::new(from.get_seen_revision()),
        synced_revision: Revision::new(from.get_synced_revision()),
        synced_epoch: read_epoch(from.get_synced_epoch()),
        retained_digest: ListsDigest::new(from.get_retained_digest()),
        lists_digest: ListsDigest::new(from.get_lists_digest()),
        loads_digest: Some(from.get_loads_digest())
            .filter(|digest| *digest != NO_LOADS_DIGEST)
            .map(ListsDigest::new),
        is_disconnected: from.get_platform_lost(),
        platform: PlatformReport {
            last_answer: read_age(from.get_platform_answered_ms()),
            reader_last_seen: read_age(from.get_reader_heard_ms()),
            outage: read_age(from.get_platform_away_ms()),
        },
        domain_entries: from.get_domain_entries(),
        is_overloaded: from.get_behind(),
        crash_reports: from.get_crash_reports()?.iter().map(read_crash_report).collect(),
        quarantine_digest: QuarantineDigest::new(from.get_quarantine_digest()),
        rate_limits: from.get_rate_limits()?.iter().map(read_rate_limit).collect::<Result<_>>()?,
        leaving_targets: from
            .get_leaving_targets()?
            .iter()
            .map(read_leaving_target)
            .collect::<Result<_>>()?,
        exclusions: from.get_exclusions()?.iter().map(read_exclusion).collect::<Result<_>>()?,
        restart_safe: from.get_restart_safe(),
        loads: from.get_loads()?.iter().map(read_load).collect::<Result<_>>()?,
        capacity: PerSecond::new(from.get_strength_per_s()),
        demands: from.get_demands()?.iter().map(read_demand_report).collect::<Result<_>>()?,
    })
}

fn read_update(from: schema::news::Reader<'_>) -> Result<PeerUpdate> {
    Ok(PeerUpdate {
        peer: read_peer_id(from.get_vm()?, from.get_incarnation())?,
        round: from.get_round(),
        isolated: from.get_isolated(),
        load_level: from.get_load_level(),
        state: read_state(from.get_state()?),
        suspected: from.get_suspected(),
        failure_domain: from.get_failure_domain()?.to_str()?.parse().map_err(to_capnp_error)?,
        callers: from.get_callers()?.to_str()?.parse().map_err(to_capnp_error)?,
        peers: from.get_peers()?.to_str()?.parse().map_err(to_capnp_error)?,
        capacity: PerSecond::new(from.get_strength_per_s()),
    })
}

fn read_load(from: schema::load_hint::Reader<'_>) -> Result<LoadHint> {
    let target = TargetId::new(from.get_target()?.to_str()?).map_err(to_capnp_error)?;
    let load = Permille::new(from.get_load_permille());
    Ok(LoadHint { target, load, age_ms: from.get_age_ms() })
}
