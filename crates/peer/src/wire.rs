//! Conversion between the typed messages and the types generated from the schema.

use std::sync::Arc;
use std::time::Duration;

use capnp::{Error, Result};
use shallotfork_measure::RateLimitReport;
use shallotfork_once::{
    ClaimAnswer, Completion, HeaderField, KeptAnswer, OperationId, SECRET_BYTES, SealedLedger,
    SealedOperation, SealedOutcome, SealedSession, Secret,
};
use shallotfork_quarantine::{CrashReport, QuarantineDigest, RequestFingerprint};
use shallotfork_statements::{LeavingReport, TargetRun};
use shallotfork_types::{
    Bytes, Epoch, IdempotencyKey, Incarnation, ListsDigest, Mono, ParseError, PerSecond, Permille,
    Position, RequestRate, Revision, TargetId,
};

use crate::key::NONCE_BYTES;
use crate::peer_capnp as schema;
use crate::{
    Bundle, Changes, Heartbeat, LoadHint, PeerError, PeerId, PeerState, PeerUpdate, PlatformReport,
    ValueChange,
};

pub(crate) fn to_capnp_error(error: ParseError) -> Error {
    Error::failed(error.to_string())
}

/// Converts a list length for capnp, which uses 32 bits; longer lists cannot fit into a message.
fn list_length(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

pub(crate) fn read_nonce(bytes: &[u8]) -> Result<[u8; NONCE_BYTES]> {
    bytes.try_into().map_err(|_| Error::failed("nonce of wrong length".to_owned()))
}

pub(crate) fn read_peer_id(vm: capnp::text::Reader<'_>, incarnation: u64) -> Result<PeerId> {
    let vm = vm.to_str()?.parse().map_err(to_capnp_error)?;
    Ok(PeerId::new(vm, Incarnation::new(incarnation)))
}

pub(crate) fn write_operation(operation: &OperationId, mut to: schema::operation::Builder<'_>) {
    to.set_session(operation.session().to_string());
    to.set_key(operation.key().as_str());
}

pub(crate) fn read_operation(from: schema::operation::Reader<'_>) -> Result<OperationId> {
    let session = from.get_session()?.to_str()?.parse().map_err(to_capnp_error)?;
    let key = IdempotencyKey::new(from.get_key()?.to_str()?).map_err(to_capnp_error)?;
    Ok(OperationId::new(session, key))
}

fn write_kept_answer(answer: &KeptAnswer, mut to: schema::kept_answer::Builder<'_>) {
    to.set_status(answer.status);
    to.set_body(&answer.body);
    let mut headers = to.init_headers(list_length(answer.headers.len()));
    for (index, header) in (0..).zip(&answer.headers) {
        let mut field = headers.reborrow().get(index);
        field.set_name(&header.name[..]);
        field.set_value(&header.value);
    }
}

fn read_kept_answer(from: schema::kept_answer::Reader<'_>) -> Result<Arc<KeptAnswer>> {
    let headers = from.get_headers()?.iter().map(read_header).collect::<Result<_>>()?;
    let body = from.get_body()?.to_vec();
    Ok(Arc::new(KeptAnswer { status: from.get_status(), headers, body }))
}

fn read_header(from: schema::header_field::Reader<'_>) -> Result<HeaderField> {
    let name = from.get_name()?.to_string()?;
    let value = from.get_value()?.to_vec();
    Ok(HeaderField { name, value })
}

pub(crate) fn write_claim_answer(answer: &ClaimAnswer, mut to: schema::claim_answer::Builder<'_>) {
    match answer {
        ClaimAnswer::Granted => to.set_granted(()),
        ClaimAnswer::InProgress => to.set_in_progress(()),
        ClaimAnswer::Kept(kept) => write_kept_answer(kept, to.init_kept()),
        ClaimAnswer::Ran => to.set_ran(()),
        ClaimAnswer::NotRun => to.set_not_run(()),
        ClaimAnswer::MayHaveRun => to.set_may_have_run(()),
        ClaimAnswer::Full { retry_after } => to.set_full_retry_after_ms(millis(*retry_after)),
        ClaimAnswer::BadSession => to.set_bad_session(()),
    }
}

pub(crate) fn read_claim_answer(from: schema::claim_answer::Reader<'_>) -> Result<ClaimAnswer> {
    use schema::claim_answer::Which;
    let answer = match from.which()? {
        Which::Granted(()) => ClaimAnswer::Granted,
        Which::InProgress(()) => ClaimAnswer::InProgress,
        Which::Kept(kept) => ClaimAnswer::Kept(read_kept_answer(kept?)?),
        Which::Ran(()) => ClaimAnswer::Ran,
        Which::NotRun(()) => ClaimAnswer::NotRun,
        Which::MayHaveRun(()) => ClaimAnswer::MayHaveRun,
        Which::FullRetryAfterMs(retry_after_ms) => {
            ClaimAnswer::Full { retry_after: Duration::from_millis(retry_after_ms) }
        }
        Which::BadSession(()) => ClaimAnswer::BadSession,
    };
    Ok(answer)
}

pub(crate) fn write_completion(completion: &Completion, mut to: schema::completion::Builder<'_>) {
    match completion {
        Completion::Ran(kept) => write_kept_answer(kept, to.init_ran()),
        Completion::RanUnkept => to.set_ran_unkept(()),
        Completion::NotRun => to.set_not_run(()),
        Completion::MayHaveRun => to.set_may_have_run(()),
    }
}

pub(crate) fn read_completion(from: schema::completion::Reader<'_>) -> Result<Completion> {
    use schema::completion::Which;
    let completion = match from.which()? {
        Which::Ran(kept) => Completion::Ran(read_kept_answer(kept?)?),
        Which::RanUnkept(()) => Completion::RanUnkept,
        Which::NotRun(()) => Completion::NotRun,
        Which::MayHaveRun(()) => Completion::MayHaveRun,
    };
    Ok(completion)
}

pub(crate) fn write_heartbeat(heartbeat: &Heartbeat, mut to: schema::heartbeat::Builder<'_>) {
    to.set_state(write_state(heartbeat.state));
    to.set_seen_revision(heartbeat.seen_revision.value());
    to.set_synced_revision(heartbeat.synced_revision.value());
    to.set_synced_epoch(write_epoch(heartbeat.synced_epoch));
    to.set_retained_digest(heartbeat.retained_digest.value());
    to.set_lists_digest(heartbeat.lists_digest.value());
    to.set_platform_lost(heartbeat.is_disconnected);
    to.set_restart_safe(heartbeat.restart_safe);
    to.set_strength_per_s(heartbeat.capacity.value());
    to.set_failure_domain(heartbeat.failure_domain.as_str());
    to.set_callers(&heartbeat.callers.to_string()[..]);
    to.set_peers(&heartbeat.peers.to_string()[..]);
    to.set_round(heartbeat.round);
    to.set_isolated(heartbeat.isolated);
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
    if !heartbeat.updates.is_empty() {
        let mut updates = to.reborrow().init_news(list_length(heartbeat.updates.len()));
        for (index, update) in (0..).zip(&heartbeat.updates) {
            write_update(update, updates.reborrow().get(index));
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

fn write_update(update: &PeerUpdate, mut to: schema::news::Builder<'_>) {
    to.set_vm(update.peer.vm.as_str());
    to.set_incarnation(update.peer.incarnation.value());
    to.set_round(update.round);
    to.set_isolated(update.isolated);
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

/// Wire value for a revision that is not stated.
const UNKNOWN_REVISION: u64 = u64::MAX;

/// Wire value for the epoch of a process that does not know of epochs.
const UNKNOWN_EPOCH: u64 = u64::MAX;

pub(crate) fn write_epoch(epoch: Option<Epoch>) -> u64 {
    epoch.map_or(UNKNOWN_EPOCH, Epoch::value)
}

pub(crate) fn read_epoch(epoch: u64) -> Option<Epoch> {
    (epoch != UNKNOWN_EPOCH).then(|| Epoch::new(epoch))
}

/// Wire value for an unknown age.
const UNKNOWN_AGE_MS: u32 = u32::MAX;

fn write_age(age: Option<Duration>) -> u32 {
    age.map_or(UNKNOWN_AGE_MS, |age| u32::try_from(age.as_millis()).unwrap_or(UNKNOWN_AGE_MS))
}

fn read_age(age_ms: u32) -> Option<Duration> {
    (age_ms != UNKNOWN_AGE_MS).then(|| Duration::from_millis(age_ms.into()))
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
        updates: from.get_news()?.iter().map(read_update).collect::<Result<_>>()?,
        seen_revision: Revision::new(from.get_seen_revision()),
        synced_revision: Revision::new(from.get_synced_revision()),
        synced_epoch: read_epoch(from.get_synced_epoch()),
        retained_digest: ListsDigest::new(from.get_retained_digest()),
        lists_digest: ListsDigest::new(from.get_lists_digest()),
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
        restart_safe: from.get_restart_safe(),
        loads: from.get_loads()?.iter().map(read_load).collect::<Result<_>>()?,
        capacity: PerSecond::new(from.get_strength_per_s()),
    })
}

fn read_update(from: schema::news::Reader<'_>) -> Result<PeerUpdate> {
    Ok(PeerUpdate {
        peer: read_peer_id(from.get_vm()?, from.get_incarnation())?,
        round: from.get_round(),
        isolated: from.get_isolated(),
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

pub(crate) fn write_changes(changes: &Changes, mut to: schema::changes::Builder<'_>) {
    to.set_revision(changes.revision.value());
    to.set_epoch(write_epoch(changes.epoch));
    to.set_whole(changes.is_snapshot);
    if let Some(bundle) = &changes.bundle {
        to.set_bundle(&bundle.content);
        to.set_unpacked_bundle_bytes(unpacked_bytes(bundle.unpacked_size));
    }
    to.set_settles_ms(write_age(changes.settles_in));
    to.set_seen_from(changes.seen_from.map_or(UNKNOWN_REVISION, Revision::value));
    if !changes.retained.is_empty() {
        let count = list_length(changes.retained.len());
        write_values(&changes.retained, to.reborrow().init_retained(count));
    }
    write_values(&changes.values, to.init_values(list_length(changes.values.len())));
}

fn write_values(
    values: &[ValueChange],
    mut to: capnp::struct_list::Builder<'_, schema::value::Owned>,
) {
    for (index, change) in (0..).zip(values) {
        let mut value = to.reborrow().get(index);
        value.set_name(&change.name[..]);
        value.set_revision(change.position.revision().value());
        value.set_epoch(change.position.epoch().value());
        value.set_content(&change.content);
        value.set_removed(change.removed);
        value.set_unpacked_bytes(change.unpacked_size.map_or(0, unpacked_bytes));
    }
}

/// Encodes values for a [`Bundle`]; the result is not packed yet.
pub fn encode_values(values: &[ValueChange]) -> Vec<u8> {
    let mut message = capnp::message::Builder::new_default();
    let to = message.init_root::<schema::values::Builder<'_>>();
    write_values(values, to.init_values(list_length(values.len())));
    capnp::serialize::write_message_to_words(&message)
}

/// Decodes the output of [`encode_values`].
///
/// # Errors
/// Returns an error if `content` is not a valid encoding of values.
pub fn decode_values(content: &[u8]) -> std::result::Result<Vec<ValueChange>, PeerError> {
    let options = capnp::message::ReaderOptions::new();
    let message = capnp::serialize::read_message(&mut &content[..], options)?;
    let values = message.get_root::<schema::values::Reader<'_>>()?.get_values()?;
    Ok(values.iter().map(read_value).collect::<Result<_>>()?)
}

pub(crate) fn read_changes(from: schema::changes::Reader<'_>) -> Result<Changes> {
    let values = from.get_values()?.iter().map(read_value).collect::<Result<_>>()?;
    let revision = Revision::new(from.get_revision());
    let bundle = match from.get_unpacked_bundle_bytes() {
        0 => None,
        bytes => Some(Bundle {
            content: from.get_bundle()?.to_vec(),
            unpacked_size: Bytes::new(u64::from(bytes)),
        }),
    };
    Ok(Changes {
        revision,
        epoch: read_epoch(from.get_epoch()),
        values,
        is_snapshot: from.get_whole(),
        bundle,
        retained: from.get_retained()?.iter().map(read_value).collect::<Result<_>>()?,
        settles_in: read_age(from.get_settles_ms()),
        seen_from: Some(from.get_seen_from())
            .filter(|revision| *revision != UNKNOWN_REVISION)
            .map(Revision::new),
    })
}

fn unpacked_bytes(size: Bytes) -> u32 {
    u32::try_from(size.value()).unwrap_or(u32::MAX)
}

fn read_value(from: schema::value::Reader<'_>) -> Result<ValueChange> {
    Ok(ValueChange {
        name: from.get_name()?.to_string()?,
        position: Position::new(Epoch::new(from.get_epoch()), Revision::new(from.get_revision())),
        content: from.get_content()?.to_vec(),
        unpacked_size: match from.get_unpacked_bytes() {
            0 => None,
            bytes => Some(Bytes::new(u64::from(bytes))),
        },
        removed: from.get_removed(),
    })
}

pub(crate) fn write_ledger(ledger: &SealedLedger, mut to: schema::sealed_ledger::Builder<'_>) {
    to.set_vm(ledger.vm.as_str());
    to.set_incarnation(ledger.incarnation.value());
    to.set_secret(ledger.secret.bytes());
    to.set_sealed_at_us(ledger.sealed_at.as_micros());
    to.set_session_lifetime_ms(millis(ledger.session_lifetime));
    let mut sessions = to.init_sessions(list_length(ledger.sessions.len()));
    for (index, session) in (0..).zip(&ledger.sessions) {
        write_session(session, sessions.reborrow().get(index));
    }
}

fn write_session(session: &SealedSession, mut to: schema::sealed_session::Builder<'_>) {
    to.set_serial(session.serial);
    let mut operations = to.init_operations(list_length(session.operations.len()));
    for (index, operation) in (0..).zip(&session.operations) {
        let mut item = operations.reborrow().get(index);
        item.set_key(operation.key.as_str());
        let mut end = item.init_end();
        match &operation.outcome {
            SealedOutcome::Kept(kept) => write_kept_answer(kept, end.init_kept()),
            SealedOutcome::Ran => end.set_ran(()),
            SealedOutcome::NotRun => end.set_not_run(()),
            SealedOutcome::MayHaveRun => end.set_may_have_run(()),
        }
    }
}

pub(crate) fn read_ledger(from: schema::sealed_ledger::Reader<'_>) -> Result<SealedLedger> {
    let secret: [u8; SECRET_BYTES] = from
        .get_secret()?
        .try_into()
        .map_err(|_| Error::failed("secret of wrong length".to_owned()))?;
    Ok(SealedLedger {
        vm: from.get_vm()?.to_str()?.parse().map_err(to_capnp_error)?,
        incarnation: Incarnation::new(from.get_incarnation()),
        secret: Secret::new(secret),
        sealed_at: Mono::from_micros(from.get_sealed_at_us()),
        session_lifetime: Duration::from_millis(from.get_session_lifetime_ms()),
        sessions: from.get_sessions()?.iter().map(read_session).collect::<Result<_>>()?,
    })
}

fn read_session(from: schema::sealed_session::Reader<'_>) -> Result<SealedSession> {
    let operations =
        from.get_operations()?.iter().map(read_sealed_operation).collect::<Result<_>>()?;
    Ok(SealedSession { serial: from.get_serial(), operations })
}

fn read_sealed_operation(from: schema::sealed_operation::Reader<'_>) -> Result<SealedOperation> {
    use schema::sealed_operation::end::Which;
    let key = IdempotencyKey::new(from.get_key()?.to_str()?).map_err(to_capnp_error)?;
    let outcome = match from.get_end().which()? {
        Which::Kept(kept) => SealedOutcome::Kept(read_kept_answer(kept?)?),
        Which::Ran(()) => SealedOutcome::Ran,
        Which::NotRun(()) => SealedOutcome::NotRun,
        Which::MayHaveRun(()) => SealedOutcome::MayHaveRun,
    };
    Ok(SealedOperation { key, outcome })
}
