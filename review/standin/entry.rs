//! Starts and signals entry processes, with settings as the platform writes them.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Connection;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, unused_3: u64, unused_4: u64, unused_5: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/shallotfork-node";

/// Addresses of an entry, all on free loopback ports.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub directory: SocketAddr,
    pub metrics: SocketAddr,
}

impl Ports {
    /// Chooses free ports of the loopback address with this number, so that runs beside each other do
    /// not choose the same ones.
    pub fn choose(number: usize) -> Self {
        let pid = std::process::id();
        let ip = format!("127.{}.{}.{}", pid / 250 % 250 + 2, pid % 250 + 1, number + 1);
        let bind =
            |_| TcpListener::bind(format!("{ip}:0")).expect("a loopback address can be bound");
        let listeners: Vec<TcpListener> = (0..5).map(bind).collect();
        let address = |index: usize| listeners[index].local_addr().expect("it is bound");
        Self {
            front: address(0),
            ready: address(1),
            control: address(2),
            directory: address(3),
            metrics: address(4),
        }
    }
}

/// What distinguishes a deployment.
#[derive(Debug, Clone)]
pub struct Terms {
    pub grace_s: u64,
    pub drain_ms: u64,
    pub config_apply_ms: u64,
    pub retry_budget_slack: u64,
    pub cpu_share: f64,
    pub memory_mb: u64,
    pub max_fds: u64,
    pub link_mbps: f64,
}

impl Default for Terms {
    /// The figures of `demands/tmtb-gateway-grown.toml`; the machine is a large one there.
    fn default() -> Self {
        Self {
            grace_s: 6,
            drain_ms: 2500,
            config_apply_ms: 2500,
            retry_budget_slack: 333,
            cpu_share: 0.5,
            memory_mb: 512,
            max_fds: 8192,
            link_mbps: 200.0,
        }
    }
}

impl Terms {
    /// Returns the terms with the figures of the smallest machine.
    pub fn with_smallest_machine(self) -> Self {
        Self { cpu_share: 0.07, memory_mb: 112, max_fds: 2870, link_mbps: 10.0, ..self }
    }
}

/// An entry process, which is killed when dropped.
pub struct Entry {
    pub name: String,
    pub ports: Ports,
    settings: PathBuf,
    child: Child,
}

impl Entry {
    pub fn start(
        name: &str,
        zone: &str,
        ports: Ports,
        store: SocketAddr,
        seeds: &[SocketAddr],
        terms: &Terms,
        folder: &Path,
    ) -> Self {
        let settings = folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, settings_text(name, zone, &ports, store, seeds, terms)).unwrap();
        let log = File::create(folder.join(format!("{name}.log"))).unwrap();
        let mut command = Command::new(PROGRAM);
        // The entry ends with the thread that plays the case, also if this process is killed.
        // SAFETY: prctl is async-signal-safe.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = command
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("SHALLOTFORK_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| {
                eprintln!("{PROGRAM} cannot be started: {error}");
                std::process::exit(2)
            });
        Self { name: name.to_owned(), ports, settings, child }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to this process, which is a child that has not been waited for.
    pub fn signal(&self, signal: i32) {
        // SAFETY: kill has no preconditions.
        unsafe { kill(self.pid() as i32, signal) };
    }

    pub fn is_ready(&self) -> bool {
        get(self.ports.ready, "/-/readiness").is_some_and(|(status, _)| status == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Sends one GET request; returns the status and the body.
pub fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let timeout = Duration::from_millis(1000);
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut connection = Connection::new(stream);
    let request = format!("GET {path} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n");
    connection.write(request.as_bytes()).ok()?;
    let head = connection.read_head().ok()??;
    let body = connection.read_body(&head).ok()?;
    Some((head.status(), String::from_utf8_lossy(&body).into_owned()))
}

fn settings_text(
    name: &str,
    zone: &str,
    ports: &Ports,
    store: SocketAddr,
    seeds: &[SocketAddr],
    terms: &Terms,
) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\n    - \"{seed}\"")).collect();
    let Terms {
        grace_s,
        drain_ms,
        config_apply_ms,
        retry_budget_slack,
        cpu_share,
        memory_mb,
        max_fds,
        link_mbps,
    } = terms;
    format!(
        r#"self:
  node: "{name}"
  role: "entry"
  machine_class: "edge"
  serves:
    - "edge"
    - "control_plane"
    - "directory"
  ip: "{ip}"
  zone: "{zone}"
  region: "area"
  counts_as_loss: false
  bootstrap: true
  data_dir: null
  limits:
    cpu_share: {cpu_share}
    cores: 1
    memory_mb: {memory_mb}
    max_fds: {max_fds}
    link_mbps: {link_mbps:.1}
    disk_mb: 0
network:
  listen:
    front: "{front}"
    ready: "{ready}"
    control: "{control}"
    directory: "{directory}"
  internal_port_range:
    - {metrics}
    - {metrics}
  seeds:{seeds}
  zones:
    zone-a: "area"
    zone-b: "area"
    zone-c: "area"
platform:
  discovery: "platform"
  entry: "directory"
  heartbeat_ms: 1500
  platform:
    address: "{store}"
    form: "read"
    writes_per_s: 400
    reads_per_s: 2000
    history_s: 20
    value_bytes: 1048576
    ttl_min_ms: 1000
terms:
  contracts:
    - "base"
    - "drain"
    - "config"
    - "cost"
    - "retry"
    - "recover"
    - "health"
    - "platform"
  tolerate:
    machines: 1
    zones: 0
    regions: 0
  bounds:
    seed_lag_s: 3
    reuse_after_s: 2
    stable_window_ms: 3000
    ack_ms: 5000
    catch_up_s: 6
    drain_ms: {drain_ms}
    grace_s: {grace_s}
    loss_slack_ms: 200
    config_apply_ms: {config_apply_ms}
    rollback_slack_ms: 250
    max_stretch_ms: 5000
    retry_budget_ratio: 0.2
    budget_window_s: 10
    retry_budget_slack: {retry_budget_slack}
    recover_s: 15
    ttl_max_s: 5
    probes_per_s: 42
"#,
        ip = ports.front.ip(),
        front = ports.front,
        ready = ports.ready,
        control = ports.control,
        directory = ports.directory,
        metrics = ports.metrics.port(),
        seeds = seeds.concat(),
    )
}
