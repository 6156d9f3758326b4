//! Pipelined requests of a caller.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::Method;
use poem::endpoint::make;
use shallotfork_exchange::{ServeConfig, ServeControl, serve_pipelined};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

const TIMEOUT: Duration = Duration::from_secs(10);

/// A served port whose requests each wait for a permit to be answered.
struct TestPort {
    control: ServeControl,
    address: std::net::SocketAddr,
    started: Arc<AtomicUsize>,
    ended: Arc<AtomicUsize>,
    answer_permits: Arc<Semaphore>,
}

/// Counts a request as ended on drop, whether it was answered or aborted.
struct EndGuard(Arc<AtomicUsize>);

impl Drop for EndGuard {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

impl TestPort {
    /// Starts a port that may start requests early whose path starts with `/early`. Those whose path
    /// ends with `/at-once` need no permit.
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let (started, ended) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let answer_permits = Arc::new(Semaphore::new(0));
        let shared = (Arc::clone(&started), Arc::clone(&ended), Arc::clone(&answer_permits));
        let endpoint = make(move |request: poem::Request| {
            let (started, ended, answer_permits) = shared.clone();
            async move {
                started.fetch_add(1, Ordering::SeqCst);
                let _end_guard = EndGuard(ended);
                if !request.uri().path().ends_with("/at-once") {
                    answer_permits.acquire().await.expect("open").forget();
                }
                request.uri().path().to_owned()
            }
        });
        let may_start_early = Arc::new(|head: &http::request::Parts| {
            assert!(head.method == Method::GET || head.method == Method::HEAD);
            head.uri.path().starts_with("/early")
        });
        let control = ServeControl::new();
        let config = ServeConfig::default();
        tokio::spawn(serve_pipelined(listener, endpoint, config, control.clone(), may_start_early));
        Self { control, address, started, ended, answer_permits }
    }

    async fn wait_for_started(&self, count: usize) {
        wait_for(&self.started, count).await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        assert_eq!(self.started.load(Ordering::SeqCst), count);
    }
}

async fn wait_for(counter: &AtomicUsize, count: usize) {
    let reached = async {
        while counter.load(Ordering::SeqCst) < count {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, reached).await.expect("in time");
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: orders\r\n\r\n")
}

/// Reads until all of `wanted` have been received and returns their positions.
async fn positions(stream: &mut TcpStream, wanted: &[&str]) -> Vec<usize> {
    let mut text = String::new();
    let reading = async {
        loop {
            let found: Option<Vec<usize>> = wanted.iter().map(|path| text.find(path)).collect();
            if let Some(found) = found {
                return found;
            }
            let mut piece = [0; 4096];
            let size = stream.read(&mut piece).await.expect("readable");
            assert!(size > 0, "ended early: {text}");
            text.push_str(&String::from_utf8_lossy(&piece[..size]));
        }
    };
    tokio::time::timeout(TIMEOUT, reading).await.expect("in time")
}

/// Guards against pipelined requests that wait for the previous answer although targets are idle.
#[tokio::test]
async fn pipelined_requests_start_at_once_and_are_answered_in_order() {
    let port = TestPort::start().await;
    let mut caller = TcpStream::connect(port.address).await.expect("connect");
    let sent = [get("/early/1"), get("/early/2"), get("/early/3")].concat();
    caller.write_all(sent.as_bytes()).await.expect("writable");
    port.wait_for_started(3).await;
    port.answer_permits.add_permits(3);
    let found = positions(&mut caller, &["/early/1", "/early/2", "/early/3"]).await;
    assert!(found.is_sorted(), "{found:?}");
}

/// Guards against starting a request twice when its head is received in pieces.
#[tokio::test]
async fn heads_received_in_pieces_start_once() {
    let port = TestPort::start().await;
    let mut caller = TcpStream::connect(port.address).await.expect("connect");
    let sent = [get("/early/1"), get("/early/2"), get("/early/3")].concat();
    for byte in sent.as_bytes() {
        caller.write_all(&[*byte]).await.expect("writable");
        tokio::task::yield_now().await;
    }
    port.wait_for_started(3).await;
    port.answer_permits.add_permits(3);
    positions(&mut caller, &["/early/1", "/early/2", "/early/3"]).await;
    port.wait_for_started(3).await;
}

/// Guards against a duplicate run of an order that waits behind another request. If the connection
/// closes after the first answer, the caller sends the order again, so it must not start early.
#[tokio::test]
async fn unrepeatable_request_waits_for_its_turn() {
    let port = TestPort::start().await;
    let mut caller = TcpStream::connect(port.address).await.expect("connect");
    let sent = [get("/early/1"), get("/late/2"), get("/early/3")].concat();
    caller.write_all(sent.as_bytes()).await.expect("writable");
    port.wait_for_started(2).await;
    port.answer_permits.add_permits(3);
    let found = positions(&mut caller, &["/early/1", "/late/2", "/early/3"]).await;
    assert!(found.is_sorted(), "{found:?}");
}

/// Guards against request smuggling by a body that looks like a request.
#[tokio::test]
async fn body_is_not_parsed_as_request() {
    let port = TestPort::start().await;
    let mut caller = TcpStream::connect(port.address).await.expect("connect");
    let inside = get("/early/smuggled");
    let post = format!(
        "POST /late/1 HTTP/1.1\r\nhost: orders\r\ncontent-length: {}\r\n\r\n{inside}",
        inside.len()
    );
    let sent = [get("/early/0"), post, get("/early/2")].concat();
    caller.write_all(sent.as_bytes()).await.expect("writable");
    port.wait_for_started(1).await;
    port.answer_permits.add_permits(3);
    positions(&mut caller, &["/early/0", "/late/1", "/early/2"]).await;
    port.wait_for_started(3).await;
}

/// Guards against wasted work when a caller disconnects with several requests in progress.
#[tokio::test]
async fn disconnect_aborts_all_requests() {
    let port = TestPort::start().await;
    let mut caller = TcpStream::connect(port.address).await.expect("connect");
    let sent = [get("/early/1"), get("/early/2")].concat();
    caller.write_all(sent.as_bytes()).await.expect("writable");
    port.wait_for_started(2).await;
    drop(caller);
    wait_for(&port.ended, 2).await;
}

/// Guards against unbounded buffering when a caller sends without reading answers.
#[tokio::test]
async fn read_ahead_is_bounded() {
    let port = TestPort::start().await;
    let mut caller = TcpStream::connect(port.address).await.expect("connect");
    let flood = get("/early/x").repeat(1_000_000);
    let writing =
        tokio::time::timeout(Duration::from_millis(300), caller.write_all(flood.as_bytes()));
    assert!(writing.await.is_err(), "all was taken");
    assert!(port.started.load(Ordering::SeqCst) <= 9);
}

/// Guards against wasted work when a caller disconnects while its second request waits for the
/// first one to end.
#[tokio::test]
async fn waiting_requests_do_not_start_after_disconnect() {
    let port = TestPort::start().await;
    let mut caller = TcpStream::connect(port.address).await.expect("connect");
    let sent = [get("/late/1"), get("/late/2")].concat();
    caller.write_all(sent.as_bytes()).await.expect("writable");
    port.wait_for_started(1).await;
    drop(caller);
    wait_for(&port.ended, 1).await;
    port.answer_permits.add_permits(2);
    port.wait_for_started(1).await;
}

/// Guards against a lost answer when an entry stops while two pipelined requests of a caller run. A
/// close after the first answer would lose the second one, although a target has run it.
#[tokio::test]
async fn started_requests_are_answered_before_close() {
    let port = TestPort::start().await;
    let mut caller = TcpStream::connect(port.address).await.expect("connect");
    let sent = [get("/early/1"), get("/early/2")].concat();
    caller.write_all(sent.as_bytes()).await.expect("writable");
    port.wait_for_started(2).await;
    port.control.announce_close();
    caller.write_all(get("/early/3").as_bytes()).await.expect("writable");
    port.wait_for_started(2).await;
    port.answer_permits.add_permits(3);
    let mut answers = String::new();
    let reading = caller.read_to_string(&mut answers);
    tokio::time::timeout(TIMEOUT, reading).await.expect("in time").expect("readable");
    assert!(answers.contains("/early/1") && answers.contains("/early/2"), "{answers}");
    assert_eq!(answers.matches("connection: close").count(), 1, "{answers}");
    assert!(!answers.contains("/early/3"), "{answers}");
    port.wait_for_started(2).await;
}

/// Guards against answers lost when an entry stops while it holds those of pipelined requests. Their
/// targets have run them, and they only wait for a slower one ahead of them.
#[tokio::test]
async fn held_answers_are_written_after_stop() {
    let port = TestPort::start().await;
    let mut caller = TcpStream::connect(port.address).await.expect("connect");
    let sent = [get("/late/0"), get("/early/1"), get("/early/2")].concat();
    caller.write_all(sent.as_bytes()).await.expect("writable");
    port.wait_for_started(3).await;
    port.control.stop();
    caller.write_all(get("/early/3").as_bytes()).await.expect("writable");
    port.wait_for_started(3).await;
    port.answer_permits.add_permits(4);
    let mut answers = String::new();
    let reading = caller.read_to_string(&mut answers);
    tokio::time::timeout(TIMEOUT, reading).await.expect("in time").expect("readable");
    let positions = ["/late/0", "/early/1", "/early/2"].map(|path| answers.find(path));
    assert!(positions.iter().all(Option::is_some) && positions.is_sorted(), "{answers}");
    assert_eq!(answers.matches("connection: close").count(), 1, "{answers}");
    assert!(!answers.contains("/early/3"), "{answers}");
}

/// Guards against a process that ends while it holds the finished answer of a pipelined request: the
/// request is in flight until its answer can be written.
#[tokio::test]
async fn started_request_is_in_flight_until_its_turn() {
    let port = TestPort::start().await;
    let mut caller = TcpStream::connect(port.address).await.expect("connect");
    let sent = [get("/late/0"), get("/early/at-once")].concat();
    caller.write_all(sent.as_bytes()).await.expect("writable");
    wait_for(&port.ended, 1).await;
    assert_eq!(port.control.in_flight(), 2);
    port.answer_permits.add_permits(1);
    positions(&mut caller, &["/late/0", "/early/at-once"]).await;
    wait_until_none_in_flight(&port.control).await;
}

async fn wait_until_none_in_flight(control: &ServeControl) {
    let none_left = async {
        while control.in_flight() > 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, none_left).await.expect("in time");
}
