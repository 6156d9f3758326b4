//! Large answers: the budget that they hold, and how they are written to callers.

#[path = "support/forwarder.rs"]
mod forwarder;
mod support;

use std::sync::Arc;
use std::time::Duration;

use forwarder::{
    CHUNK_BYTES, Forwarder, ForwarderConfig, TestPacer, Writing, body, connect_to, wait_until,
};
use shallotfork_exchange::{TransferEnd, TransferReport};
use shallotfork_types::Bytes;
use tokio::io::AsyncReadExt;

/// More than the kernel buffers of a connection hold.
const LARGE: usize = 2 * 1024 * 1024;
/// Time in which a fault would show.
const SETTLE: Duration = Duration::from_millis(200);
/// Longer than the time after which an answer that nobody takes gives way.
const HELD_UP: Duration = Duration::from_millis(700);

fn all_writings() -> [Writing; 3] {
    [Writing::Plain, Writing::Unpaced, Writing::paced()]
}

/// Guards against answers that wait for slow callers without being counted, which exhaust the
/// memory of the VM.
#[tokio::test]
async fn budget_is_held_until_last_byte_is_taken() {
    for writing in all_writings() {
        let port = Forwarder::start(ForwarderConfig::new(writing)).await;
        let mut caller = port.connect().await;
        caller.send(&[LARGE]).await;
        port.wait_for_written(1).await;
        tokio::time::sleep(SETTLE).await;
        assert_eq!(Bytes::new(LARGE as u64), port.budget.held());
        assert_eq!((0, 1), (port.control.in_flight(), port.control.writing()));
        let answer = caller.answer().await.expect("a complete answer");
        assert_eq!((200, body(LARGE)), (answer.status, answer.body));
        wait_until("the budget is free", || port.budget.held() == Bytes::new(0)).await;
        wait_until("the answer is written", || port.control.writing() == 0).await;
    }
}

/// Guards against a budget that shrinks with each caller that leaves in the middle of an answer.
#[tokio::test]
async fn budget_is_released_when_caller_leaves() {
    for writing in all_writings() {
        let is_reported = !matches!(writing, Writing::Plain);
        let port = Forwarder::start(ForwarderConfig::new(writing)).await;
        let mut caller = port.connect().await;
        caller.send(&[LARGE]).await;
        caller.head().await.expect("a head");
        drop(caller);
        wait_until("the budget is free", || {
            port.target.written.load(std::sync::atomic::Ordering::SeqCst) == 1
                && port.budget.held() == Bytes::new(0)
        })
        .await;
        if is_reported {
            port.wait_for_reports(1).await;
            let report = port.reports()[0];
            assert_eq!(
                (TransferEnd::CallerLeft, Bytes::new(LARGE as u64)),
                (report.end, report.total)
            );
            assert!(report.sent < report.total, "{report:?}");
        }
        assert_eq!(0, port.control.stalled_connections());
    }
}

/// Guards against a lost answer to a request that has run, when the budget is full, and against
/// accepting more requests then.
#[tokio::test]
async fn full_budget_passes_answers_and_rejects_requests() {
    for writing in all_writings() {
        let budget = Bytes::from_mib(1);
        let port =
            Forwarder::start(ForwarderConfig { budget, ..ForwarderConfig::new(writing) }).await;
        let (mut first, mut second) = (port.connect().await, port.connect().await);
        for caller in [&mut first, &mut second] {
            caller.send(&[LARGE]).await;
        }
        port.wait_for_written(2).await;
        wait_until("the answers are held", || port.budget.held() >= Bytes::new(2 * LARGE as u64))
            .await;

        let rejected = port.get(1).await;
        assert_eq!(503, rejected.status);
        assert!(rejected.head.contains("retry-after: 1\r\n"), "{}", rejected.head);
        assert!(rejected.head.contains("shallotfork-verdict: not-run\r\n"), "{}", rejected.head);
        assert_eq!(2, port.target.raw.stats.requests());

        for caller in [&mut first, &mut second] {
            let answer = caller.answer().await.expect("a complete answer");
            assert_eq!(body(LARGE), answer.body);
        }
        wait_until("the budget is free", || port.budget.held() == Bytes::new(0)).await;
        assert_eq!(200, port.get(1).await.status);
    }
}

/// Guards against aborted answers and crashes of targets whose answers stay unread for some seconds
/// because a caller reads slowly.
#[tokio::test]
async fn slow_caller_does_not_slow_read_from_target() {
    for writing in all_writings() {
        let port = Forwarder::start(ForwarderConfig::new(writing)).await;
        let mut caller = port.connect().await;
        caller.send(&[8 * LARGE]).await;
        let written = tokio::time::timeout(Duration::from_secs(4), port.wait_for_written(1));
        written.await.expect("the target is read although the caller reads nothing");
    }
}

/// Guards against wrong lengths and against reports that are missing, doubled or too early.
#[tokio::test]
async fn transfers_are_reported_once_complete() {
    for size in [0, 1, CHUNK_BYTES - 1, CHUNK_BYTES, CHUNK_BYTES + 1, 3 * CHUNK_BYTES, 540_000] {
        for writing in [Writing::Unpaced, Writing::paced()] {
            let port = Forwarder::start(ForwarderConfig::new(writing)).await;
            let answer = port.get(size).await;
            assert_eq!((200, body(size)), (answer.status, answer.body));
            assert!(!answer.head.contains("transfer-encoding"), "{}", answer.head);
            port.wait_for_reports(1).await;
            tokio::time::sleep(Duration::from_millis(10)).await;
            let size = Bytes::new(size as u64);
            let expected = TransferReport { end: TransferEnd::Completed, sent: size, total: size };
            assert_eq!(vec![expected], port.reports());
        }
    }
}

/// Guards against large answers that fill the link without the pacer's permission.
#[tokio::test]
async fn paced_answer_waits_for_each_chunk() {
    let pacer = Arc::new(TestPacer::new(0));
    let port = Forwarder::start(ForwarderConfig::new(Writing::Paced(Arc::clone(&pacer)))).await;
    let mut caller = port.connect().await;
    caller.send(&[LARGE]).await;
    let head = caller.head().await.expect("a head");
    assert_eq!(LARGE, forwarder::declared_length(&head));
    for chunks in 1..4 {
        pacer.chunks.add_permits(1);
        let mut chunk = vec![0; CHUNK_BYTES];
        caller.stream.read_exact(&mut chunk).await.expect("a chunk");
        let more = tokio::time::timeout(Duration::from_millis(30), caller.stream.read_u8());
        assert!(more.await.is_err(), "more than {chunks} chunks");
        assert_eq!((chunks + 1) * CHUNK_BYTES, pacer.requested_bytes());
    }
    pacer.chunks.add_permits(1000);
    let mut rest = vec![0; LARGE - 3 * CHUNK_BYTES];
    caller.stream.read_exact(&mut rest).await.expect("the rest");
    assert_eq!(LARGE, pacer.requested_bytes());
    assert!((80..400).contains(&pacer.unpaced_bytes()), "{} bytes", pacer.unpaced_bytes());
}

/// Guards against a stopped caller that uses up what the pacer grants: at most one chunk is requested
/// that its connection has not taken.
#[tokio::test]
async fn stopped_caller_requests_no_further_chunk() {
    let pacer = Arc::new(TestPacer::unlimited());
    let port = Forwarder::start(ForwarderConfig::new(Writing::Paced(Arc::clone(&pacer)))).await;
    let mut caller = port.connect().await;
    caller.send(&[LARGE]).await;
    caller.head().await.expect("a head");
    tokio::time::sleep(SETTLE).await;
    let requested = Bytes::new(pacer.requested_bytes() as u64);
    drop(caller);
    port.wait_for_reports(1).await;
    let sent = port.reports()[0].sent;
    let chunk = CHUNK_BYTES as u64;
    assert!(requested.value() <= sent.value() + chunk, "{requested} requested, {sent} sent");
}

/// Guards against a pacer that plans without the bytes of small answers.
#[tokio::test]
async fn small_answers_are_recorded_without_waiting() {
    let pacer = Arc::new(TestPacer::new(0));
    let port = Forwarder::start(ForwarderConfig::new(Writing::Recorded(Arc::clone(&pacer)))).await;
    assert_eq!(body(5000), port.get(5000).await.body);
    assert_eq!(0, pacer.requested_bytes());
    assert!((5080..5400).contains(&pacer.unpaced_bytes()), "{} bytes", pacer.unpaced_bytes());
}

/// Guards against a transfer that is taken for idle or stalled while the pacer lets it wait.
#[tokio::test]
async fn waiting_for_pacer_is_no_stall() {
    let pacer = Arc::new(TestPacer::new(1));
    let config = ForwarderConfig::new(Writing::Paced(Arc::clone(&pacer)));
    let port = Forwarder::start(config.with_timeouts(Duration::from_millis(100))).await;
    let mut caller = port.connect().await;
    caller.send(&[LARGE]).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    pacer.chunks.add_permits(1000);
    assert_eq!(body(LARGE), caller.answer().await.expect("a complete answer").body);
    assert_eq!(0, port.control.stalled_connections());
}

/// Guards against an entry that stops or is killed in the middle of an answer: the caller must not
/// take the part that it has for the whole.
#[test]
fn stopped_process_never_completes_answer() {
    for writing in [Writing::Unpaced, Writing::paced()] {
        let server = tokio::runtime::Runtime::new().expect("a runtime");
        let port = server.block_on(Forwarder::start(ForwarderConfig::new(writing)));
        let callers = tokio::runtime::Runtime::new().expect("a runtime");
        let mut caller = callers.block_on(async {
            let mut caller = connect_to(port.address).await;
            caller.send(&[LARGE]).await;
            port.wait_for_written(1).await;
            tokio::time::sleep(SETTLE).await;
            caller
        });
        server.shutdown_timeout(Duration::from_secs(5));
        let error = callers.block_on(caller.answer()).err().expect("an incomplete answer");
        let kinds = [std::io::ErrorKind::UnexpectedEof, std::io::ErrorKind::ConnectionReset];
        assert!(kinds.contains(&error.kind()), "{error}");
        assert_eq!(vec![TransferEnd::Stopped], port.ends());
        assert_eq!(Bytes::new(0), port.budget.held());
    }
}

/// Guards against transfers that are cut when the entry stops accepting requests.
#[tokio::test]
async fn graceful_stop_completes_transfers() {
    for writing in all_writings() {
        let port = Forwarder::start(ForwarderConfig::new(writing)).await;
        let mut caller = port.connect().await;
        caller.send(&[LARGE]).await;
        caller.stream.readable().await.expect("readable");
        port.control.stop();
        let answer = caller.answer_slowly(256 * 1024, Duration::from_millis(20)).await;
        assert_eq!(body(LARGE), answer.expect("a complete answer"));
        wait_until("the port has stopped", || {
            port.has_ended.load(std::sync::atomic::Ordering::SeqCst)
        })
        .await;
    }
}

/// Guards against answers that overtake or corrupt a large one ahead of them on the connection.
#[tokio::test]
async fn pipelined_requests_are_answered_behind_large_answer() {
    for writing in all_writings() {
        let config = ForwarderConfig::new(writing).with_timeouts(Duration::from_millis(300));
        let port = Forwarder::start(config).await;
        let mut caller = port.connect().await;
        let sizes = [300_000, 5, 0, 70_000, 1];
        caller.send(&sizes).await;
        let first = caller.answer_slowly(32 * 1024, Duration::from_millis(50)).await;
        assert_eq!(body(sizes[0]), first.expect("the large answer"));
        for size in &sizes[1..] {
            assert_eq!(body(*size), caller.answer().await.expect("an answer").body);
        }
        wait_until("the budget is free", || port.budget.held() == Bytes::new(0)).await;
    }
}

/// Guards against a transfer that is cut off in favour of a new connection while its pacer lets it wait.
#[tokio::test]
async fn waiting_for_pacer_does_not_give_way() {
    let pacer = Arc::new(TestPacer::new(1));
    let config = ForwarderConfig::new(Writing::Paced(Arc::clone(&pacer))).with_connections_max(1);
    let port = Forwarder::start(config).await;
    let mut caller = port.connect().await;
    caller.send(&[LARGE]).await;
    caller.head().await.expect("a head");
    tokio::time::sleep(HELD_UP).await;
    let mut refused = port.connect().await;
    assert_eq!(0, refused.stream.read(&mut [0; 1]).await.unwrap_or(0));
    pacer.chunks.add_permits(LARGE);
    let mut answer = vec![0; LARGE];
    caller.stream.read_exact(&mut answer).await.expect("the whole answer");
}

/// Guards against an answer that nobody takes and that keeps new callers out.
#[tokio::test]
async fn untaken_answer_gives_way_to_a_new_connection() {
    let config = ForwarderConfig::new(Writing::Plain).with_connections_max(1);
    let port = Forwarder::start(config).await;
    let mut untaken = port.connect().await;
    untaken.send(&[LARGE]).await;
    port.wait_for_written(1).await;
    tokio::time::sleep(HELD_UP).await;
    assert_eq!(200, port.get(5000).await.status);
}
