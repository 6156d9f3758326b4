//! The end of callers' connections after their last answer.

use std::net::SocketAddr;
use std::time::Duration;

use poem::endpoint::make_sync;
use shallotfork_exchange::{ServeConfig, ServeControl, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which callers read nothing while an answer is written and the connection closes.
const BUSY: Duration = Duration::from_millis(200);
/// More than the caller's kernel accepts unread, and less than the server's kernel takes to send.
const ANSWER_BYTES: usize = 300_000;
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;
const GET: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// A served port whose answers have [`ANSWER_BYTES`].
struct TestPort {
    control: ServeControl,
    address: SocketAddr,
}

impl TestPort {
    async fn start(config: ServeConfig) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("an address");
        let control = ServeControl::new();
        let endpoint = make_sync(|_| "x".repeat(ANSWER_BYTES));
        tokio::spawn(serve(listener, endpoint, config, control.clone()));
        Self { control, address }
    }

    /// Connects with a small receive buffer and sends a request.
    async fn request(&self) -> TcpStream {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a buffer size");
        let mut stream = socket.connect(self.address).await.expect("connect");
        stream.write_all(GET).await.expect("write");
        stream
    }

    async fn wait_for_lingering(&self, count: usize) {
        let reached = async {
            while self.control.lingering() != count {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, reached).await.expect("in time");
    }
}

/// Reads to the end and returns the size of the answer's body.
async fn read_body_size(stream: &mut TcpStream) -> usize {
    let mut read = Vec::new();
    let reading = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut read));
    // A reset ends the answer early.
    let _reset = reading.await.expect("the connection ends");
    let head = read.windows(4).position(|bytes| bytes == b"\r\n\r\n").expect("a head");
    read.len() - head - 4
}

/// Guards against an answer that is cut off because its caller sends its next request while the
/// connection closes. The closed socket would reset the connection.
#[tokio::test]
async fn request_that_crosses_close_does_not_cut_the_answer_before_it() {
    let port = TestPort::start(ServeConfig::default()).await;
    port.control.announce_close();
    let mut caller = port.request().await;
    tokio::time::sleep(BUSY).await;
    caller.write_all(GET).await.expect("write");
    tokio::time::sleep(BUSY).await;
    assert_eq!(read_body_size(&mut caller).await, ANSWER_BYTES);
    drop(caller);
    port.wait_for_lingering(0).await;
}

/// Guards against the same loss when the connection closes because it is idle.
#[tokio::test]
async fn request_that_crosses_idle_close_does_not_cut_the_answer_before_it() {
    let config =
        ServeConfig { header_timeout: BUSY / 4, idle_timeout: BUSY / 2, ..ServeConfig::default() };
    let port = TestPort::start(config).await;
    let mut caller = port.request().await;
    tokio::time::sleep(BUSY).await;
    caller.write_all(GET).await.expect("write");
    tokio::time::sleep(BUSY).await;
    assert_eq!(read_body_size(&mut caller).await, ANSWER_BYTES);
}

/// Guards against connections that stay open because their callers never close them.
#[tokio::test]
async fn caller_that_never_closes_is_disconnected() {
    let config = ServeConfig { linger_timeout: 2 * BUSY, ..ServeConfig::default() };
    let port = TestPort::start(config).await;
    port.control.announce_close();
    let mut caller = port.request().await;
    port.wait_for_lingering(1).await;
    assert_eq!(port.control.connections(), 0);
    assert_eq!(read_body_size(&mut caller).await, ANSWER_BYTES);
    port.wait_for_lingering(0).await;
    tokio::time::sleep(BUSY).await;
    // The first write makes the closed socket reset the connection.
    let _accepted = caller.write_all(GET).await;
    tokio::time::sleep(BUSY).await;
    assert!(caller.write_all(GET).await.is_err(), "the connection is open");
}

/// Guards against running out of file descriptors in a rush of short connections whose callers
/// close them late.
#[tokio::test]
async fn oldest_lingering_connection_gives_way() {
    let config = ServeConfig { lingering_max: 2, ..ServeConfig::default() };
    let port = TestPort::start(config).await;
    port.control.announce_close();
    let mut callers = Vec::new();
    for number in 1..=3 {
        let mut caller = port.request().await;
        assert_eq!(read_body_size(&mut caller).await, ANSWER_BYTES);
        port.wait_for_lingering(number.min(2)).await;
        callers.push(caller);
    }
    for caller in &mut callers {
        let _accepted = caller.write_all(GET).await;
    }
    tokio::time::sleep(BUSY).await;
    let mut is_open = Vec::new();
    for caller in &mut callers {
        is_open.push(caller.write_all(GET).await.is_ok());
    }
    assert_eq!(is_open, [false, true, true]);
}
