//! Uploads that are broken off during a planned stop, while their server is at work on them.
//!
//! The servers begin to work on an upload at once and read its body only later, as slow readers do.
//! They answer well before the client's time limit, the route's timeout and the end of the grace.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Client, Request};
use crate::record::Record;
use crate::server::{Server, ServerConfig};
use crate::setup::{Folder, HOST, RouteSpec, ZONES, ip, manifest, start_nodes};
use crate::store::Store;

const NODES: usize = 3;
const SERVERS: usize = 6;
const CLIENTS: usize = 6;
/// Size of an upload; the site's uploads have up to 360,000 bytes.
const UPLOAD_BYTES: usize = 300_000;
/// Time from the head of an upload until a server reads its body.
const LATE: Duration = Duration::from_millis(2800);
/// Time from the sending of the uploads to the SIGTERM.
const BEFORE_STOP: Duration = Duration::from_millis(300);
const TIME_LIMIT: Duration = Duration::from_millis(4000);

pub fn play(path: &Path, has_trouble: bool) -> Verdict {
    let record = Arc::new(Record::new());
    let folder = Folder::new();
    let store = Store::start(&ip(100));
    let routes = [RouteSpec {
        name: "uploads",
        prefix: "/uploads/",
        kind: "upload",
        service: "grower-portal",
        timeout_ms: 4000,
        target_latency_ms: 600,
        max_attempts: 2,
    }];
    store.put("op/config", &manifest(7, &routes, &["grower-portal"]));
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|number| {
            let config = ServerConfig {
                id: format!("i-{number}f3a91c2"),
                service: "grower-portal".to_owned(),
                zone: ZONES[number % ZONES.len()].to_owned(),
                slots: 2,
                queue: 4,
                // Without the disturbance the servers take as long, but read at once.
                work: LATE,
                health: Duration::from_millis(6),
            };
            Server::start(config, &ip(101 + number), 1 + number as u64, &record)
        })
        .collect();
    for server in &servers {
        server.late_ms.store(LATE.as_millis() as u64, Ordering::Relaxed);
        server.reads_late.store(has_trouble, Ordering::Relaxed);
        store.put(&format!("servers/{}", server.config.id), &server.item("ready"));
    }
    let nodes = match start_nodes(NODES, &folder.0, &store) {
        Ok(nodes) => nodes,
        Err(reason) => return Verdict::NotPlayed(reason),
    };
    thread::sleep(Duration::from_secs(4));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (front, record) = (nodes[0].front.clone(), Arc::clone(&record));
            thread::spawn(move || send_upload(number, &front, &record))
        })
        .collect();
    thread::sleep(BEFORE_STOP);
    record.note(&format!("SIGTERM to {}, which has 6 s", nodes[0].name));
    let stopped_ms = record.now_ms();
    nodes[0].signal("TERM");
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(2));
    drop(nodes);
    conclude(&record, stopped_ms, path, has_trouble)
}

fn send_upload(client: usize, front: &str, record: &Record) {
    let id = format!("upload-{client}");
    let path = format!("/uploads/{id}");
    let body = "x".repeat(UPLOAD_BYTES);
    let request = Request {
        method: "POST",
        host: HOST,
        path: &path,
        id: &id,
        deadline: TIME_LIMIT,
        body: &body,
    };
    record.note(&format!("client sends {id}, {UPLOAD_BYTES} bytes, and waits for {TIME_LIMIT:?}"));
    Client::new(front).send(&request, record);
}

fn conclude(record: &Record, stopped_ms: u128, path: &Path, has_trouble: bool) -> Verdict {
    let (answers, runs) = (record.answers(), record.runs());
    let served = answers.values().filter(|answer| answer.status == 200 && answer.signed).count();
    // Broken off after the SIGTERM, while the server was at work, before the time limit and before the
    // last sixth of the grace.
    let lost: Vec<String> = (0..CLIENTS)
        .map(|number| format!("upload-{number}"))
        .filter(|id| {
            let has_run = runs.contains_key(id);
            let answer = answers.get(id);
            has_run
                && answer.is_none_or(|answer| !answer.signed && answer.at_ms < stopped_ms + 3500)
        })
        .collect();
    let mut findings = vec![
        format!("servers read late: {}", if has_trouble { "yes" } else { "no" }),
        format!("uploads: {CLIENTS}, at work at a server: {}, stored: {served}", runs.len()),
        format!(
            "LOST: uploads broken off during the planned stop, their server at work: {}",
            lost.len()
        ),
    ];
    for id in &lost {
        let (server, ran_ms) = &runs[id][0];
        let end = answers.get(id).map_or("the connection ended".to_owned(), |answer| {
            format!("answered {} by the entry itself at {} ms", answer.status, answer.at_ms)
        });
        findings.push(format!(
            "  {id}: {server} at work from {ran_ms} ms; SIGTERM at {stopped_ms} ms; {end}"
        ));
    }
    println!("{}", findings.join("\n"));
    record.write(path, &findings);
    if runs.len() < CLIENTS {
        return Verdict::NotPlayed("not all uploads reached a server".to_owned());
    }
    if lost.is_empty() { Verdict::Held } else { Verdict::Broken }
}
