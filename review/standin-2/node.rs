//! Entry processes, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::get;

/// The command of `deploy/system.toml`, relative to the root of the repository.
const PROGRAM: &str = "target/release/shallotfork-node";

/// Ids of the processes that this one has started and not ended yet.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the processes that are still running.
pub fn end_all() {
    for pid in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
}

pub struct Node {
    child: Child,
    pub name: String,
    pub front: String,
    pub ready: String,
}

/// Ports and settings of a node before it is started.
pub struct NodePlan {
    pub name: String,
    pub zone: String,
    pub ip: String,
    front: String,
    ready: String,
    pub control: String,
    directory: String,
    metrics: u16,
}

impl NodePlan {
    pub fn new(name: &str, zone: &str, ip: &str) -> Self {
        // All are bound at the same time, so that they differ.
        let listeners: Vec<TcpListener> =
            (0..5).map(|_| TcpListener::bind((ip, 0)).expect("a free port")).collect();
        let address = |index: usize| listeners[index].local_addr().unwrap();
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            ip: ip.to_owned(),
            front: address(0).to_string(),
            ready: address(1).to_string(),
            control: address(2).to_string(),
            directory: address(3).to_string(),
            metrics: address(4).port(),
        }
    }

    fn settings(&self, store: &str, seeds: &[String]) -> String {
        let Self { name, zone, ip, front, ready, control, directory, metrics } = self;
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("    - \"{seed}\"")).collect();
        let seeds = seeds.join("\n");
        let last = metrics.saturating_add(15);
        format!(
            r#"self:
  node: "{name}"
  role: "entry"
  machine_class: "edge"
  serves: ["edge", "control_plane", "directory"]
  ip: "{ip}"
  zone: "{zone}"
  region: "goldfields"
  counts_as_loss: false
  bootstrap: true
  data_dir: null
  limits: {{ cpu_share: 0.2, cores: 1, memory_mb: 260, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0 }}
network:
  listen:
    front: "{front}"
    ready: "{ready}"
    control: "{control}"
    directory: "{directory}"
  internal_port_range: [{metrics}, {last}]
  seeds:
{seeds}
  zones:
    kal-hall: "goldfields"
    boulder-hall: "goldfields"
    coolgardie-hall: "goldfields"
platform:
  discovery: "platform"
  entry: "directory"
  heartbeat_ms: 1500
  platform: {{ address: "{store}", form: "read", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000 }}
terms:
  contracts: ["base", "drain", "config", "cost", "retry", "recover", "health", "platform"]
  tolerate: {{ machines: 1, zones: 0, regions: 0 }}
  bounds: {{ seed_lag_s: 3, reuse_after_s: 2, stable_window_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_budget_slack: 58, recover_s: 15, ttl_max_s: 5, probes_per_s: 60 }}
"#
        )
    }

    /// Starts the process. Its settings and its log lie in `folder`.
    pub fn start(&self, folder: &Path, store: &str, seeds: &[String]) -> Node {
        let settings: PathBuf = folder.join(format!("{}.yaml", self.name));
        fs::write(&settings, self.settings(store, seeds)).expect("the settings file");
        let log = File::create(folder.join(format!("{}.log", self.name))).expect("the log file");
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("SHALLOTFORK_SETTINGS", &settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command.stdin(Stdio::null()).stdout(log).stderr(Stdio::inherit()).spawn();
        let child = child.expect("the entry process; build it first");
        RUNNING.lock().unwrap().push(child.id());
        Node {
            child,
            name: self.name.clone(),
            front: self.front.clone(),
            ready: self.ready.clone(),
        }
    }
}

impl Node {
    pub fn is_ready(&self) -> bool {
        get(&self.ready, "/-/readiness").is_some_and(|answer| answer.status() == 200)
    }

    /// Waits until the node is ready; `false` if that takes too long.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal, by its name, to this process alone.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &pid]).status();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|pid| *pid != self.child.id());
    }
}
