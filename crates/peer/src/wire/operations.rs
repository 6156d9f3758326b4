//! Operations that run at most once, their answers and the ledger of them.

use std::sync::Arc;
use std::time::Duration;

use capnp::{Error, Result};
use shallotfork_once::{
    ClaimAnswer, Completion, HeaderField, KeptAnswer, OperationId, SECRET_BYTES, SealedLedger,
    SealedOperation, SealedOutcome, SealedSession, Secret,
};
use shallotfork_types::{IdempotencyKey, Incarnation, Mono};

use super::{list_length, millis, to_capnp_error};
use crate::peer_capnp as schema;

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
