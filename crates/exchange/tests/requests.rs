//! Reading and rejecting requests of callers.

#[path = "support/test_server.rs"]
mod test_server;

use std::sync::LazyLock;
use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use shallotfork_exchange::ServeConfig;
use shallotfork_types::Bytes;
use test_server::{EchoEndpoint, TestServer, read_to_end, status};
use tokio::io::AsyncWriteExt;
use tokio::runtime::Runtime;

const GEN_SIZE: usize = 64;
const SEED: u64 = 0x5ba1;
const CASES: u64 = 300;
/// More than the kernel buffers for one connection.
const LARGE: Bytes = Bytes::from_mib(32);

#[tokio::test]
async fn removes_only_hop_by_hop_and_entry_headers() {
    let server = TestServer::plain().await;
    let actual = server
        .send(
            "POST /orders?mill=2 HTTP/1.1\r\nhost: orders:8080\r\nconnection: close, batch\r\n\
             batch: 7\r\nte: trailers\r\nkeep-alive: timeout=5\r\nproxy-authorization: x\r\n\
             upgrade: websocket\r\nshallotfork-session: s.1\r\nidempotency-key: order-9\r\n\
             shallotfork-deadline-ms: 250\r\nshallotfork-caller: bakery\r\naccept: text/plain\r\n\
             transfer-encoding: chunked\r\ntrailer: checked\r\n\r\n\
             4\r\nmill\r\n2;note=x\r\ned\r\n0\r\nchecked: yes\r\n\r\n",
        )
        .await;
    let body = actual.split("\r\n\r\n").nth(1).expect("a body");
    insta::assert_snapshot!(body);
}

/// Guards against forwarding a wrong host, for which a target would serve the wrong site. HTTP/2
/// sends `:authority` without `Host`; an absolute request target takes precedence over `Host`.
#[tokio::test]
async fn authority_replaces_host() {
    let server = TestServer::plain().await;
    let client = reqwest::Client::builder()
        .http2_prior_knowledge()
        .resolve("orders", server.address)
        .build()
        .expect("client");
    let url = format!("http://orders:{}/card", server.address.port());
    let http2 = client.post(url).body("mill").send().await.expect("an answer");
    let http2 = http2.text().await.expect("a body");
    let host = format!("host: orders:{}\n", server.address.port());
    assert!(http2.starts_with("POST /card of orders\n") && http2.contains(&host), "{http2}");

    let absolute = "GET http://orders/card HTTP/1.1\r\nhost: other\r\n\r\n";
    let absolute = server.send(absolute).await;
    assert!(absolute.contains("GET /card of orders\nhost: orders\n"), "{absolute}");
}

/// Guards against the removal of headers for the target that a caller lists in `Connection`. The
/// target would serve another host, or run an order without its idempotency key.
#[tokio::test]
async fn connection_header_cannot_remove_end_to_end_headers() {
    let server = TestServer::plain().await;
    let named = "POST /card HTTP/1.1\r\nhost: orders\r\nidempotency-key: order-9\r\n\
        shallotfork-caller: bakery\r\n\
        connection: Host, idempotency-key, shallotfork-caller\r\n\r\n";
    let actual = server.send(named).await;
    for kept in
        ["\nhost: orders\n", "\nidempotency-key: order-9\n", "\nshallotfork-caller: bakery\n"]
    {
        assert!(actual.contains(kept), "{actual}");
    }
}

#[tokio::test]
async fn malformed_requests_are_rejected() {
    let server = TestServer::plain().await;
    let cases = [
        ("no host", "GET / HTTP/1.1\r\n\r\n"),
        ("two hosts", "GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n"),
        ("host is no name", "GET / HTTP/1.1\r\nhost: a b\r\n\r\n"),
        ("empty key", "POST / HTTP/1.1\r\nhost: a\r\nidempotency-key:\r\n\r\n"),
        (
            "two keys",
            "POST / HTTP/1.1\r\nhost: a\r\nidempotency-key: 1\r\nidempotency-key: 2\r\n\r\n",
        ),
        (
            "deadline is no number",
            "GET / HTTP/1.1\r\nhost: a\r\nshallotfork-deadline-ms: -5\r\n\r\n",
        ),
        ("bad caller", "GET / HTTP/1.1\r\nhost: a\r\nshallotfork-caller: x y\r\n\r\n"),
        ("empty session", "GET / HTTP/1.1\r\nhost: a\r\nshallotfork-session:\r\n\r\n"),
        (
            "two lengths",
            "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nx",
        ),
        ("length is no number", "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1x\r\n\r\nx"),
        (
            "bad chunk size",
            "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nx\r\n0\r\n\r\n",
        ),
        (
            "chunk size overflows",
            "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\nx",
        ),
        (
            "chunked is not last",
            "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
        ),
        ("body over the limit", "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1001\r\n\r\n"),
        (
            "wrong digest",
            "POST / HTTP/1.1\r\nhost: a\r\ncontent-digest: sha-256=:AAAA:\r\ncontent-length: 1\r\n\r\nx",
        ),
        (
            "malformed digest",
            "POST / HTTP/1.1\r\nhost: a\r\ncontent-digest: sha-256=:?:\r\ncontent-length: 1\r\n\r\nx",
        ),
        ("connect", "CONNECT a:80 HTTP/1.1\r\nhost: a:80\r\n\r\n"),
        ("no http", "\u{1}\u{2}\u{3}\r\n\r\n"),
    ];
    let mut lines = Vec::new();
    for (name, request) in cases {
        let answer = server.send(request).await;
        let verdict = answer.lines().find(|line| line.starts_with("shallotfork-verdict"));
        let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
        lines.push(format!("{name}\n  {} {}\n  {body}", status(&answer), verdict.unwrap_or("-")));
    }
    insta::assert_snapshot!(lines.join("\n"));
    assert_eq!("200", status(&server.send("GET / HTTP/1.1\r\nhost: a\r\n\r\n").await));
}

/// Guards against request smuggling by a request with two lengths. The chunks take precedence, the
/// length is removed, and the connection closes after the answer, so that remaining bytes are not
/// read (RFC 9112, 6.1).
#[tokio::test]
async fn length_with_chunks_allows_no_smuggling() {
    let server = TestServer::plain().await;
    let mut stream = server.connect().await;
    let two = "POST /first HTTP/1.1\r\nhost: a\r\ncontent-length: 40\r\n\
        transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /second HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(two.as_bytes()).await.expect("write");

    let answers = read_to_end(stream).await;

    assert!(answers.contains("POST /first of a\nhost: a\n") && answers.ends_with("\n0 body bytes"));
    assert!(!answers.contains("/second"));
}

/// Guards against forwarding a truncated upload, which a target would store, when a caller's
/// connection breaks.
#[tokio::test]
async fn truncated_upload_is_rejected() {
    let server = TestServer::plain().await;
    for upload in [
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 7\r\n\r\ndossier",
        "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\ndos\r\n4\r\nsier\r\n0\r\n\r\n",
    ] {
        for cut in 0..upload.len() {
            let answer = server.send_truncated(&upload[..cut]).await;
            assert_ne!("200", status(&answer), "cut at {cut}");
        }
        assert_eq!("200", status(&server.send(upload).await));
    }
    assert_eq!(Bytes::new(0), server.echo.budget.held());
}

/// Guards against uploads that stall: without a timeout, each would occupy a connection and its
/// memory forever.
#[tokio::test]
async fn stalled_body_times_out() {
    let echo = EchoEndpoint::new().with_body_timeout(Duration::from_millis(50));
    let server = TestServer::start(echo, ServeConfig::default()).await;
    let mut stream = server.connect().await;
    stream
        .write_all(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf")
        .await
        .expect("write");

    let answer = read_to_end(stream).await;

    assert_eq!("408", status(&answer));
    assert!(answer.contains("shallotfork-verdict: not-run"));
    assert_eq!(Bytes::new(0), server.echo.budget.held());
}

/// Guards against a rejection lost to a caller that sends its whole body before it reads the
/// answer, as simple clients do. The kernel resets a connection that is closed with unread bytes;
/// the reset discards the answer, and the caller retries because of a broken connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rejection_reaches_caller_that_keeps_sending() {
    let server =
        TestServer::start(EchoEndpoint::new().with_body_max(LARGE), ServeConfig::default()).await;
    let size = LARGE.value();
    let mut stream = server.connect().await;
    let head = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\nidempotency-key: a b\r\n";
    let head = format!("{head}content-length: {size}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("write the head");
    stream.write_all(&vec![b'x'; size as usize]).await.expect("write the body");
    assert_eq!("400", status(&read_to_end(stream).await));
}

/// Guards against memory exhaustion when many callers upload at the same time.
#[tokio::test]
async fn exhausted_body_budget_returns_retry_after() {
    let server = TestServer::plain().await;
    let upload = format!(
        "POST /hold HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\n{}",
        "x".repeat(1000)
    );
    let mut holding = Vec::new();
    for _ in 0..8 {
        let mut stream = server.connect().await;
        stream.write_all(upload.as_bytes()).await.expect("write");
        server.echo.on_hold.notified().await;
        holding.push(stream);
    }

    let answer = server.send(&upload).await;

    assert_eq!("503", status(&answer));
    assert!(answer.contains("retry-after: 1\r\n"));
    server.echo.release.add_permits(holding.len());
}

/// Guards against bodies that stop just before their end and keep all others out until they time out.
#[tokio::test]
async fn stalled_body_gives_way_to_another() {
    let echo = EchoEndpoint::new().with_body_max(Bytes::from_kib(6));
    let server = TestServer::start(echo, ServeConfig::default()).await;
    let mut stalled = server.connect().await;
    let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 6000\r\n\r\n";
    stalled.write_all(format!("{head}{}", "x".repeat(5999)).as_bytes()).await.expect("write");
    let upload = format!("{head}{}", "x".repeat(6000));

    let early = server.send(&upload).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    let late = server.send(&upload).await;

    assert_eq!(("503", "200"), (status(&early), status(&late)));
    let answer = read_to_end(stalled).await;
    assert_eq!("503", status(&answer));
    assert!(answer.contains("shallotfork-verdict: not-run"));
    assert_eq!(Bytes::new(0), server.echo.budget.held());
}

/// Guards against large bodies that keep out small ones.
#[tokio::test]
async fn small_bodies_have_room_beside_large_ones() {
    let echo =
        EchoEndpoint::new().with_body_max(Bytes::from_mib(1)).with_budget(Bytes::from_kib(400));
    let server = TestServer::start(echo, ServeConfig::default()).await;
    let head = |kib: u64| {
        let size = Bytes::from_kib(kib).value();
        format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {size}\r\n\r\n")
    };
    let mut large = Vec::new();
    for _ in 0..3 {
        let mut stream = server.connect().await;
        stream.write_all(head(100).as_bytes()).await.expect("write");
        large.push(stream);
    }
    let held = Bytes::from_kib(300);
    while server.echo.budget.held() < held {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let body = |kib: u64| "x".repeat(usize::try_from(kib * 1024).expect("a size"));
    let small = server.send(&format!("{}{}", head(50), body(50))).await;
    let another = server.send(&format!("{}{}", head(70), body(70))).await;
    assert_eq!(("200", "503"), (status(&small), status(&another)));
}

#[tokio::test]
async fn sends_continue_before_body() {
    let server = TestServer::plain().await;
    let mut stream = server.connect().await;
    let head = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 4\r\nexpect: 100-continue\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("write");
    let mut interim = [0; 25];
    tokio::io::AsyncReadExt::read_exact(&mut stream, &mut interim).await.expect("read");
    assert_eq!(b"HTTP/1.1 100 Continue\r\n\r\n", &interim);
    stream.write_all(b"mill").await.expect("write");
    assert!(read_to_end(stream).await.contains("4 body bytes"));
}

static SERVER: LazyLock<(Runtime, TestServer)> = LazyLock::new(|| {
    let runtime = Runtime::new().expect("runtime");
    let server = runtime.block_on(TestServer::plain());
    (runtime, server)
});

async fn is_answered_or_closed(path: String, body: Vec<u8>) -> bool {
    let mut stream = SERVER.1.connect().await;
    let head = format!("POST /{path} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(&body).await;
    let _ = stream.shutdown().await;
    let answer = read_to_end(stream).await;
    answer.is_empty() || answer.starts_with("HTTP/1.1 ")
}

/// Guards against input that stops the port: any bytes lead to an answer or a closed connection,
/// and the port continues to serve.
#[test]
fn arbitrary_bytes_do_not_stop_port() {
    fn property(path: String, body: Vec<u8>) -> bool {
        SERVER.0.block_on(is_answered_or_closed(path, body))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(CASES)
        .quickcheck(property as fn(String, Vec<u8>) -> bool);
    let answer = SERVER.0.block_on(SERVER.1.send("GET / HTTP/1.1\r\nhost: a\r\n\r\n"));
    assert_eq!("200", status(&answer));
}
