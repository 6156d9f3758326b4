//! Requests that a process with too little processor time reads late.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream as StdStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use poem::endpoint::make;
use shallotfork_exchange::{ServeConfig, ServeControl, serve};
use tokio::net::TcpListener;

/// More than the process works off before its callers leave, several times over.
const CALLERS: usize = 60;
/// Processor time that one request takes.
const WORK: Duration = Duration::from_millis(25);
/// How long the callers wait for an answer.
const PATIENCE: Duration = Duration::from_millis(100);
/// The promise: nothing is begun for a caller that left longer ago.
const BEGUN_AFTER_LEAVING_MAX: Duration = Duration::from_millis(500);

const REQUEST: &[u8] = b"GET /work HTTP/1.1\r\nhost: orders\r\n\r\n";
const GREETING: &[u8] = b"GET /greet HTTP/1.1\r\nhost: orders\r\n\r\n";

/// Serves a port on this thread, which each `/work` occupies; notes when each begins.
async fn busy_port() -> (SocketAddr, Arc<Mutex<Vec<Instant>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let begun = Arc::new(Mutex::new(Vec::new()));
    let noted = Arc::clone(&begun);
    let endpoint = make(move |request: poem::Request| {
        let noted = Arc::clone(&noted);
        async move {
            if request.uri().path() == "/work" {
                noted.lock().expect("no panic").push(Instant::now());
                thread::sleep(WORK);
            }
        }
    });
    tokio::spawn(serve(listener, endpoint, ServeConfig::default(), ServeControl::new()));
    (address, begun)
}

/// A kept connection with one answered request behind it.
fn connect(address: SocketAddr) -> StdStream {
    let mut stream = StdStream::connect(address).expect("connect");
    stream.write_all(GREETING).expect("writable");
    let mut answer = [0; 1024];
    assert!(stream.read(&mut answer).expect("readable") > 0);
    stream
}

/// All callers send at once and leave without an answer; when they have left.
fn send_and_leave(mut callers: Vec<StdStream>) -> Instant {
    for caller in &mut callers {
        caller.write_all(REQUEST).expect("writable");
    }
    thread::sleep(PATIENCE);
    drop(callers);
    Instant::now()
}

/// Guards against requests that are begun long after their callers have left, because the process
/// read them late.
#[tokio::test]
async fn a_busy_process_begins_nothing_for_callers_that_have_left() {
    let (address, begun) = busy_port().await;
    let callers = thread::spawn(move || {
        let callers = (0..CALLERS).map(|_| connect(address)).collect();
        send_and_leave(callers)
    });
    while !callers.is_finished() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let left_at = callers.join().expect("the callers ran");
    tokio::time::sleep(WORK * u32::try_from(CALLERS).expect("small")).await;
    let begun = begun.lock().expect("no panic");
    let late =
        begun.iter().filter(|at| at.saturating_duration_since(left_at) > BEGUN_AFTER_LEAVING_MAX);
    assert_eq!(late.count(), 0, "of {} that were begun", begun.len());
}
