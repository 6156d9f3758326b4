//! The caller stand-in against an entry played by the test.
#![expect(clippy::unwrap_used, reason = "a failed helper fails its test")]

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::StatusCode;
use poem::web::{Data, Json};
use poem::{EndpointExt, Request, Response, Route, Server, get, handler};
use shallotfork_standin::caller::{Call, Caller, CallerConfig, EntriesAnswer, EntryAddress};
use shallotfork_types::{Endpoint, IdempotencyKey, ServiceName};
use tokio::net::TcpListener;

/// What the played entry answers to the sends, one after the other, and what it saw.
#[derive(Debug, Default)]
struct Script {
    statuses: Vec<StatusCode>,
    verdicts: Vec<&'static str>,
    sessions_issued: u32,
    sessions_seen: Vec<String>,
    address: Option<Endpoint>,
}

type Shared = Arc<Mutex<Script>>;

#[handler]
fn entries(Data(shared): Data<&Shared>) -> Json<EntriesAnswer> {
    let mut script = shared.lock().unwrap();
    script.sessions_issued += 1;
    let address = script.address.unwrap();
    Json(EntriesAnswer {
        entries: vec![EntryAddress { address, failure_domain: "boulder".parse().unwrap() }],
        keep_for_ms: 60_000,
        session: Some(format!("session-{}", script.sessions_issued)),
    })
}

#[handler]
fn order(request: &Request, Data(shared): Data<&Shared>) -> Response {
    let mut script = shared.lock().unwrap();
    let session = request.header("shallotfork-session").unwrap_or("none").to_owned();
    script.sessions_seen.push(session);
    let status = script.statuses.remove(0);
    let verdict = script.verdicts.remove(0);
    Response::builder().status(status).header("shallotfork-verdict", verdict).finish()
}

/// Sessions that an order is sent with when its sends end with these verdicts.
async fn sessions_sent(verdicts: &[&'static str]) -> Vec<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = Endpoint::new(listener.local_addr().unwrap());
    let statuses = verdicts.iter().map(|verdict| match *verdict {
        "ran" => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    });
    let script = Script {
        statuses: statuses.collect(),
        verdicts: verdicts.to_vec(),
        address: Some(address),
        ..Script::default()
    };
    let shared: Shared = Arc::new(Mutex::new(script));
    let acceptor = poem::listener::TcpAcceptor::from_tokio(listener).unwrap();
    let routes =
        Route::new().at("/v1/entries", get(entries)).at("/orders", order).data(shared.clone());
    tokio::spawn(Server::new_with_acceptor(acceptor).run(routes));
    let service: ServiceName = "order-desk".parse().unwrap();
    let key = IdempotencyKey::new("k1").unwrap();
    let call = Call::post(service, "/orders", key, Bytes::new());

    let report = Caller::new(CallerConfig::new(vec![address])).unwrap().call(&call).await.unwrap();

    assert!(report.success().is_some(), "{report:?}");
    shared.lock().unwrap().sessions_seen.clone()
}

#[tokio::test]
async fn takes_a_new_session_once_nothing_can_have_run() {
    assert_eq!(["session-1", "session-2"], sessions_sent(&["not-run", "ran"]).await[..]);
}

/// An order may have run at its first send; the second is refused before it starts. Under a new
/// session the order would be another one, and run twice.
#[tokio::test]
async fn stays_with_its_session_once_the_order_may_have_run() {
    let sent = sessions_sent(&["may-have-run", "not-run", "ran"]).await;
    assert_eq!(["session-1", "session-1", "session-1"], sent[..]);
}
