//! Requests that a caller sends one behind the other on a connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::Method;
use poem::endpoint::make;
use shallotfork_exchange::{ServeConfig, ServeControl, serve_pipelined};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

const SOON: Duration = Duration::from_secs(10);

/// A port whose requests each wait for leave to be answered.
struct Port {
    control: ServeControl,
    address: std::net::SocketAddr,
    begun: Arc<AtomicUsize>,
    ended: Arc<AtomicUsize>,
    leave: Arc<Semaphore>,
}

/// Counts a request as ended, answered or not.
struct Ends(Arc<AtomicUsize>);

impl Drop for Ends {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

impl Port {
    /// Requests whose path begins with `/early` may be begun early.
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let (begun, ended) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let leave = Arc::new(Semaphore::new(0));
        let shared = (Arc::clone(&begun), Arc::clone(&ended), Arc::clone(&leave));
        let endpoint = make(move |request: poem::Request| {
            let (begun, ended, leave) = shared.clone();
            async move {
                begun.fetch_add(1, Ordering::SeqCst);
                let _ends = Ends(ended);
                leave.acquire().await.expect("open").forget();
                request.uri().path().to_owned()
            }
        });
        let early = Arc::new(|head: &http::request::Parts| {
            assert!(head.method == Method::GET || head.method == Method::HEAD);
            head.uri.path().starts_with("/early")
        });
        let control = ServeControl::new();
        let config = ServeConfig::default();
        tokio::spawn(serve_pipelined(listener, endpoint, config, control.clone(), early));
        Self { control, address, begun, ended, leave }
    }

    async fn begun(&self, count: usize) {
        wait_for(&self.begun, count).await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        assert_eq!(self.begun.load(Ordering::SeqCst), count);
    }
}

async fn wait_for(counter: &AtomicUsize, count: usize) {
    let reached = async {
        while counter.load(Ordering::SeqCst) < count {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(SOON, reached).await.expect("in time");
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: orders\r\n\r\n")
}

/// Reads until all of these have come, and returns where each was found.
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
    tokio::time::timeout(SOON, reading).await.expect("in time")
}

/// A club secretary's program asks for three histories one behind the other. Begun only after the
/// answer before, the third comes late although servers are idle.
#[tokio::test]
async fn requests_behind_another_are_begun_at_once_and_answered_in_order() {
    let port = Port::start().await;
    let mut caller = TcpStream::connect(port.address).await.expect("connect");
    let sent = [get("/early/1"), get("/early/2"), get("/early/3")].concat();
    caller.write_all(sent.as_bytes()).await.expect("writable");
    port.begun(3).await;
    port.leave.add_permits(3);
    let found = positions(&mut caller, &["/early/1", "/early/2", "/early/3"]).await;
    assert!(found.is_sorted(), "{found:?}");
}

/// Whatever way the bytes arrive in, each request is begun once.
#[tokio::test]
async fn heads_in_pieces_are_begun_once() {
    let port = Port::start().await;
    let mut caller = TcpStream::connect(port.address).await.expect("connect");
    let sent = [get("/early/1"), get("/early/2"), get("/early/3")].concat();
    for byte in sent.as_bytes() {
        caller.write_all(&[*byte]).await.expect("writable");
        tokio::task::yield_now().await;
    }
    port.begun(3).await;
    port.leave.add_permits(3);
    positions(&mut caller, &["/early/1", "/early/2", "/early/3"]).await;
    port.begun(3).await;
}

/// An order waits behind a look-up. If the connection closes after the look-up's answer, its caller
/// sends the order again: begun early, it would be milled twice.
#[tokio::test]
async fn a_request_that_may_not_run_twice_waits_for_its_turn() {
    let port = Port::start().await;
    let mut caller = TcpStream::connect(port.address).await.expect("connect");
    let sent = [get("/early/1"), get("/late/2"), get("/early/3")].concat();
    caller.write_all(sent.as_bytes()).await.expect("writable");
    port.begun(2).await;
    port.leave.add_permits(3);
    let found = positions(&mut caller, &["/early/1", "/late/2", "/early/3"]).await;
    assert!(found.is_sorted(), "{found:?}");
}

/// A body holds what looks like a request. Nobody sent it as one, so that it must not run.
#[tokio::test]
async fn nothing_inside_a_body_is_taken_for_a_request() {
    let port = Port::start().await;
    let mut caller = TcpStream::connect(port.address).await.expect("connect");
    let inside = get("/early/smuggled");
    let post = format!(
        "POST /late/1 HTTP/1.1\r\nhost: orders\r\ncontent-length: {}\r\n\r\n{inside}",
        inside.len()
    );
    let sent = [get("/early/0"), post, get("/early/2")].concat();
    caller.write_all(sent.as_bytes()).await.expect("writable");
    port.begun(1).await;
    port.leave.add_permits(3);
    positions(&mut caller, &["/early/0", "/late/1", "/early/2"]).await;
    port.begun(3).await;
}

/// A caller leaves while it has requests waiting. Their work must end, or servers are busy for
/// nobody.
#[tokio::test]
async fn a_caller_that_leaves_ends_all_of_its_requests() {
    let port = Port::start().await;
    let mut caller = TcpStream::connect(port.address).await.expect("connect");
    let sent = [get("/early/1"), get("/early/2")].concat();
    caller.write_all(sent.as_bytes()).await.expect("writable");
    port.begun(2).await;
    drop(caller);
    wait_for(&port.ended, 2).await;
}

/// A caller that sends without end is held back, not stored.
#[tokio::test]
async fn what_is_read_ahead_is_bounded() {
    let port = Port::start().await;
    let mut caller = TcpStream::connect(port.address).await.expect("connect");
    let flood = get("/early/x").repeat(1_000_000);
    let writing =
        tokio::time::timeout(Duration::from_millis(300), caller.write_all(flood.as_bytes()));
    assert!(writing.await.is_err(), "all was taken");
    assert!(port.begun.load(Ordering::SeqCst) <= 9);
}

/// A caller leaves while its second request waits unread behind the first. Begun after the first
/// one's end, it would take a server's time for nobody.
#[tokio::test]
async fn what_a_caller_left_behind_is_not_begun() {
    let port = Port::start().await;
    let mut caller = TcpStream::connect(port.address).await.expect("connect");
    let sent = [get("/late/1"), get("/late/2")].concat();
    caller.write_all(sent.as_bytes()).await.expect("writable");
    port.begun(1).await;
    drop(caller);
    wait_for(&port.ended, 1).await;
    port.leave.add_permits(2);
    port.begun(1).await;
}

/// An entry begins to stop while two look-ups of one caller run, the second begun early. Closed after
/// the first answer, the connection would take the second one with it, although a server has run it.
#[tokio::test]
async fn what_was_begun_is_answered_before_a_closing_connection_ends() {
    let port = Port::start().await;
    let mut caller = TcpStream::connect(port.address).await.expect("connect");
    let sent = [get("/early/1"), get("/early/2")].concat();
    caller.write_all(sent.as_bytes()).await.expect("writable");
    port.begun(2).await;
    port.control.announce_close();
    caller.write_all(get("/early/3").as_bytes()).await.expect("writable");
    port.begun(2).await;
    port.leave.add_permits(3);
    let mut answers = String::new();
    let reading = caller.read_to_string(&mut answers);
    tokio::time::timeout(SOON, reading).await.expect("in time").expect("readable");
    assert!(answers.contains("/early/1") && answers.contains("/early/2"), "{answers}");
    assert_eq!(answers.matches("connection: close").count(), 1, "{answers}");
    assert!(!answers.contains("/early/3"), "{answers}");
    port.begun(2).await;
}
