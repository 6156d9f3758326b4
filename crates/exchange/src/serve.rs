//! Serves an HTTP port with limits on connections and timeouts, and with a graceful stop.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::uri::Scheme;
use http::{StatusCode, Version};
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use poem::endpoint::{DynEndpoint, ToDynEndpoint};
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Addr, Endpoint, EndpointExt, IntoEndpoint, IntoResponse};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::activity::{Activity, TrackedStream};
use crate::caller_connection::CallerConnection;
use crate::pipeline::{AbortOnDrop, ArrivedAt, PipelinedRequests};
use crate::read_ahead::ReadAhead;
use crate::serve_config::ServeConfig;

/// Delay after a failed accept, which mostly means that the process is out of file descriptors.
/// Without the delay the loop would spin until one is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

type AnyEndpoint = Arc<dyn DynEndpoint<Output = poem::Response>>;

/// Failure to serve a port.
#[derive(Debug, Error)]
#[error("can't serve the port")]
pub struct ServeError(#[from] io::Error);

/// Monitors and stops a served port; clones refer to the same port.
#[derive(Debug, Clone, Default)]
pub struct ServeControl {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    closing: AtomicBool,
    /// Number of calls to [`ServeControl::renew_connections`].
    renewals: AtomicU64,
    stop: CancellationToken,
    connections: AtomicUsize,
    in_flight: AtomicUsize,
}

impl ServeControl {
    /// Creates the control of a port that is not served yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds `Connection: close` to HTTP/1 answers from now on, so that callers with open
    /// connections move to another entry before this one stops. Pipelined requests that have
    /// already started are answered first.
    pub fn announce_close(&self) {
        self.shared.closing.store(true, Ordering::Relaxed);
    }

    /// Makes callers replace all connections that are open now: the next HTTP/1 answer on each has
    /// `Connection: close`, unless further requests wait behind it.
    ///
    /// A caller with an open connection stays with its entry as long as that entry is advertised to
    /// it. When other advertised entries change, their callers choose again among all entries, and
    /// the unchanged entry would end up with more than its share of callers.
    pub fn renew_connections(&self) {
        self.shared.renewals.fetch_add(1, Ordering::Relaxed);
    }

    /// Stops accepting connections and requests; requests in flight are completed.
    pub fn stop(&self) {
        self.announce_close();
        self.shared.stop.cancel();
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Returns the number of requests whose answer is not ready yet.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::Relaxed)
    }

    fn is_closing(&self) -> bool {
        self.shared.closing.load(Ordering::Relaxed)
    }

    fn renewals(&self) -> u64 {
        self.shared.renewals.load(Ordering::Relaxed)
    }
}

/// Serves HTTP/1.1 and HTTP/2 on `listener` until stopped and all connections have ended.
///
/// poem's endpoints run directly on hyper, because poem's own server limits neither the time for
/// receiving headers nor their size, and slow senders could occupy connections forever.
///
/// # Errors
/// If the listener's address can't be read.
pub async fn serve<E>(
    listener: TcpListener,
    endpoint: E,
    config: ServeConfig,
    control: ServeControl,
) -> Result<(), ServeError>
where
    E: IntoEndpoint,
    E::Endpoint: 'static,
{
    serve_pipelined(listener, endpoint, config, control, Arc::new(|_| false)).await
}

/// Decides from its head whether a request without a body may start before the previous request on
/// its connection is answered.
///
/// Such a request may run although its answer is never sent, so only idempotent ones may start.
pub type PipelineFn = Arc<dyn Fn(&http::request::Parts) -> bool + Send + Sync>;

/// Like [`serve`], but starts pipelined requests before their turn if `may_start_early` allows it.
/// Answers are still sent in the order of the requests.
///
/// # Errors
/// If the listener's address can't be read.
pub async fn serve_pipelined<E>(
    listener: TcpListener,
    endpoint: E,
    config: ServeConfig,
    control: ServeControl,
    may_start_early: PipelineFn,
) -> Result<(), ServeError>
where
    E: IntoEndpoint,
    E::Endpoint: 'static,
{
    let local = LocalAddr(Addr::SocketAddr(listener.local_addr()?));
    let endpoint: AnyEndpoint = Arc::new(ToDynEndpoint(endpoint.into_endpoint().map_to_response()));
    let permits = Arc::new(Semaphore::new(config.connections_max));
    let tasks = TaskTracker::new();
    let stop = control.shared.stop.clone();
    while let Some((stream, remote, permit)) = accept(&listener, &permits, &stop).await {
        let connection = Connection {
            endpoint: Arc::clone(&endpoint),
            local: local.clone(),
            remote,
            config,
            control: control.clone(),
            may_start_early: Arc::clone(&may_start_early),
            renewals_at_open: control.renewals(),
            pipelined: Arc::new(PipelinedRequests::default()),
        };
        tasks.spawn(connection.run(stream, permit));
    }
    drop(listener);
    tasks.close();
    tasks.wait().await;
    Ok(())
}

/// Accepts the next connection once the connection limit permits it; returns `None` after a stop.
async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
    stop: &CancellationToken,
) -> Option<(TcpStream, RemoteAddr, OwnedSemaphorePermit)> {
    let accept_next = async {
        let permit = Arc::clone(permits).acquire_owned().await.ok()?;
        loop {
            match listener.accept().await {
                Ok((stream, address)) => {
                    return Some((stream, RemoteAddr(Addr::SocketAddr(address)), permit));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    };
    tokio::select! {
        biased;
        () = stop.cancelled() => None,
        accepted = accept_next => accepted,
    }
}

struct Connection {
    endpoint: AnyEndpoint,
    local: LocalAddr,
    remote: RemoteAddr,
    config: ServeConfig,
    control: ServeControl,
    may_start_early: PipelineFn,
    /// Value of the renewal counter when this connection was opened.
    renewals_at_open: u64,
    pipelined: Arc<PipelinedRequests>,
}

impl Connection {
    async fn run(self, stream: TcpStream, _permit: OwnedSemaphorePermit) {
        let _open_connection = CountGuard::new(&self.control.shared, |shared| &shared.connections);
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let activity = Arc::new(Activity::new());
        let (stream, read_ahead) = ReadAhead::new(stream);
        let io = TokioIo::new(TrackedStream::new(stream, Arc::clone(&activity)));
        let caller = read_ahead.caller_connection();
        let service = service_fn(|request| self.handle(request, &activity, &caller));
        let builder = builder(&self.config);
        let mut connection = pin!(builder.serve_connection(io, service));
        let ServeConfig { header_timeout, idle_timeout, .. } = self.config;
        let mut disconnect = pin!(self.wait_for_disconnect(&read_ahead, &activity));
        let idle = pin!(activity.wait_until_idle(header_timeout, idle_timeout));
        tokio::select! {
            _ = connection.as_mut() => return,
            () = idle => return,
            () = disconnect.as_mut() => return,
            () = self.control.shared.stop.cancelled() => {}
        }
        connection.as_mut().graceful_shutdown();
        let idle = pin!(activity.wait_until_idle(header_timeout, idle_timeout));
        tokio::select! {
            _ = connection => {}
            () = idle => {}
            () = disconnect => {}
        }
    }

    /// Reads ahead until the caller has disconnected, after which none of its remaining requests is
    /// started.
    async fn wait_for_disconnect(&self, read_ahead: &ReadAhead, activity: &Activity) {
        let caller = read_ahead.caller_connection();
        read_ahead.drive(|index, head| self.handle_pipelined_head(index, head, &caller)).await;
        if !activity.is_busy() && !read_ahead.has_buffered_bytes() {
            // The HTTP library detects the end of the connection by itself.
            std::future::pending::<()>().await;
        }
    }

    fn handle_pipelined_head(
        &self,
        index: u64,
        head: http::request::Parts,
        caller: &CallerConnection,
    ) {
        self.pipelined.record_arrival(index);
        // On a closing connection the request would reach a target, but its answer would be lost.
        if self.is_closing() || !(self.may_start_early)(&head) {
            return;
        }
        self.pipelined.start(index, || {
            let endpoint = Arc::clone(&self.endpoint);
            let mut request = self.poem_request(http::Request::from_parts(head, ()));
            request.set_body(poem::Body::empty());
            request.extensions_mut().insert(caller.clone());
            tokio::spawn(respond(endpoint, request, caller.clone()))
        });
    }

    /// Returns whether the connection closes once every started request has been answered.
    fn is_closing(&self) -> bool {
        self.control.is_closing() || self.control.renewals() > self.renewals_at_open
    }

    fn poem_request(&self, request: http::Request<()>) -> poem::Request {
        let (head, ()) = request.into_parts();
        let mut builder = poem::Request::builder().method(head.method).uri(head.uri);
        builder = builder.version(head.version);
        let mut request = builder.finish();
        *request.headers_mut() = head.headers;
        request
    }

    fn handle(
        &self,
        request: http::Request<Incoming>,
        activity: &Arc<Activity>,
        caller: &CallerConnection,
    ) -> impl Future<Output = Result<http::Response<BoxBody<Bytes, io::Error>>, Infallible>> + Send + use<>
    {
        let endpoint = Arc::clone(&self.endpoint);
        let control = self.control.clone();
        let in_flight = CountGuard::new(&control.shared, |shared| &shared.in_flight);
        let in_progress = activity.start_request();
        let version = request.version();
        let dispatched = self.pipelined.dispatch_next();
        let mut request = request;
        if let Some(arrived_at) = dispatched.arrived_at {
            request.extensions_mut().insert(ArrivedAt(arrived_at));
        }
        request.extensions_mut().insert(caller.clone());
        let caller = caller.clone();
        let request = (request, self.local.clone(), self.remote.clone(), Scheme::HTTP).into();
        let started = dispatched.started.map(AbortOnDrop);
        let (renewals_at_open, pipelined) = (self.renewals_at_open, Arc::clone(&self.pipelined));
        async move {
            let mut response = match started {
                Some(mut started) => started_answer(&mut started).await,
                None => respond(endpoint, request, caller).await,
            };
            let is_close_due = control.is_closing() && !pipelined.has_started();
            let is_renewal_due = control.renewals() > renewals_at_open && !pipelined.has_waiting();
            if (is_close_due || is_renewal_due) && version < Version::HTTP_2 {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            drop((in_flight, in_progress));
            Ok(response.into())
        }
    }
}

/// Runs the endpoint, unless the caller has disconnected.
async fn respond(
    endpoint: AnyEndpoint,
    request: poem::Request,
    caller: CallerConnection,
) -> poem::Response {
    if caller.is_closed() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    endpoint.get_response(request).await
}

async fn started_answer(task: &mut AbortOnDrop) -> poem::Response {
    match (&mut task.0).await {
        Ok(response) => response,
        // The task has panicked. Without its own task, the panic would end the connection.
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

fn builder(config: &ServeConfig) -> auto::Builder<TokioExecutor> {
    let header_max = usize::try_from(config.header_max.value()).unwrap_or(usize::MAX);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(config.header_timeout)
        .max_buf_size(header_max);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(config.streams_max)
        .max_header_list_size(u32::try_from(header_max).unwrap_or(u32::MAX));
    builder
}

/// Increments a counter until it is dropped.
struct CountGuard {
    shared: Arc<Shared>,
    counter: fn(&Shared) -> &AtomicUsize,
}

impl CountGuard {
    fn new(shared: &Arc<Shared>, counter: fn(&Shared) -> &AtomicUsize) -> Self {
        counter(shared).fetch_add(1, Ordering::Relaxed);
        Self { shared: Arc::clone(shared), counter }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.counter)(&self.shared).fetch_sub(1, Ordering::Relaxed);
    }
}
