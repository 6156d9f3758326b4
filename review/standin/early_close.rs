//! An entry is stopped while callers read large answers slowly and send their next requests.

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

const CALLERS: usize = 4;
const DEADLINE_MS: u64 = 12_000;
/// More than the caller's kernel takes unread, and less than the entry's kernel takes to send.
const ANSWER_BYTES: usize = 300_000;
/// Time from the large request to the next one; the caller reads nothing meanwhile.
const NEXT_AFTER: Duration = Duration::from_millis(700);
/// Time from the next request until the caller reads.
const READ_AFTER: Duration = Duration::from_millis(200);
/// Time from the large requests to SIGTERM; they are at upstreams then.
const STOP_AFTER: Duration = Duration::from_millis(100);

pub fn play(record: Arc<Record>, with_trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(Arc::clone(&record));
    let route = |name, kind| RouteSpec {
        name,
        kind,
        service: "archive",
        timeout_ms: 6000,
        target_latency_ms: 2000,
    };
    deployment.add_upstreams("archive", 6, 6);
    let routes = [route("bundles", "download"), route("terms", "safe")];
    deployment.store.put("op/config", &manifest(4, &routes, &["archive"], 1792));
    deployment.start_entries(3, &Terms::default());
    deployment.stay_calm();
    let front = deployment.entries[0].ports.front;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let record = Arc::clone(&record);
            thread::spawn(move || call(front, number, &record))
        })
        .collect();
    thread::sleep(STOP_AFTER);
    let stopped_ms = with_trouble.then(|| deployment.stop_entry(0, SIGTERM));
    let outcomes: Vec<Outcome> =
        callers.into_iter().filter_map(|caller| caller.join().ok()?).collect();
    if outcomes.len() != CALLERS {
        return Verdict::NotRun;
    }
    if count_lost(&deployment, &outcomes, stopped_ms) > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Requests a large answer, is busy for a while, sends the next request on the connection and then reads.
/// Returns the outcome of the large request.
fn call(front: SocketAddr, number: usize, record: &Record) -> Option<Outcome> {
    let (large, next) = (format!("c{number}-large"), format!("c{number}-next"));
    let mut client = Client::connect(front, DEADLINE_MS, record).ok()?;
    let sent_ms = record.now_ms();
    client.send(&format!("/bundles/size-{ANSWER_BYTES}/{large}/400"), &large).ok()?;
    thread::sleep(NEXT_AFTER);
    // Fails if the entry has reset the connection.
    let _ = client.send(&format!("/terms/{next}/20"), &next);
    thread::sleep(READ_AFTER);
    let is_complete = client.read_answer(&large).is_some();
    let ended_ms = record.now_ms();
    if is_complete {
        // Not judged: a request that crosses the entry's close need not be answered.
        let _ = client.read_answer(&next);
    }
    Some(Outcome { id: large, sent_ms, ended_ms, is_complete })
}
