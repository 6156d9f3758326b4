//! Stand-in of an upstream, with the faults that a case switches on.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Connection, Message, answer};
use crate::record::Record;

#[derive(Debug, Clone)]
pub struct ServerConfig {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    /// Requests that wait for a slot at most.
    pub queue: u32,
    pub work: Duration,
    /// Time that an answer of the health path takes.
    pub health: Duration,
}

#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
}

pub struct Server {
    pub config: ServerConfig,
    pub address: String,
    load: Mutex<Load>,
    slot_freed: Condvar,
    record: Arc<Record>,
    /// Whether the health path says that the server is ill, though it is well.
    pub says_ill: AtomicBool,
    /// Answers out of a thousand that are followed by a copy, where the next answer is due.
    pub copied_permille: AtomicU64,
    random: AtomicU64,
    pub copies: AtomicU64,
    /// Whether long requests are read late, by `late_ms`.
    pub reads_late: AtomicBool,
    pub late_ms: AtomicU64,
}

impl Server {
    pub fn start(config: ServerConfig, ip: &str, seed: u64, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a server's port");
        let server = Arc::new(Self {
            address: listener.local_addr().expect("a server's address").to_string(),
            config,
            load: Mutex::default(),
            slot_freed: Condvar::new(),
            record: Arc::clone(record),
            says_ill: AtomicBool::new(false),
            copied_permille: AtomicU64::new(0),
            random: AtomicU64::new(seed | 1),
            copies: AtomicU64::new(0),
            reads_late: AtomicBool::new(false),
            late_ms: AtomicU64::new(0),
        });
        let served = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&served);
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Text of the server's entry in the store.
    pub fn item(&self, state: &str) -> String {
        let ServerConfig { service, zone, slots, .. } = &self.config;
        format!(
            r#"{{"address":"{}","info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{slots}}},"status":{{"state":"{state}","sequence":1,"cold_remaining_ms":0}}}}"#,
            self.address
        )
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        let mut late_copy: Option<Vec<u8>> = None;
        while let Ok(Some(mut request)) = connection.read_head() {
            let is_long = request.header("content-length").is_some_and(|length| length.len() > 5);
            let is_slow = is_long && self.reads_late.load(Ordering::Relaxed);
            if is_slow {
                if let Err(error) = self.serve_slowly(&mut connection, &mut request) {
                    let id = request.header("x-request-id").unwrap_or_default();
                    let line =
                        format!("server {}: connection of {id} ends: {error}", self.config.id);
                    self.record.note(&line);
                    return;
                }
                continue;
            }
            if connection.read_body(&mut request).is_err() {
                return;
            }
            if let Some(copy) = late_copy.take() {
                self.copies.fetch_add(1, Ordering::Relaxed);
                let first = String::from_utf8_lossy(&copy);
                let first = first.split("\r\n").next().unwrap_or_default().to_owned();
                let line = format!(
                    "server {} sends a late second copy of its previous answer ({first}) on the connection of {}",
                    self.config.id,
                    request.header("x-request-id").unwrap_or(request.target())
                );
                self.record.note(&line);
                if connection.write(&copy).is_err() {
                    return;
                }
            }
            let bytes = self.answer(&request);
            if connection.write(&bytes).is_err() {
                return;
            }
            if self.draw(1000) < self.copied_permille.load(Ordering::Relaxed) {
                late_copy = Some(bytes);
            }
        }
    }

    /// Begins to work on a long request at once, reads its body only later, and answers.
    fn serve_slowly(&self, connection: &mut Connection, request: &mut Message) -> io::Result<()> {
        let request_id = request.header("x-request-id").unwrap_or_default().to_owned();
        let id = self.config.id.as_str();
        self.record.run(&request_id, id);
        thread::sleep(Duration::from_millis(self.late_ms.load(Ordering::Relaxed)));
        connection.read_body(request)?;
        self.record.note(&format!("server {id} has read {request_id} and answers"));
        let signature = format!("{id}.{request_id}");
        let headers = [("X-Request-Id", request_id.as_str()), ("X-Upstream-Signature", &signature)];
        connection.write(&answer("200 OK", &headers, b"stored"))
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let id = self.config.id.as_str();
        if request.path() == "/health" {
            thread::sleep(self.config.health);
            let is_ill = self.says_ill.load(Ordering::Relaxed);
            let status = if is_ill { "503 Service Unavailable" } else { "200 OK" };
            let load = self.load_text();
            return answer(status, &[("X-Instance-Id", id), ("X-Upstream-Load", &load)], b"");
        }
        let Some(request_id) = request.header("x-request-id") else {
            return answer("400 Bad Request", &[("X-Not-Executed", "1")], b"");
        };
        let echo = ("X-Request-Id", request_id);
        if request.header("x-expected-instance").is_some_and(|expected| expected != id) {
            return answer("421 Misdirected Request", &[echo, ("X-Instance-Id", id)], b"");
        }
        if !self.acquire() {
            let load = self.load_text();
            let headers = [echo, ("X-Not-Executed", "1"), ("X-Upstream-Load", load.as_str())];
            return answer("503 Service Unavailable", &headers, b"");
        }
        self.record.run(request_id, id);
        thread::sleep(self.config.work);
        let load = self.load_text();
        self.release();
        let signature = format!("{id}.{request_id}");
        let headers =
            [echo, ("X-Upstream-Signature", &signature), ("X-Upstream-Load", load.as_str())];
        answer("200 OK", &headers, format!("done {request_id}").as_bytes())
    }

    fn load_text(&self) -> String {
        let load = self.load.lock().unwrap();
        format!("{},{},{},100", load.running, load.waiting, self.config.slots)
    }

    fn acquire(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running >= self.config.slots {
            if load.waiting >= self.config.queue {
                return false;
            }
            load.waiting += 1;
            load =
                self.slot_freed.wait_while(load, |load| load.running >= self.config.slots).unwrap();
            load.waiting -= 1;
        }
        load.running += 1;
        true
    }

    fn release(&self) {
        self.load.lock().unwrap().running -= 1;
        self.slot_freed.notify_one();
    }

    fn draw(&self, below: u64) -> u64 {
        random(&self.random) % below
    }
}

/// Returns the next number of a xorshift generator.
pub fn random(state: &AtomicU64) -> u64 {
    let next = |mut value: u64| {
        value ^= value << 13;
        value ^= value >> 7;
        value ^= value << 17;
        value
    };
    let update =
        state.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |value| Some(next(value)));
    next(update.unwrap_or(1)) >> 11
}
