//! HTTP/2 connections that are cut at every byte, in both directions.

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
/// More bytes than any exchange of these tests takes in one direction.
const BYTES_MAX: u64 = 4000;

/// Where a relay cuts a connection.
#[derive(Debug, Clone, Copy)]
enum Cut {
    ToTarget(u64),
    ToCaller(u64),
}

/// A target that counts the orders that came whole.
struct Mill {
    endpoint: Endpoint,
    runs: Arc<AtomicUsize>,
}

impl Mill {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let endpoint = Endpoint::new(listener.local_addr().expect("address"));
        let runs = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&runs);
        let mill = make(move |mut request: Request| {
            let counted = Arc::clone(&counted);
            async move {
                if request.take_body().into_bytes().await.is_ok_and(|body| body == ORDER) {
                    counted.fetch_add(1, Ordering::SeqCst);
                }
                Response::builder().body(ANSWER)
            }
        });
        tokio::spawn(serve(listener, mill, ServeConfig::default(), ServeControl::new()));
        Self { endpoint, runs }
    }

    /// Runs so far, once everything that came before an order of its own has been worked off.
    async fn settled_runs(&self) -> usize {
        order(&exchange(), TargetAddress::new(self.endpoint)).await.expect("an answer");
        self.runs.load(Ordering::SeqCst) - 1
    }

    /// A relay that cuts each connection through it.
    async fn relay(&self, cut: Cut) -> RawTarget {
        let mill = self.endpoint.address();
        RawTarget::start(move |_, wire| async move {
            let mill = TcpStream::connect(mill).await.expect("connect");
            let (from_mill, mut to_mill) = mill.into_split();
            let (from_caller, mut to_caller) = wire.stream.into_split();
            let (up, down) = match cut {
                Cut::ToTarget(bytes) => (bytes, u64::MAX),
                Cut::ToCaller(bytes) => (u64::MAX, bytes),
            };
            let (mut from_caller, mut from_mill) = (from_caller.take(up), from_mill.take(down));
            tokio::select! {
                _ = copy(&mut from_caller, &mut to_mill) => {}
                _ = copy(&mut from_mill, &mut to_caller) => {}
            }
            let _ended = to_caller.shutdown().await;
        })
        .await
    }
}

async fn order(exchange: &Exchange, at: TargetAddress) -> Result<BufferedAnswer, AttemptFailure> {
    let order = RequestBuilder::new(Method::POST).with_body(ORDER);
    exchange.send(order.attempt(at.with_http2(true))).await
}

/// An order travels over HTTP/2 and the connection ends at some byte, on the way there or back.
/// A library that opens another connection by itself mills it twice; half an answer, or "not
/// run" of an order that ran, is as bad.
#[tokio::test]
async fn an_http2_connection_cut_at_any_byte_is_told_truly_and_not_replaced() {
    for direction in [Cut::ToTarget, Cut::ToCaller] {
        let mut is_whole = false;
        for bytes in 0..BYTES_MAX {
            let mill = Mill::start().await;
            let relay = mill.relay(direction(bytes)).await;

            let actual = order(&exchange(), relay.target()).await;

            relay.closed().await;
            let runs = mill.settled_runs().await;
            let cut = direction(bytes);
            assert_eq!(1, relay.seen.connections(), "{cut:?}");
            is_whole = actual.is_ok();
            match actual {
                Ok(answer) => assert_eq!((ANSWER.as_bytes(), 1), (&answer.body[..], runs)),
                Err(failure) if failure.verdict() == Verdict::NotRun => {
                    assert_eq!(0, runs, "{cut:?}")
                }
                Err(_) => assert!(runs <= 1, "{cut:?}"),
            }
            if is_whole {
                break;
            }
        }
        assert!(is_whole, "no exchange came through");
    }
}
