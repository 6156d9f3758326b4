//! HTTP interfaces of the platform stand-in.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::StatusCode;
use http::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use poem::web::{Data, Json, Path, Query};
use poem::{Body, EndpointExt, IntoResponse, Request, Response, Route, Server, get, handler, post};
use serde::{Deserialize, Serialize};
use shallotfork_types::{Endpoint, Revision};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout_at;

use super::calls::{CallCounter, CallCounts};
use super::config::PlatformConfig;
use super::control::{Fault, PlatformControl, ReplicaFault};
use super::replica::{Changes, Replica, ReplicaMode};
use super::store::Store;
use crate::net::{ConnectionFaults, ConnectionState, FaultyAcceptor};

/// Maximum wait of a long poll, even if the reader requests a longer one.
const WAIT_MAX: Duration = Duration::from_secs(60);
/// Header that carries the revision of a single value.
const REVISION_HEADER: &str = "shallotfork-revision";

/// A platform stand-in that runs in the background of this process.
#[derive(Debug)]
pub struct RunningPlatform {
    /// Addresses of the replicas.
    pub replicas: Vec<Endpoint>,
    /// Control address, on which operators publish and tests set faults.
    pub control: Endpoint,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    serving: Vec<JoinHandle<io::Result<()>>>,
}

impl RunningPlatform {
    /// Answers waiting readers with the changes so far, finishes requests in flight and stops.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        self.shared.lock().is_stopping = true;
        self.shared.changed.send_replace(());
        for serving in self.serving {
            // A replica that failed has no requests in flight.
            let _ = serving.await;
        }
    }
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    replicas: Vec<Replica>,
    calls: CallCounter,
    delays: BTreeMap<String, Duration>,
    is_stopping: bool,
}

/// State shared by all replicas; the `changed` channel wakes waiting readers.
#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<()>,
    connections: Vec<ConnectionState>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Context of the handlers of one replica.
#[derive(Debug, Clone)]
struct ReplicaContext {
    shared: Arc<Shared>,
    replica: usize,
}

/// Starts all replicas and the control server on loopback ports chosen by the kernel.
///
/// # Errors
/// Returns an error if a port cannot be bound.
pub async fn serve_platform(config: PlatformConfig) -> io::Result<RunningPlatform> {
    let shared = Arc::new(Shared {
        state: Mutex::new(State {
            replicas: vec![Replica::default(); config.replicas],
            ..State::default()
        }),
        changed: watch::Sender::new(()),
        connections: (0..config.replicas).map(|_| ConnectionState::new()).collect(),
    });
    let (stop, stopped) = watch::channel(false);
    let mut replicas = Vec::new();
    let mut serving = Vec::new();
    for replica in 0..config.replicas {
        let started = serve_replica(&shared, replica, stopped.clone()).await?;
        replicas.push(started.address);
        serving.push(started.serving);
    }
    let control = serve_control(&shared).await?;
    Ok(RunningPlatform { replicas, control, shared, stop, serving })
}

#[derive(Debug)]
struct StartedReplica {
    address: Endpoint,
    serving: JoinHandle<io::Result<()>>,
}

async fn serve_replica(
    shared: &Arc<Shared>,
    replica: usize,
    mut stopped: watch::Receiver<bool>,
) -> io::Result<StartedReplica> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = Endpoint::new(listener.local_addr()?);
    let connections = shared.connections[replica].clone();
    let acceptor = FaultyAcceptor::new(listener, connections, None)?;
    let context = ReplicaContext { shared: shared.clone(), replica };
    let routes = Route::new()
        .at("/v1/changes", get(changes))
        .at("/v1/values/:name", get(read_value))
        .data(context);
    let server = Server::new_with_acceptor(acceptor);
    let stop_signal = async move {
        // Dropping the sender also stops the replica.
        let _ = stopped.wait_for(|stop| *stop).await;
    };
    let serving = tokio::spawn(server.run_with_graceful_shutdown(routes, stop_signal, None));
    Ok(StartedReplica { address, serving })
}

async fn serve_control(shared: &Arc<Shared>) -> io::Result<Endpoint> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = Endpoint::new(listener.local_addr()?);
    let acceptor = FaultyAcceptor::new(listener, ConnectionState::new(), None)?;
    let routes = Route::new()
        .at("/v1/values/:name", poem::put(publish))
        .at("/control", post(set_control))
        .at("/counts", get(counts))
        .data(shared.clone());
    tokio::spawn(Server::new_with_acceptor(acceptor).run(routes));
    Ok(address)
}

#[derive(Debug, Deserialize)]
struct ChangesQuery {
    #[serde(default)]
    after: Revision,
    #[serde(default)]
    wait_ms: u64,
    #[serde(default)]
    prefix: String,
}

#[handler]
async fn changes(
    request: &Request,
    Query(query): Query<ChangesQuery>,
    Data(context): Data<&ReplicaContext>,
) -> Json<Changes> {
    context.record_call(request, true);
    context.wait_while_hanging().await;
    let wait = Duration::from_millis(query.wait_ms).min(WAIT_MAX);
    let answer = context.wait_for_changes(&query, wait).await;
    let size_bytes = answer.values.iter().map(|value| value.content.len() as u64).sum();
    context.shared.lock().calls.record_sent(size_bytes);
    Json(answer)
}

#[handler]
async fn read_value(
    request: &Request,
    Path(name): Path<String>,
    Data(context): Data<&ReplicaContext>,
) -> Response {
    context.record_call(request, false);
    context.wait_while_hanging().await;
    let mut state = context.shared.lock();
    let Some(value) = state.replicas[context.replica].value(&state.store, &name) else {
        return StatusCode::NOT_FOUND.into();
    };
    let etag = format!("\"{}\"", value.revision);
    if request.header(IF_NONE_MATCH) == Some(etag.as_str()) {
        return Response::builder().status(StatusCode::NOT_MODIFIED).header(ETAG, etag).finish();
    }
    state.calls.record_sent(value.content.len() as u64);
    Response::builder()
        .header(ETAG, etag)
        .header(REVISION_HEADER, value.revision.to_string())
        .body(value.content)
}

impl ReplicaContext {
    fn record_call(&self, request: &Request, is_watch: bool) {
        let source = source_of(request);
        self.shared.lock().calls.record_call(source, is_watch, Instant::now());
    }

    /// Waits as long as the replica is hanging.
    async fn wait_while_hanging(&self) {
        let mut changed = self.shared.changed.subscribe();
        while self.is_hanging() {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    fn is_hanging(&self) -> bool {
        let state = self.shared.lock();
        !state.is_stopping && state.replicas[self.replica].mode == ReplicaMode::Hanging
    }

    /// Returns the changes as soon as there are any after the requested revision, or an empty
    /// answer once `wait` is over.
    ///
    /// A reader that knows a higher revision than the replica is answered only at the end of its
    /// wait, because like a real service the replica has nothing new for it.
    async fn wait_for_changes(&self, query: &ChangesQuery, wait: Duration) -> Changes {
        let mut changed = self.shared.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let answer = self.changes_now(query);
            if !answer.values.is_empty() || self.must_answer_now() {
                return answer;
            }
            if !matches!(timeout_at(deadline, changed.changed()).await, Ok(Ok(()))) {
                return self.changes_now(query);
            }
            self.wait_while_hanging().await;
        }
    }

    /// Returns whether waiting readers must be answered even without changes.
    ///
    /// This is so at a replica that went down, where the connection is cut when the answer is
    /// written, and at a platform that stops, where the reader gets a complete answer.
    fn must_answer_now(&self) -> bool {
        let state = self.shared.lock();
        state.is_stopping || state.replicas[self.replica].mode == ReplicaMode::Down
    }

    fn changes_now(&self, query: &ChangesQuery) -> Changes {
        let state = self.shared.lock();
        state.replicas[self.replica].changes(&state.store, query.after, &query.prefix)
    }
}

fn source_of(request: &Request) -> Option<SocketAddr> {
    request.remote_addr().as_socket_addr().copied()
}

/// Answer to a publication.
#[derive(Debug, Serialize)]
struct PublishAnswer {
    revision: Revision,
}

#[handler]
async fn publish(
    request: &Request,
    Path(name): Path<String>,
    body: Body,
    Data(shared): Data<&Arc<Shared>>,
) -> poem::Result<Response> {
    let content = body.into_string().await?;
    let expected = expected_revision(request)?;
    let delay = shared.lock().delays.get(&name).copied();
    if let Some(delay) = delay {
        publish_later(shared.clone(), name, content, delay);
        return Ok(StatusCode::ACCEPTED.into());
    }
    let published = shared.lock().store.publish(&name, content, expected);
    shared.changed.send_replace(());
    let (status, revision) = match published {
        Ok(revision) => (StatusCode::OK, revision),
        Err(mismatch) => (StatusCode::PRECONDITION_FAILED, mismatch.current),
    };
    let answer = Json(PublishAnswer { revision });
    Ok(answer.with_status(status).into_response())
}

fn expected_revision(request: &Request) -> poem::Result<Option<Revision>> {
    let Some(text) = request.header(IF_MATCH) else {
        return Ok(None);
    };
    let revision = text.trim_matches('"').parse();
    let revision = revision.map_err(|_| poem::Error::from_status(StatusCode::BAD_REQUEST))?;
    Ok(Some(revision))
}

fn publish_later(shared: Arc<Shared>, name: String, content: String, delay: Duration) {
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        // Publishing without an expected revision cannot fail.
        let _ = shared.lock().store.publish(&name, content, None);
        shared.changed.send_replace(());
    });
}

#[handler]
async fn set_control(Json(message): Json<PlatformControl>, Data(shared): Data<&Arc<Shared>>) {
    match message {
        PlatformControl::Fault(fault) => set_fault(shared, &fault),
        PlatformControl::RollBack(rollback) => shared.lock().store.roll_back(rollback.revision),
        PlatformControl::Delay(delay) => {
            let wait = Duration::from_millis(delay.delay_ms);
            shared.lock().delays.insert(delay.name, wait);
        }
        PlatformControl::ResetCounts => shared.lock().calls = CallCounter::default(),
    }
    shared.changed.send_replace(());
}

fn set_fault(shared: &Shared, fault: &ReplicaFault) {
    let mut state = shared.lock();
    for (index, replica) in state.replicas.iter_mut().enumerate() {
        if fault.replica.is_some_and(|selected| selected != index) {
            continue;
        }
        match &fault.fault {
            Fault::Mode(mode) => replica.mode = *mode,
            Fault::Conflict { name, content } => {
                replica.add_conflict(name.clone(), content.clone());
            }
            Fault::NoConflicts => replica.clear_conflicts(),
        }
        let refuse = replica.mode == ReplicaMode::Down;
        let faults = ConnectionFaults { refuse, ..ConnectionFaults::default() };
        shared.connections[index].set_faults(faults);
    }
}

#[handler]
async fn counts(Data(shared): Data<&Arc<Shared>>) -> Json<CallCounts> {
    Json(shared.lock().calls.counts(Instant::now()))
}
