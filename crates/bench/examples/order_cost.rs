//! Prints the time of an order without a key, at the entry that issued its session, and at another
//! one, taken in turn in one run.
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

/// The target's own work is left out as far as it goes.
const SERVICE_US: &str = "0";

#[derive(Debug, Clone, Copy)]
enum Way {
    Unkeyed,
    AtIssuer,
    AtOther,
}

const WAYS: [Way; 3] = [Way::Unkeyed, Way::AtIssuer, Way::AtOther];

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let case = OrderFixture::default_case().with_setting("once", "session_lifetime_ms", "3600000");
    let desk = OrderFixture::start(case).await?;
    let mut times = [(); WAYS.len()].map(|()| Vec::with_capacity(ROUNDS));
    for round in 0..WARM_UP_ROUNDS + ROUNDS {
        for (way, times) in WAYS.into_iter().zip(&mut times) {
            let took = send(&desk, way, round).await?;
            if round >= WARM_UP_ROUNDS {
                times.push(took);
            }
        }
    }
    for (way, times) in WAYS.into_iter().zip(&mut times) {
        times.sort();
        let at = |permille: usize| times[(times.len() - 1) * permille / 1000].as_secs_f64() * 1e3;
        println!("{way:?}: p50 {:.3} ms, p99 {:.3} ms", at(500), at(990));
    }
    Ok(())
}

async fn send(desk: &OrderFixture, way: Way, round: usize) -> anyhow::Result<Duration> {
    let session = desk.session(ISSUER).await?;
    let (entry, call) = match way {
        Way::Unkeyed => {
            let body = Bytes::from_static(b"two drums of saltbush pepper");
            (ISSUER, Call::new(desk.service.clone(), Method::POST, "/orders", body))
        }
        Way::AtIssuer => (ISSUER, desk.order(&format!("issuer-{round}"), &session)?),
        Way::AtOther => (OTHER, desk.order(&format!("other-{round}"), &session)?),
    };
    let call = call.with_header(SERVICE_US_HEADER, SERVICE_US);
    let began = Instant::now();
    let report = desk.send(entry, &call).await;
    let took = began.elapsed();
    ensure!(report.success().is_some(), "{report:?}");
    Ok(took)
}
