//! Orders that are refused as not run, though a server runs them.
//!
//! Servers send a second copy of some answers, late, where the next answer on the connection is due
//! (`garble`, `extra late`). One of them says at its health path that it is ill, though it is well
//! (`srv_lying_health`, `bad`).

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Client, Request};
use crate::record::{PROMISES, Record};
use crate::server::{Server, ServerConfig, random};
use crate::setup::{Folder, HOST, RouteSpec, ZONES, ip, manifest, start_nodes};
use crate::store::Store;

const NODES: usize = 4;
const SERVERS: usize = 7;
/// Servers whose answers are garbled: a share of 0.6.
const GARBLING: usize = 4;
/// Answers out of a thousand that are garbled: x = 0.03.
const GARBLED_PERMILLE: u64 = 30;
/// How long the disturbances last at a time, and the pause between two.
const GARBLE: Duration = Duration::from_millis(5000);
const PAUSE: Duration = Duration::from_millis(500);
const ROUNDS: usize = 12;
const CLIENTS: usize = 12;
/// Mean time between two orders of a client: about 40 orders a second in all.
const THINK_MS: u64 = 200;
/// Time that a client waits for an order in all, and how often it sends it again after a promise.
const TIME_LIMIT: Duration = Duration::from_millis(4000);
const RETRIES: u32 = 2;

pub fn play(path: &Path, has_trouble: bool) -> Verdict {
    let record = Arc::new(Record::new());
    let folder = Folder::new();
    let store = Store::start(&ip(100));
    let routes = [RouteSpec {
        name: "orders",
        prefix: "/orders/",
        kind: "unsafe",
        service: "order-desk",
        timeout_ms: 2000,
        target_latency_ms: 500,
        max_attempts: 2,
    }];
    store.put("op/config", &manifest(7, &routes, &["order-desk"]));
    let servers: Vec<Arc<Server>> =
        (0..SERVERS).map(|number| start_server(number, &record)).collect();
    for server in &servers {
        store.put(&format!("servers/{}", server.config.id), &server.item("ready"));
    }
    let nodes = match start_nodes(NODES, &folder.0, &store) {
        Ok(nodes) => nodes,
        Err(reason) => return Verdict::NotPlayed(reason),
    };
    thread::sleep(Duration::from_secs(3));
    let ends = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = nodes[number % nodes.len()].front.clone();
            let (record, ends) = (Arc::clone(&record), Arc::clone(&ends));
            thread::spawn(move || send_orders(number, &front, &record, &ends))
        })
        .collect();
    for round in 0..ROUNDS {
        set_trouble(&servers, round, has_trouble, &record);
        thread::sleep(GARBLE);
        set_trouble(&servers, round, false, &record);
        thread::sleep(PAUSE);
    }
    ends.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(nodes);
    conclude(&record, &servers, path, has_trouble)
}

fn start_server(number: usize, record: &Arc<Record>) -> Arc<Server> {
    let config = ServerConfig {
        id: format!("i-{number}f3a91c2"),
        service: "order-desk".to_owned(),
        zone: ZONES[number % ZONES.len()].to_owned(),
        slots: 2,
        queue: 4,
        work: Duration::from_millis(100),
        health: Duration::from_millis(6),
    };
    Server::start(config, &ip(101 + number), 0x9e37_79b9 + number as u64 * 7919, record)
}

/// Starts or ends the disturbances. Each round one other server says that it is ill.
fn set_trouble(servers: &[Arc<Server>], round: usize, begins: bool, record: &Record) {
    let ill = round % GARBLING;
    for (number, server) in servers.iter().enumerate() {
        let garbles = begins && number < GARBLING;
        server.copied_permille.store(if garbles { GARBLED_PERMILLE } else { 0 }, Ordering::Relaxed);
        server.says_ill.store(begins && number == ill, Ordering::Relaxed);
    }
    if begins {
        record.note(&format!(
            "servers 0 to {} garble; server {} says that it is ill, and is well",
            GARBLING - 1,
            servers[ill].config.id
        ));
    }
}

/// Sends orders one after the other. An order that was refused as not run is sent again under a new id,
/// on a new connection, when the answer says so.
fn send_orders(client: usize, front: &str, record: &Record, ends: &AtomicBool) {
    let state = AtomicU64::new(0x51ed_270b + client as u64 * 104_729);
    let mut connection = Client::new(front);
    let mut number = 0;
    while !ends.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(THINK_MS / 2 + random(&state) % THINK_MS));
        number += 1;
        let order = format!("order-{client}-{number}");
        let path = format!("/orders/{order}");
        let until = Instant::now() + TIME_LIMIT;
        for attempt in 0..=RETRIES {
            let id = format!("{order}.{attempt}");
            let left = until.saturating_duration_since(Instant::now());
            let request = Request {
                method: "POST",
                host: HOST,
                path: &path,
                id: &id,
                deadline: left,
                body: &order,
            };
            let Some(answer) = connection.send(&request, record) else { break };
            let retry_after =
                answer.header("retry-after").and_then(|text| text.parse::<f64>().ok());
            let left = until.saturating_duration_since(Instant::now());
            let wait =
                Duration::from_secs_f64(retry_after.unwrap_or(0.05).clamp(0.0, 4.0)).min(left / 3);
            if !PROMISES.contains(&answer.status()) || left < Duration::from_millis(200) {
                break;
            }
            connection = Client::new(front);
            thread::sleep(wait);
        }
    }
}

fn conclude(record: &Record, servers: &[Arc<Server>], path: &Path, has_trouble: bool) -> Verdict {
    // A request that was refused may run later.
    thread::sleep(Duration::from_secs(1));
    let (answers, runs) = (record.answers(), record.runs());
    let refused: Vec<_> =
        answers.iter().filter(|(_, answer)| PROMISES.contains(&answer.status)).collect();
    let broken: Vec<_> = refused.iter().filter(|(id, _)| runs.contains_key(*id)).collect();
    let served = answers.values().filter(|answer| answer.status == 200 && answer.signed).count();
    let copies: u64 = servers.iter().map(|server| server.copies.load(Ordering::Relaxed)).sum();
    let mut runs_of_orders: BTreeMap<&str, usize> = BTreeMap::new();
    for (id, runs) in &runs {
        let order = id.split('.').next().unwrap_or_default();
        *runs_of_orders.entry(order).or_default() += runs.len();
    }
    let doubled = runs_of_orders.values().filter(|count| **count > 1).count();
    let mut findings = vec![
        format!("disturbances: {}", if has_trouble { "yes" } else { "no" }),
        format!(
            "requests answered: {}, with success: {served}, refused as not run: {}",
            answers.len(),
            refused.len()
        ),
        format!("late second copies of answers: {copies}"),
        format!("REFUSED: requests refused as not run that a server has run: {}", broken.len()),
        format!("orders that servers ran twice, since the client sent them again: {doubled}"),
    ];
    for (id, answer) in &broken {
        let (server, ran_ms) = &runs[*id][0];
        findings.push(format!(
            "  {id}: answered {} at {} ms; {server} began to work on it at {ran_ms} ms",
            answer.status, answer.at_ms
        ));
    }
    println!("{}", findings.join("\n"));
    record.write(path, &findings);
    if served < 500 {
        return Verdict::NotPlayed("too few orders were served".to_owned());
    }
    if broken.is_empty() { Verdict::Held } else { Verdict::Broken }
}
