//! Tests of the caller stand-in against a fake entry.
#![expect(clippy::unwrap_used, reason = "a failed helper fails its test")]

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::StatusCode;
use poem::web::{Data, Json};
use poem::{EndpointExt, Request, Response, Route, Server, get, handler};
use shallotfork_standin::caller::{Call, Caller, CallerConfig, EntriesAnswer, EntryAddress};
use shallotfork_types::{Endpoint, IdempotencyKey, ServiceName};
use tokio::net::TcpListener;

/// Answers of the fake entry to successive attempts, and the sessions that it received.
#[derive(Debug, Default)]
struct FakeEntry {
    statuses: Vec<StatusCode>,
    verdicts: Vec<&'static str>,
    sessions_issued: u32,
    sessions_received: Vec<String>,
    address: Option<Endpoint>,
}

type Shared = Arc<Mutex<FakeEntry>>;

#[handler]
fn entries(Data(shared): Data<&Shared>) -> Json<EntriesAnswer> {
    let mut fake = shared.lock().unwrap();
    fake.sessions_issued += 1;
    let address = fake.address.unwrap();
    Json(EntriesAnswer {
        entries: vec![EntryAddress { address, failure_domain: "boulder".parse().unwrap() }],
        keep_for_ms: 60_000,
        session: Some(format!("session-{}", fake.sessions_issued)),
    })
}

#[handler]
fn order(request: &Request, Data(shared): Data<&Shared>) -> Response {
    let mut fake = shared.lock().unwrap();
    let session = request.header("shallotfork-session").unwrap_or("none").to_owned();
    fake.sessions_received.push(session);
    let status = fake.statuses.remove(0);
    let verdict = fake.verdicts.remove(0);
    Response::builder().status(status).header("shallotfork-verdict", verdict).finish()
}

/// Returns the sessions that an order is sent with when its attempts end with `verdicts`.
async fn sessions_of_attempts(verdicts: &[&'static str]) -> Vec<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = Endpoint::new(listener.local_addr().unwrap());
    let statuses = verdicts.iter().map(|verdict| match *verdict {
        "ran" => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    });
    let fake = FakeEntry {
        statuses: statuses.collect(),
        verdicts: verdicts.to_vec(),
        address: Some(address),
        ..FakeEntry::default()
    };
    let shared: Shared = Arc::new(Mutex::new(fake));
    let acceptor = poem::listener::TcpAcceptor::from_tokio(listener).unwrap();
    let routes =
        Route::new().at("/v1/entries", get(entries)).at("/orders", order).data(shared.clone());
    tokio::spawn(Server::new_with_acceptor(acceptor).run(routes));
    let service: ServiceName = "order-desk".parse().unwrap();
    let key = IdempotencyKey::new("k1").unwrap();
    let call = Call::post(service, "/orders", key, Bytes::new());

    let report = Caller::new(CallerConfig::new(vec![address])).unwrap().call(&call).await.unwrap();

    assert!(report.success().is_some(), "{report:?}");
    shared.lock().unwrap().sessions_received.clone()
}

#[tokio::test]
async fn changes_session_after_verdict_not_run() {
    assert_eq!(["session-1", "session-2"], sessions_of_attempts(&["not-run", "ran"]).await[..]);
}

/// Guards against running an order twice: its first attempt may have run, the second is rejected
/// before it starts, and under a new session the third would count as a different order.
#[tokio::test]
async fn keeps_session_when_order_may_have_run() {
    let sent = sessions_of_attempts(&["may-have-run", "not-run", "ran"]).await;
    assert_eq!(["session-1", "session-1", "session-1"], sent[..]);
}
