//! An entry with a narrow link is stopped while callers download.

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

const CALLERS: usize = 18;
const DEADLINE_MS: u64 = 12_000;
const ANSWER_BYTES: usize = 480_000;
/// Time between two callers.
const GAP: Duration = Duration::from_millis(20);

pub fn play(record: Arc<Record>, with_trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(Arc::clone(&record));
    let route = RouteSpec {
        name: "bundles",
        kind: "download",
        service: "archive",
        timeout_ms: 12_000,
        target_latency_ms: 2000,
    };
    deployment.add_upstreams("archive", 6, 6);
    deployment.store.put("op/config", &manifest(4, &[route], &["archive"], 1792));
    deployment.start_entries(3, &Terms::default().with_smallest_machine());
    deployment.stay_calm();
    let front = deployment.entries[0].ports.front;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let record = Arc::clone(&record);
            thread::sleep(GAP);
            thread::spawn(move || call(front, number, &record))
        })
        .collect();
    let stopped_ms = with_trouble.then(|| deployment.stop_entry(0, SIGTERM));
    let outcomes: Vec<Outcome> =
        callers.into_iter().filter_map(|caller| caller.join().ok()?).collect();
    if outcomes.len() != CALLERS {
        return Verdict::NotRun;
    }
    if count_lost(&deployment, &outcomes, stopped_ms) > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Downloads once and reads as fast as the bytes arrive.
fn call(front: SocketAddr, number: usize, record: &Record) -> Option<Outcome> {
    let id = format!("d{number}");
    let mut client = Client::connect(front, DEADLINE_MS, record).ok()?;
    let sent_ms = record.now_ms();
    client.send(&format!("/bundles/size-{ANSWER_BYTES}/{id}/400"), &id).ok()?;
    let is_complete = client.read_answer(&id).is_some();
    Some(Outcome { id, sent_ms, ended_ms: record.now_ms(), is_complete })
}
