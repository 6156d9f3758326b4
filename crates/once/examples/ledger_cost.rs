//! Measures the cost of the ledger: processor time per decision and memory per operation.
//!
//! Run with `cargo run --release -p shallotfork-once --example ledger_cost`. Memory is the growth of the
//! resident set, read from /proc/self/statm, so it includes the overhead of the allocator.

use std::error::Error;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use shallotfork_once::{
    Archive, ClaimId, Completion, Issuer, KeptAnswer, OnceConfig, Open, OperationId, Secret,
};
use shallotfork_types::{Bytes, IdempotencyKey, Incarnation, Mono, VmId};

type BoxResult<T> = Result<T, Box<dyn Error>>;

const SIZES: [usize; 3] = [10_000, 100_000, 400_000];
const KEYS_PER_SESSION: usize = 4;
const ANSWER_BYTES: usize = 256;
const PAGE_BYTES: u64 = 4096;

fn main() -> BoxResult<()> {
    for count in SIZES {
        measure(count)?;
    }
    Ok(())
}

fn measure(count: usize) -> BoxResult<()> {
    let mut issuer = issuer()?;
    let operations = operations(&mut issuer, count)?;
    let claim = ClaimId::new(VmId::new("kalgoorlie-4")?, Incarnation::new(2), 1);
    println!("{count} operations, {KEYS_PER_SESSION} in each session");

    let initial_bytes = resident_bytes()?;
    timed("claim", count, || {
        for operation in &operations {
            black_box(issuer.claim(operation, &claim, Mono::ZERO));
        }
    });
    let granted_bytes = resident_bytes()?;
    println!("  granted: {} B of memory each", (granted_bytes - initial_bytes) / count as u64);
    timed("complete", count, || {
        for operation in &operations {
            let body = vec![b'x'; ANSWER_BYTES];
            let answer = KeptAnswer { status: 201, headers: Vec::new(), body };
            let completion = Completion::Ran(Arc::new(answer));
            black_box(issuer.complete(operation, &claim, completion, Mono::ZERO));
        }
    });
    let kept_bytes = resident_bytes()?;
    println!(
        "  answer of {ANSWER_BYTES} B kept: {} B more",
        (kept_bytes - granted_bytes) / count as u64
    );
    timed("repeat", count, || {
        for operation in &operations {
            black_box(issuer.claim(operation, &claim, Mono::ZERO));
        }
    });
    let started_at = Instant::now();
    let sealed = issuer.drain(Mono::ZERO).seal(Mono::ZERO);
    println!("  seal: {:.1} ms", started_at.elapsed().as_secs_f64() * 1e3);
    let mut archive = Archive::new(config());
    let started_at = Instant::now();
    for part in sealed.into_parts(Bytes::from_kib(512)) {
        archive.add_part(part, Mono::ZERO);
    }
    println!("  archive in parts: {:.1} ms", started_at.elapsed().as_secs_f64() * 1e3);
    timed("lookup", count, || {
        for operation in &operations {
            black_box(archive.lookup(operation));
        }
    });
    Ok(())
}

fn timed(step: &str, count: usize, run: impl FnOnce()) {
    let started_at = Instant::now();
    run();
    println!("  {step}: {:.2} us", started_at.elapsed().as_secs_f64() * 1e6 / count as f64);
}

fn config() -> OnceConfig {
    OnceConfig {
        operations_max: usize::MAX,
        kept_total_max: Bytes::from_mib(1024),
        archived_total_max: Bytes::from_mib(1024),
        ..OnceConfig::new()
    }
}

fn issuer() -> BoxResult<Issuer<Open>> {
    let vm = VmId::new("kalgoorlie-3")?;
    Ok(Issuer::new(vm, Incarnation::new(1), Secret::new([1; 32]), config()))
}

fn operations(issuer: &mut Issuer<Open>, count: usize) -> BoxResult<Vec<OperationId>> {
    let started_at = Instant::now();
    let sessions: Vec<_> =
        (0..count / KEYS_PER_SESSION).map(|_| issuer.issue(Mono::ZERO)).collect();
    let us_per_session = started_at.elapsed().as_secs_f64() * 1e6 / sessions.len() as f64;
    println!("issue: {us_per_session:.2} us a session");
    let mut operations = Vec::with_capacity(count);
    for session in sessions {
        for number in 0..KEYS_PER_SESSION {
            let key = IdempotencyKey::new(&format!("order-{:028}", operations.len() + number))?;
            operations.push(OperationId::new(session.clone(), key));
        }
    }
    Ok(operations)
}

fn resident_bytes() -> BoxResult<u64> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let resident = statm.split_whitespace().nth(1).ok_or("no resident size")?;
    Ok(resident.parse::<u64>()? * PAGE_BYTES)
}
