//! An entry is stopped while callers wait for pipelined answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
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
/// Callers at the other entries, whose requests are all fast: slow ones are few among all, as on the site.
const OTHER_CALLERS: usize = 12;
/// Largest share of slow requests, in percent.
const SLOW_SHARE_MAX: usize = 3;
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
    let is_over = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..OTHER_CALLERS)
        .map(|number| {
            let front = deployment.entries[1 + number % 2].ports.front;
            let (record, is_over) = (Arc::clone(&record), Arc::clone(&is_over));
            thread::spawn(move || call_until(front, number, &is_over, &record))
        })
        .collect();
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
    is_over.store(true, Ordering::Relaxed);
    let other_count: usize = others.into_iter().map(|caller| caller.join().unwrap_or(0)).sum();
    record.write(&format!("{CONNECTIONS} slow requests among {}", outcomes.len() + other_count));
    if CONNECTIONS * 100 > (outcomes.len() + other_count) * SLOW_SHARE_MAX {
        return Verdict::NotRun;
    }
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

/// Sends fast requests one after the other on a kept connection; returns how many were answered.
fn call_until(front: SocketAddr, number: usize, is_over: &AtomicBool, record: &Record) -> usize {
    let Ok(mut client) = Client::connect(front, DEADLINE_MS, record) else { return 0 };
    let mut count = 0;
    while !is_over.load(Ordering::Relaxed) {
        let id = format!("o{number}-r{count}");
        if client.send(&format!("/terms/{id}/{FAST_WORK_MS}"), &id).is_err() {
            return count;
        }
        if client.read_answer(&id).is_none() {
            return count;
        }
        count += 1;
    }
    count
}
