//! Costs of sessions and operations of the idempotency ledger.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use shallotfork_once::{
    ClaimId, Completion, HeaderField, Issuer, KeptAnswer, OnceConfig, Open, OperationId,
    SECRET_BYTES, Secret,
};
use shallotfork_types::{Bytes, Incarnation, Mono, VmId};

use crate::measure::{measure_memory, measure_time};

/// Size of the kept answer of an operation, in bytes.
const ANSWER_BYTES: usize = 256;

fn new_issuer(operations: usize) -> Result<Issuer<Open>> {
    let config = OnceConfig {
        operations_max: operations + 1_000_000,
        operations_per_session_max: usize::MAX,
        kept_total_max: Bytes::from_mib(1024),
        session_lifetime: Duration::from_secs(600),
        ..OnceConfig::default()
    };
    let vm: VmId = "entry-0".parse()?;
    Ok(Issuer::new(vm, Incarnation::new(1), Secret::new([7; SECRET_BYTES]), config))
}

fn kept_answer() -> Arc<KeptAnswer> {
    let header = HeaderField { name: "content-type".to_owned(), value: b"text/plain".to_vec() };
    Arc::new(KeptAnswer { status: 200, headers: vec![header], body: vec![b'x'; ANSWER_BYTES] })
}

/// Runs `count` operations, each in a session of its own.
fn run_operations(issuer: &mut Issuer<Open>, count: usize) -> Result<()> {
    for number in 0..count {
        run_operation(issuer, number as u64)?;
    }
    Ok(())
}

fn run_operation(issuer: &mut Issuer<Open>, number: u64) -> Result<()> {
    let session = issuer.issue(Mono::ZERO);
    let operation = OperationId::new(session, format!("order-{number}").parse()?);
    let claim = ClaimId::new("entry-1".parse()?, Incarnation::new(2), number);
    issuer.claim(&operation, &claim, Mono::ZERO);
    issuer.complete(&operation, &claim, Completion::Ran(kept_answer()), Mono::ZERO);
    Ok(())
}

/// Measures and prints the processor time of ledger operations.
///
/// # Errors
/// When a generated name is not valid.
pub fn print_times() -> Result<()> {
    let mut fresh = new_issuer(0)?;
    measure_time("issue a session", 1, || fresh.issue(Mono::ZERO));
    for count in [1_000, 100_000] {
        let mut issuer = new_issuer(count)?;
        run_operations(&mut issuer, count)?;
        let mut number = count as u64;
        measure_time("issue, claim and complete an operation", count, || {
            number += 1;
            run_operation(&mut issuer, number)
        });
    }
    Ok(())
}

/// Measures and prints the memory of the ledger.
///
/// # Errors
/// When the resident memory cannot be read.
pub fn print_memory() -> Result<()> {
    measure_memory(
        "operations with an answer of 256 bytes",
        50_000,
        || -> Result<Issuer<Open>> {
            let mut issuer = new_issuer(50_000)?;
            run_operations(&mut issuer, 50_000)?;
            Ok(issuer)
        },
    )?;
    Ok(())
}
