//! An entry is stopped while callers wait for pipelined answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::Client;
use crate::deployment::{Deployment, RouteSpec, manifest};
use crate::entry::{SIGTERM, Terms};
use crate::judge::{Outcome, count_lost};
use crate::record::Record;

/// Work of the first request of each connection.
const SLOW_WORK_MS: u64 = 4000;
/// Work of the requests behind it.
const FAST_WORK_MS: u64 = 300;
const CONNECTIONS: usize = 4;
/// Requests sent behind the first one of each connection.
const PIPELINED: usize = 2;
const DEADLINE_MS: u64 = 12_000;
/// Time from the first requests to SIGTERM; by then the fast ones have run.
const STOP_AFTER: Duration = Duration::from_millis(700);

pub fn play(record: Arc<Record>, with_trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(Arc::clone(&record));
    let route = RouteSpec {
        name: "terms",
        kind: "safe",
        service: "termbase",
        timeout_ms: 6000,
        target_latency_ms: 1500,
    };
    deployment.add_upstreams("termbase", 6, 6);
    deployment.store.put("op/config", &manifest(4, &[route], &["termbase"], 1792));
    deployment.start_entries(3, &Terms::default());
    deployment.stay_calm();
    let front = deployment.entries[0].ports.front;
    let callers: Vec<_> = (0..CONNECTIONS)
        .map(|number| {
            let record = Arc::clone(&record);
            thread::spawn(move || call(front, number, &record))
        })
        .collect();
    thread::sleep(STOP_AFTER);
    let stopped_ms = with_trouble.then(|| deployment.stop_entry(0, SIGTERM));
    let outcomes: Vec<Outcome> =
        callers.into_iter().flat_map(|caller| caller.join().unwrap_or_default()).collect();
    if outcomes.len() != CONNECTIONS * (1 + PIPELINED) {
        return Verdict::NotRun;
    }
    if count_lost(&deployment, &outcomes, stopped_ms) > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Sends a slow request and, before its answer, some fast ones on one connection. Reads the answers in
/// the order of the requests.
fn call(front: SocketAddr, number: usize, record: &Record) -> Vec<Outcome> {
    let Ok(mut client) = Client::connect(front, DEADLINE_MS, record) else { return Vec::new() };
    let mut sent = Vec::new();
    for index in 0..=PIPELINED {
        let id = format!("c{number}-r{index}");
        let work_ms = if index == 0 { SLOW_WORK_MS } else { FAST_WORK_MS };
        let sent_ms = record.now_ms();
        if client.send(&format!("/terms/{id}/{work_ms}"), &id).is_err() {
            return Vec::new();
        }
        sent.push((id, sent_ms));
        thread::sleep(Duration::from_millis(50));
    }
    let mut is_open = true;
    let read = |(id, sent_ms): (String, u64)| {
        let answer = if is_open { client.read_answer(&id) } else { None };
        is_open &= answer.is_some();
        Outcome { id, sent_ms, ended_ms: record.now_ms(), is_complete: answer.is_some() }
    };
    sent.into_iter().map(read).collect()
}
