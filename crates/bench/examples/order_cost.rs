//! Measures the latency of an order without an idempotency key, of one sent to the entry that
//! issued its session, and of one sent to another entry. The three alternate within one run.
//!
//! `cargo build --release --bins && cargo run --release -p shallotfork-bench --example order_cost`

use std::time::{Duration, Instant};

use anyhow::ensure;
use bytes::Bytes;
use http::Method;
use shallotfork_standin::caller::Call;
use shallotfork_standin::target::SERVICE_US_HEADER;
use shallotfork_tests::OrderFixture;

const ROUNDS: usize = 3000;
const WARM_UP_ROUNDS: usize = 200;
const ISSUER: usize = 0;
const OTHER: usize = 1;

/// Simulated work of the target in microseconds; 0 keeps it out of the latency as far as possible.
const SERVICE_US: &str = "0";

#[derive(Debug, Clone, Copy)]
enum OrderKind {
    Unkeyed,
    AtIssuer,
    AtOther,
}

const ORDER_KINDS: [OrderKind; 3] = [OrderKind::Unkeyed, OrderKind::AtIssuer, OrderKind::AtOther];

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let case = OrderFixture::default_case().with_setting("once", "session_lifetime_ms", "3600000");
    let desk = OrderFixture::start(case).await?;
    let mut times = [(); ORDER_KINDS.len()].map(|()| Vec::with_capacity(ROUNDS));
    for round in 0..WARM_UP_ROUNDS + ROUNDS {
        for (kind, times) in ORDER_KINDS.into_iter().zip(&mut times) {
            let latency = send(&desk, kind, round).await?;
            if round >= WARM_UP_ROUNDS {
                times.push(latency);
            }
        }
    }
    for (kind, times) in ORDER_KINDS.into_iter().zip(&mut times) {
        times.sort();
        let quantile_ms =
            |permille: usize| times[(times.len() - 1) * permille / 1000].as_secs_f64() * 1e3;
        println!("{kind:?}: p50 {:.3} ms, p99 {:.3} ms", quantile_ms(500), quantile_ms(990));
    }
    Ok(())
}

async fn send(desk: &OrderFixture, kind: OrderKind, round: usize) -> anyhow::Result<Duration> {
    let session = desk.session(ISSUER).await?;
    let (entry, call) = match kind {
        OrderKind::Unkeyed => {
            let body = Bytes::from_static(b"two drums of saltbush pepper");
            (ISSUER, Call::new(desk.service.clone(), Method::POST, "/orders", body))
        }
        OrderKind::AtIssuer => (ISSUER, desk.order(&format!("issuer-{round}"), &session)?),
        OrderKind::AtOther => (OTHER, desk.order(&format!("other-{round}"), &session)?),
    };
    let call = call.with_header(SERVICE_US_HEADER, SERVICE_US);
    let started_at = Instant::now();
    let report = desk.send(entry, &call).await;
    let latency = started_at.elapsed();
    ensure!(report.success().is_some(), "{report:?}");
    Ok(latency)
}
