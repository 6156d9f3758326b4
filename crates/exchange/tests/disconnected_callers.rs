//! Requests that an overloaded process reads after their callers have disconnected.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream as StdStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use poem::endpoint::make;
use shallotfork_exchange::{ServeConfig, ServeControl, serve};
use tokio::net::TcpListener;

/// Several times the number of requests that the process completes before its callers disconnect.
const CALLERS: usize = 60;
/// CPU time of one request.
const WORK: Duration = Duration::from_millis(25);
/// Time for which the callers wait for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_millis(100);
/// Limit on the time between the disconnect of a caller and the start of its request.
const START_AFTER_CLOSE_MAX: Duration = Duration::from_millis(500);

const REQUEST: &[u8] = b"GET /work HTTP/1.1\r\nhost: orders\r\n\r\n";
const GREETING: &[u8] = b"GET /greet HTTP/1.1\r\nhost: orders\r\n\r\n";

/// Serves a port on this thread, which each `/work` request blocks, and records when each starts.
async fn overloaded_port() -> (SocketAddr, Arc<Mutex<Vec<Instant>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let started_at = Arc::new(Mutex::new(Vec::new()));
    let recorded = Arc::clone(&started_at);
    let endpoint = make(move |request: poem::Request| {
        let recorded = Arc::clone(&recorded);
        async move {
            if request.uri().path() == "/work" {
                recorded.lock().expect("no panic").push(Instant::now());
                thread::sleep(WORK);
            }
        }
    });
    tokio::spawn(serve(listener, endpoint, ServeConfig::default(), ServeControl::new()));
    (address, started_at)
}

/// Opens a connection and completes one request on it.
fn connect(address: SocketAddr) -> StdStream {
    let mut stream = StdStream::connect(address).expect("connect");
    stream.write_all(GREETING).expect("writable");
    let mut answer = [0; 1024];
    assert!(stream.read(&mut answer).expect("readable") > 0);
    stream
}

/// Sends a request on each connection, closes them all without reading an answer, and returns the
/// time of the close.
fn send_and_close(mut callers: Vec<StdStream>) -> Instant {
    for caller in &mut callers {
        caller.write_all(REQUEST).expect("writable");
    }
    thread::sleep(CALLER_TIMEOUT);
    drop(callers);
    Instant::now()
}

/// Guards against requests that start long after their callers have disconnected, because an
/// overloaded process reads them late.
#[tokio::test]
async fn overloaded_process_starts_no_work_for_disconnected_callers() {
    let (address, started_at) = overloaded_port().await;
    let callers = thread::spawn(move || {
        let callers = (0..CALLERS).map(|_| connect(address)).collect();
        send_and_close(callers)
    });
    while !callers.is_finished() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let closed_at = callers.join().expect("the callers ran");
    tokio::time::sleep(WORK * u32::try_from(CALLERS).expect("small")).await;
    let started_at = started_at.lock().expect("no panic");
    let late_starts = started_at
        .iter()
        .filter(|at| at.saturating_duration_since(closed_at) > START_AFTER_CLOSE_MAX);
    assert_eq!(late_starts.count(), 0, "of {} that were started", started_at.len());
}
