//! Stand-in of an upstream (PROTOCOL.md, "Upstreams").

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Head};
use crate::record::Record;

/// Requests that wait for a slot at most.
const QUEUE: usize = 12;
/// Interval of the checks whether the caller of a running request has left.
const CHECK: Duration = Duration::from_millis(10);

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub begun_ms: u64,
    /// End of the work; `None` while it runs, or if its connection was closed before.
    pub ended_ms: Option<u64>,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Debug, Default)]
struct Load {
    running: usize,
    waiting: usize,
}

pub struct Upstream {
    pub name: String,
    pub service: String,
    pub slots: usize,
    pub address: SocketAddr,
    load: Mutex<Load>,
    runs: Runs,
    record: Arc<Record>,
}

impl Upstream {
    pub fn start(
        name: &str,
        service: &str,
        slots: usize,
        runs: &Runs,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let upstream = Arc::new(Self {
            name: name.to_owned(),
            service: service.to_owned(),
            slots,
            address: listener.local_addr().unwrap(),
            load: Mutex::default(),
            runs: Arc::clone(runs),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&upstream);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = Arc::clone(&served);
                thread::spawn(move || upstream.serve(Connection::new(stream)));
            }
        });
        upstream
    }

    /// Returns the entry of the upstream in the store.
    pub fn entry(&self, zone: &str, state: &str, sequence: u64) -> String {
        format!(
            "{{\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{}}},\
             \"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\"cold_remaining_ms\":0}},\"born\":1764800000000}}",
            self.address, self.service, self.slots
        )
    }

    fn serve(&self, mut connection: Connection) {
        let _ = connection.stream.set_nodelay(true);
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(body) = connection.read_body(&head) else { return };
            let answer = self.answer(&head, &body, &connection);
            let Some(answer) = answer else { return };
            if connection.write(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn load_header(&self) -> String {
        let load = self.load.lock().unwrap();
        format!("X-Upstream-Load: {},{},{},100\r\n", load.running, load.waiting, self.slots)
    }

    /// Returns the answer to a request; `None` if the caller has left.
    fn answer(&self, head: &Head, body: &[u8], connection: &Connection) -> Option<String> {
        let path = head.start.split(' ').nth(1).unwrap_or_default();
        if path == "/health" {
            let fields = format!("X-Instance-Id: {}\r\n{}", self.name, self.load_header());
            return Some(message("200 OK", &fields, ""));
        }
        let id = head.get("x-request-id").unwrap_or_default().to_owned();
        let echoed = format!("X-Request-Id: {id}\r\n");
        if head.get("x-expected-instance").is_some_and(|expected| expected != self.name) {
            let fields = format!("{echoed}X-Instance-Id: {}\r\n", self.name);
            return Some(message("421 Misdirected Request", &fields, ""));
        }
        let deadline_ms =
            head.get("x-deadline-ms").and_then(|text| text.parse().ok()).unwrap_or(10_000);
        let deadline = Instant::now() + Duration::from_millis(deadline_ms);
        if !self.wait_for_slot(deadline, connection) {
            let fields = format!("{echoed}X-Not-Executed: 1\r\n{}", self.load_header());
            return Some(message("503 Service Unavailable", &fields, ""));
        }
        let begun_ms = self.record.now_ms();
        self.record.write(&format!("upstream {} begins {id} ({})", self.name, head.start));
        let index = {
            let mut runs = self.runs.lock().unwrap();
            let run = Run { id: id.clone(), begun_ms, ended_ms: None };
            runs.push(run);
            runs.len() - 1
        };
        let work_end = Instant::now() + work_time(path);
        let mut has_left = false;
        while Instant::now() < work_end && !has_left {
            thread::sleep(CHECK.min(work_end.saturating_duration_since(Instant::now())));
            has_left = connection.is_closed();
        }
        self.load.lock().unwrap().running -= 1;
        if has_left {
            self.record
                .write(&format!("upstream {} drops {id}: its connection was closed", self.name));
            return None;
        }
        self.runs.lock().unwrap()[index].ended_ms = Some(self.record.now_ms());
        self.record.write(&format!("upstream {} has run {id}", self.name));
        let answer_body =
            answer_body(path, &format!("{} answers {id}, body of {} bytes", self.name, body.len()));
        let fields = format!(
            "{echoed}X-Upstream-Signature: 3e1b.07.{id}\r\nKeep-Alive: timeout=10\r\n{}",
            self.load_header()
        );
        Some(message("200 OK", &fields, &answer_body))
    }

    /// Waits for a slot; returns `false` if the queue is full or the deadline has passed.
    fn wait_for_slot(&self, deadline: Instant, connection: &Connection) -> bool {
        {
            let mut load = self.load.lock().unwrap();
            if load.running < self.slots {
                load.running += 1;
                return true;
            }
            if load.waiting >= QUEUE {
                return false;
            }
            load.waiting += 1;
        }
        loop {
            thread::sleep(Duration::from_millis(2));
            let mut load = self.load.lock().unwrap();
            if Instant::now() >= deadline || connection.is_closed() {
                load.waiting -= 1;
                return false;
            }
            if load.running < self.slots {
                load.waiting -= 1;
                load.running += 1;
                return true;
            }
        }
    }
}

/// Returns the body of an answer: `text`, filled to the size that a part `size-BYTES` of the path states.
fn answer_body(path: &str, text: &str) -> String {
    let size = path.split('/').find_map(|part| part.strip_prefix("size-")?.parse().ok());
    let mut body = text.to_owned();
    if let Some(size) = size {
        while body.len() < size {
            let position = body.len();
            body.push_str(&format!(" {position:07}"));
        }
        body.truncate(size);
    }
    body
}

/// Work time of a request, which is the last part of its path in milliseconds (`/terms/work/300`).
fn work_time(path: &str) -> Duration {
    let last = path.rsplit('/').next().unwrap_or_default();
    Duration::from_millis(last.parse().unwrap_or(20))
}

fn message(status: &str, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}
