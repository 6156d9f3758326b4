//! HTTP/2 connections that close after every possible byte, in both directions.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use http::Method;
use poem::endpoint::make;
use poem::{Request, Response};
use shallotfork_exchange::{
    AttemptFailure, BufferedAnswer, Exchange, ServeConfig, ServeControl, TargetAddress, serve,
};
use shallotfork_types::{Endpoint, Verdict};
use support::{RawTarget, RequestBuilder, exchange};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};

const ORDER: &[u8] = b"{\"drums\":2}";
const ANSWER: &str = "milled: 2 drums";
/// More bytes than any request or answer of these tests takes in one direction.
const BYTES_MAX: u64 = 4000;

/// The direction in which a relay closes a connection, and after how many bytes.
#[derive(Debug, Clone, Copy)]
enum Cut {
    ToTarget(u64),
    ToCaller(u64),
}

/// A target that counts the complete orders that it receives.
struct CountingTarget {
    endpoint: Endpoint,
    runs: Arc<AtomicUsize>,
}

impl CountingTarget {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let endpoint = Endpoint::new(listener.local_addr().expect("address"));
        let runs = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&runs);
        let endpoint_fn = make(move |mut request: Request| {
            let counted = Arc::clone(&counted);
            async move {
                if request.take_body().into_bytes().await.is_ok_and(|body| body == ORDER) {
                    counted.fetch_add(1, Ordering::SeqCst);
                }
                Response::builder().body(ANSWER)
            }
        });
        tokio::spawn(serve(listener, endpoint_fn, ServeConfig::default(), ServeControl::new()));
        Self { endpoint, runs }
    }

    /// Returns the number of runs, after an order of its own has been answered.
    async fn settled_runs(&self) -> usize {
        send_order(&exchange(), TargetAddress::new(self.endpoint)).await.expect("an answer");
        self.runs.load(Ordering::SeqCst) - 1
    }

    /// Starts a relay that closes each of its connections after the bytes given by `cut`.
    async fn relay(&self, cut: Cut) -> RawTarget {
        let address = self.endpoint.address();
        RawTarget::start(move |_, connection| async move {
            let target = TcpStream::connect(address).await.expect("connect");
            let (from_target, mut to_target) = target.into_split();
            let (from_caller, mut to_caller) = connection.stream.into_split();
            let (up, down) = match cut {
                Cut::ToTarget(bytes) => (bytes, u64::MAX),
                Cut::ToCaller(bytes) => (u64::MAX, bytes),
            };
            let (mut from_caller, mut from_target) = (from_caller.take(up), from_target.take(down));
            tokio::select! {
                _ = copy(&mut from_caller, &mut to_target) => {}
                _ = copy(&mut from_target, &mut to_caller) => {}
            }
            let _ended = to_caller.shutdown().await;
        })
        .await
    }
}

async fn send_order(
    exchange: &Exchange,
    address: TargetAddress,
) -> Result<BufferedAnswer, AttemptFailure> {
    let request = RequestBuilder::new(Method::POST).with_body(ORDER);
    exchange.send(request.attempt(address.with_http2(true))).await
}

/// Guards against a duplicate run, a truncated answer or a wrong "not run" verdict when an HTTP/2
/// connection ends at any byte of a request or answer. The HTTP library must not retry on a new
/// connection.
#[tokio::test]
async fn truncated_http2_connection_has_correct_verdict_and_no_retry() {
    for direction in [Cut::ToTarget, Cut::ToCaller] {
        let mut is_complete = false;
        for bytes in 0..BYTES_MAX {
            let target = CountingTarget::start().await;
            let relay = target.relay(direction(bytes)).await;

            let actual = send_order(&exchange(), relay.target()).await;

            relay.closed().await;
            let runs = target.settled_runs().await;
            let cut = direction(bytes);
            assert_eq!(1, relay.stats.connections(), "{cut:?}");
            is_complete = actual.is_ok();
            match actual {
                Ok(answer) => assert_eq!((ANSWER.as_bytes(), 1), (&answer.body[..], runs)),
                Err(failure) if failure.verdict() == Verdict::NotRun => {
                    assert_eq!(0, runs, "{cut:?}")
                }
                Err(_) => assert!(runs <= 1, "{cut:?}"),
            }
            if is_complete {
                break;
            }
        }
        assert!(is_complete, "no exchange came through");
    }
}
