//! Orders that go on to servers which have left, until these exit with orders in progress.
//!
//! The store cuts each watch that waits. It is up, and answers every other call at once.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Client, Request};
use crate::record::Record;
use crate::server::{Server, ServerConfig, random};
use crate::setup::{Folder, HOST, RouteSpec, ZONES, ip, manifest, start_nodes};
use crate::store::Store;

const NODES: usize = 5;
const SERVERS: usize = 7;
/// Servers that leave without having reported that they drain, one after the other.
const LEAVING: usize = 2;
/// Time that a watch waits before the store cuts it.
const CUT_AFTER_MS: u64 = 100;
const BEFORE_LEAVING: Duration = Duration::from_secs(12);
const BETWEEN: Duration = Duration::from_secs(3);
/// Time from the removal of a server's entry to its exit.
const SERVES_ON: Duration = Duration::from_secs(7);
const CLIENTS: usize = 18;
/// Mean time between two orders of a client: about 50 orders a second in all.
const THINK_MS: u64 = 150;
const DRAIN_MS: u128 = 2000;

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
    if has_trouble {
        store.cut_watches_after(CUT_AFTER_MS);
    }
    let nodes = match start_nodes(NODES, &folder.0, &store) {
        Ok(nodes) => nodes,
        Err(reason) => return Verdict::NotPlayed(reason),
    };
    let ends = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = nodes[number % nodes.len()].front.clone();
            let (record, ends) = (Arc::clone(&record), Arc::clone(&ends));
            thread::spawn(move || send_orders(number, &front, &record, &ends))
        })
        .collect();
    thread::sleep(BEFORE_LEAVING);
    let leavers: Vec<_> = servers[..LEAVING]
        .iter()
        .map(|server| {
            let left = leave(server, &store, &record);
            thread::sleep(BETWEEN);
            left
        })
        .collect();
    let removed_ms: Vec<u128> = leavers.into_iter().map(|left| left.join().unwrap_or(0)).collect();
    thread::sleep(Duration::from_secs(2));
    ends.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(nodes);
    let leaving: Vec<(&str, u128)> =
        servers.iter().map(|server| server.config.id.as_str()).zip(removed_ms).collect();
    conclude(&record, &leaving, store.cuts(), path, has_trouble)
}

fn start_server(number: usize, record: &Arc<Record>) -> Arc<Server> {
    let config = ServerConfig {
        id: format!("i-{number}f3a91c2"),
        service: "order-desk".to_owned(),
        zone: ZONES[number % ZONES.len()].to_owned(),
        slots: 2,
        queue: 4,
        work: Duration::from_millis(200),
        health: Duration::from_millis(6),
    };
    Server::start(config, &ip(101 + number), 1 + number as u64, record)
}

/// Removes a server's entry; the server serves on for a time and then exits. Returns the time of the
/// removal.
fn leave(server: &Arc<Server>, store: &Store, record: &Arc<Record>) -> thread::JoinHandle<u128> {
    let id = server.config.id.clone();
    store.remove(&format!("servers/{id}"));
    let removed_ms = record.now_ms();
    record.note(&format!("the store has removed the entry of server {id}, which serves on"));
    let (server, record) = (Arc::clone(server), Arc::clone(record));
    thread::spawn(move || {
        thread::sleep(SERVES_ON);
        record.note(&format!("server {id} exits"));
        server.exit();
        removed_ms
    })
}

fn send_orders(client: usize, front: &str, record: &Record, ends: &AtomicBool) {
    let state = AtomicU64::new(0x51ed_270b + client as u64 * 104_729);
    let mut connection = Client::new(front);
    let mut number = 0;
    while !ends.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(THINK_MS / 2 + random(&state) % THINK_MS));
        number += 1;
        let id = format!("order-{client}-{number}");
        let path = format!("/orders/{id}");
        let deadline = Duration::from_millis(4000);
        let request =
            Request { method: "POST", host: HOST, path: &path, id: &id, deadline, body: &id };
        connection.send(&request, record);
    }
}

fn conclude(
    record: &Record,
    leaving: &[(&str, u128)],
    cuts: u64,
    path: &Path,
    has_trouble: bool,
) -> Verdict {
    let (answers, runs) = (record.answers(), record.runs());
    let served = answers.values().filter(|answer| answer.status == 200 && answer.signed).count();
    let mut findings = vec![
        format!("watches are cut: {}, {cuts} of them", if has_trouble { "yes" } else { "no" }),
        format!("orders answered: {}, with success: {served}", answers.len()),
    ];
    let mut late_count = 0;
    for (server, removed_ms) in leaving {
        let late: Vec<(&String, u128)> = runs
            .iter()
            .flat_map(|(id, runs)| runs.iter().map(move |run| (id, run)))
            .filter(|(_, (at, at_ms))| at == server && *at_ms > removed_ms + DRAIN_MS)
            .map(|(id, (_, at_ms))| (id, at_ms - removed_ms))
            .collect();
        let lost: Vec<&str> = late
            .iter()
            .filter(|(id, _)| !answers.get(*id).is_some_and(|answer| answer.signed))
            .map(|(id, _)| id.as_str())
            .collect();
        late_count += late.len();
        findings.push(format!(
            "DRAIN: orders that reached {server} later than {DRAIN_MS} ms after its removal: {}, the last {} ms after",
            late.len(),
            late.iter().map(|(_, after_ms)| *after_ms).max().unwrap_or(0)
        ));
        findings.push(format!("  of them lost at its exit: {} {}", lost.len(), lost.join(" ")));
    }
    println!("{}", findings.join("\n"));
    record.write(path, &findings);
    if served < 500 || has_trouble && cuts == 0 {
        return Verdict::NotPlayed("too few orders were served".to_owned());
    }
    if late_count == 0 { Verdict::Held } else { Verdict::Broken }
}
