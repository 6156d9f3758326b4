//! A small deployment: a store, upstreams, entries.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::entry::{Entry, Ports, Terms};
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Runs, Upstream};

pub const HOST: &str = "shop.example";
/// Time that an entry may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// A route of the manifest.
pub struct RouteSpec {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub target_latency_ms: u64,
}

/// Returns a manifest; the prefix of each route is its name between slashes.
pub fn manifest(version: u32, routes: &[RouteSpec], services: &[&str], connections: u32) -> String {
    let mut resources: Vec<String> = routes
        .iter()
        .map(|route| {
            let RouteSpec { name, kind, service, timeout_ms, target_latency_ms } = route;
            format!(
                "{{\"type\":\"routes\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\"host\":\"{HOST}\",\
                 \"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\
                 \"target_latency_ms\":{target_latency_ms},\"priority\":1,\"service\":\"{service}\",\
                 \"max_attempts\":2}}}}"
            )
        })
        .collect();
    resources.extend(services.iter().map(|name| {
        format!(
            "{{\"type\":\"services\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\
             \"health_path\":\"/health\",\"max_connections\":{connections},\"protocol\":\"h1\",\"tls\":false}}}}"
        )
    }));
    resources.push(
        "{\"type\":\"limits\",\"metadata\":{\"name\":\"limits\"},\"spec\":{\"max_header_bytes\":16384,\
         \"max_body_bytes\":1000000,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
            .to_owned(),
    );
    format!("{{\"version\":\"r{version}\",\"resources\":[{}]}}", resources.join(","))
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Store,
    pub runs: Runs,
    pub upstreams: Vec<Arc<Upstream>>,
    pub entries: Vec<Entry>,
    folder: PathBuf,
}

impl Deployment {
    /// Starts the store. The logs of the entries are written to a temporary folder.
    pub fn new(record: Arc<Record>) -> Self {
        let folder =
            std::env::temp_dir().join(format!("shallotfork-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let store = Store::start(&record);
        Self {
            record,
            store,
            runs: Runs::default(),
            upstreams: Vec::new(),
            entries: Vec::new(),
            folder,
        }
    }

    pub fn add_upstreams(&mut self, service: &str, count: usize, slots: usize) {
        for number in 0..count {
            let name = format!("i-{service}-{number}");
            let upstream = Upstream::start(&name, service, slots, &self.runs, &self.record);
            self.store.put(&format!("servers/{name}"), &upstream.entry("zone-a", "ready", 1));
            self.upstreams.push(upstream);
        }
    }

    /// Starts entries, the first three of which are the seeds, and waits until all are ready.
    pub fn start_entries(&mut self, count: usize, terms: &Terms) {
        let ports: Vec<Ports> = (0..count).map(Ports::choose).collect();
        let seeds: Vec<_> = ports.iter().take(3).map(|ports| ports.control).collect();
        for (number, ports) in ports.into_iter().enumerate() {
            let name = format!("edge-zone-a-{}", number + 1);
            let entry = Entry::start(
                &name,
                "zone-a",
                ports,
                self.store.address,
                &seeds,
                terms,
                &self.folder,
            );
            self.record.write(&format!("entry {name} pid {} front {}", entry.pid(), ports.front));
            self.entries.push(entry);
        }
        for entry in &self.entries {
            if !entry.wait_ready(READY_LIMIT) {
                self.record.say(&format!("entry {} did not become ready", entry.name));
                std::process::exit(2);
            }
        }
        self.record.write("all entries are ready");
    }
}

impl Deployment {
    /// Waits for longer than `stable_window_ms`, so that all machines are in touch.
    pub fn stay_calm(&self) {
        thread::sleep(Duration::from_millis(3500));
    }

    /// Sends a signal to an entry; returns the time.
    pub fn stop_entry(&self, index: usize, signal: i32) -> u64 {
        let entry = &self.entries[index];
        self.record.write(&format!("SIGTERM to {}", entry.name));
        entry.signal(signal);
        self.record.now_ms()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
