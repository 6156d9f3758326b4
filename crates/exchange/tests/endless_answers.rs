//! Answers that never end, or that declare a length beyond any limit.

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use shallotfork_exchange::{
    AnswerMatch, AttemptFailure, BodyBudget, BufferedAnswer, ConnectionConfig, ConnectionPurpose,
    FailureCause, TargetConnections, TargetRequest,
};
use shallotfork_types::{Bytes as Size, Endpoint, TargetId, Verdict};
use support::{RawConnection, RawTarget};

const TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which a connection whose answer has no end is closed.
const SHORT: Duration = Duration::from_secs(5);
/// Half of it is for answers that are being received.
const BUDGET: Size = Size::from_mib(16);
/// Size of the answers of a sound target.
const SOUND_BYTES: usize = 540_000;
const CHUNK_BYTES: usize = 16 * 1024;
const ENDLESS_ANSWERS: usize = 4;

struct Caller {
    budget: BodyBudget,
    connections: TargetConnections,
    /// Number of heads of answers that were accepted.
    accepted_heads: AtomicUsize,
}

impl Caller {
    fn new() -> Self {
        let budget = BodyBudget::new(BUDGET);
        let connections = TargetConnections::new(ConnectionConfig::default(), budget.clone());
        Self { budget, connections, accepted_heads: AtomicUsize::new(0) }
    }

    async fn send(&self, target: &RawTarget) -> Result<BufferedAnswer, AttemptFailure> {
        let id = TargetId::new("mill").expect("a name");
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = "/orders".parse().expect("a path");
        self.connections
            .send(TargetRequest {
                target: &id,
                endpoint: Endpoint::new(target.address),
                request,
                timeout: TIMEOUT,
                expected_size: Size::default(),
                repeatable: true,
                answer_match: &|_, _| {
                    self.accepted_heads.fetch_add(1, Ordering::SeqCst);
                    AnswerMatch::Match
                },
                purpose: ConnectionPurpose::Request,
                on_opened: &|| {},
            })
            .await
    }
}

/// Writes `head` once, and then `repeated` until the connection is closed.
async fn write_endlessly(mut connection: RawConnection, head: &str, repeated: &[u8]) {
    if connection.request().await.is_none() {
        return;
    }
    connection.write(head.as_bytes()).await;
    while connection.try_write(repeated).await {}
}

async fn endless_target() -> RawTarget {
    RawTarget::start(|_, connection| async move {
        let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES));
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        write_endlessly(connection, head, chunk.as_bytes()).await;
    })
    .await
}

/// Guards against answers without end that use up the memory of the VM, and against breaking off
/// other answers for them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_without_end_are_broken_off_before_others() {
    let endless = endless_target().await;
    let sound = RawTarget::start(|_, mut connection| async move {
        while connection.request().await.is_some() {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {SOUND_BYTES}\r\n\r\n");
            connection.write(head.as_bytes()).await;
            for _ in 0..SOUND_BYTES / 6_000 {
                connection.write(&[b's'; 6_000]).await;
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    })
    .await;
    let caller = Caller::new();
    let mut held_max = Size::default();
    let watch = async {
        loop {
            held_max = held_max.max(caller.budget.held());
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let endless_answers = (0..ENDLESS_ANSWERS).map(|_| async {
        for _ in 0..5 {
            let failure = caller.send(&endless).await.expect_err("no end");
            assert_eq!(failure.cause(), &FailureCause::AnswerEndless);
            assert_eq!(failure.verdict(), Verdict::MayHaveRun);
        }
    });
    let sound_answers = async {
        for _ in 0..5 {
            let answer = caller.send(&sound).await.expect("the whole answer");
            assert_eq!(answer.body.len(), SOUND_BYTES);
        }
    };
    let all = async {
        tokio::join!(futures::future::join_all(endless_answers), sound_answers);
    };
    tokio::select! {
        () = watch => {}
        () = all => {}
    }
    assert!(held_max <= BUDGET, "{held_max}");
    assert_eq!(caller.budget.held(), Size::default());
}

/// Guards against memory that is reserved for a length which a target merely declares.
#[tokio::test]
async fn declared_length_over_the_limit_is_refused_at_the_head() {
    let target = RawTarget::start(|_, connection| async move {
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 900000000\r\n\r\n";
        write_endlessly(connection, head, &[b'x'; CHUNK_BYTES]).await;
    })
    .await;
    let caller = Caller::new();
    let failure = caller.send(&target).await.expect_err("too large");
    assert_eq!(failure.cause(), &FailureCause::AnswerTooLarge);
    assert_eq!(caller.accepted_heads.load(Ordering::SeqCst), 0);
    assert_eq!(caller.budget.held(), Size::default());
}

/// Guards against interim answers without end, which are parsed in a loop that ends only when the
/// target sends nothing.
#[tokio::test]
async fn interim_answers_are_bounded() {
    let target = RawTarget::start(|_, connection| async move {
        let interim = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(1_000);
        write_endlessly(connection, "", interim.as_bytes()).await;
    })
    .await;
    let caller = Caller::new();
    let sending = tokio::time::timeout(SHORT, caller.send(&target));
    let failure = sending.await.expect("in time").expect_err("no final answer");
    assert_eq!(failure.cause(), &FailureCause::AnswerEndless);
    assert_eq!(failure.verdict(), Verdict::MayHaveRun);
}

/// Guards against dropping an answer because some interim ones come before it, for each request on a
/// connection.
#[tokio::test]
async fn some_interim_answers_are_skipped() {
    let target = RawTarget::start(|_, mut connection| async move {
        while connection.request().await.is_some() {
            let interim = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(10);
            connection.write(interim.as_bytes()).await;
            connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone").await;
        }
    })
    .await;
    let caller = Caller::new();
    for _ in 0..3 {
        assert_eq!(caller.send(&target).await.expect("an answer").body, "done");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(target.stats.connections(), 1);
}

/// Guards against a head without end that is buffered, and taken for the end of a connection.
#[tokio::test]
async fn head_is_bounded() {
    let target = RawTarget::start(|_, connection| async move {
        let fields = "filler: 0123456789\r\n".repeat(1_000);
        write_endlessly(connection, "HTTP/1.1 200 OK\r\n", fields.as_bytes()).await;
    })
    .await;
    let caller = Caller::new();
    let sending = tokio::time::timeout(SHORT, caller.send(&target));
    let failure = sending.await.expect("in time").expect_err("no whole head");
    assert_eq!(failure.cause(), &FailureCause::AnswerEndless);
}
