//! One HTTP port: bounded connections, bounded waits, and a stop that cuts off no answer.

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
use crate::ahead::ReadAhead;
use crate::early::{ArrivedAt, Awaited, EarlyRequests};
use crate::presence::CallerConnection;
use crate::serve_config::ServeConfig;

/// Wait after a failed accept, which mostly means that the process is out of descriptors; without
/// it the loop would spin until one is free.
const ACCEPT_RETRY_WAIT: Duration = Duration::from_millis(20);

type AnyEndpoint = Arc<dyn DynEndpoint<Output = poem::Response>>;

/// When a port can't be served.
#[derive(Debug, Error)]
#[error("can't serve the port")]
pub struct ServeError(#[from] io::Error);

/// Watches and stops a port that is being served; clones act on the same port.
#[derive(Debug, Clone, Default)]
pub struct ServeControl {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    closing: AtomicBool,
    /// How often connections were asked to be made anew.
    renewals: AtomicU64,
    stop: CancellationToken,
    connections: AtomicUsize,
    in_flight: AtomicUsize,
}

impl ServeControl {
    /// Control of a port that is not served yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// From now on each HTTP/1 answer says `Connection: close`, so that callers which keep a
    /// connection open turn to another entry before this one stops. Requests that were begun behind
    /// the answered one are answered first.
    pub fn announce_close(&self) {
        self.shared.closing.store(true, Ordering::Relaxed);
    }

    /// Asks the callers of all connections that are open now to make new ones: the next answer on
    /// each says `Connection: close`, unless further requests wait behind it.
    ///
    /// A caller that keeps its connections stays with an entry for as long as that entry is named
    /// to it. When others of the named entries change, callers of those choose anew among all, so
    /// that the entry which stays ends up with more than its part.
    pub fn renew_connections(&self) {
        self.shared.renewals.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes no further connection or request, and lets those in flight end.
    pub fn stop(&self) {
        self.announce_close();
        self.shared.stop.cancel();
    }

    /// Connections open now.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Requests whose answer is not made yet.
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
/// poem's own server sets no limit on the time in which headers arrive, nor on their size, so
/// that slow senders could hold connections for ever; its endpoints run here on hyper directly.
///
/// # Errors
/// When the listener's address can't be read.
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

/// Tells from its head whether a request without a body may be begun before the one before it on
/// its connection is answered. Such a request may run although its answer is never sent, so that
/// only idempotent ones may.
pub type PipelineFn = Arc<dyn Fn(&http::request::Parts) -> bool + Send + Sync>;

/// Like [`serve`], and begins requests that wait behind another one on their connection. Answers
/// leave in the order of the requests all the same.
///
/// # Errors
/// As for [`serve`].
pub async fn serve_pipelined<E>(
    listener: TcpListener,
    endpoint: E,
    config: ServeConfig,
    control: ServeControl,
    early: PipelineFn,
) -> Result<(), ServeError>
where
    E: IntoEndpoint,
    E::Endpoint: 'static,
{
    let local = LocalAddr(Addr::SocketAddr(listener.local_addr()?));
    let endpoint: AnyEndpoint = Arc::new(ToDynEndpoint(endpoint.into_endpoint().map_to_response()));
    let slots = Arc::new(Semaphore::new(config.connections_max));
    let tasks = TaskTracker::new();
    let stop = control.shared.stop.clone();
    while let Some((stream, remote, slot)) = accept(&listener, &slots, &stop).await {
        let connection = Connection {
            endpoint: Arc::clone(&endpoint),
            local: local.clone(),
            remote,
            config,
            control: control.clone(),
            early: Arc::clone(&early),
            opened_after: control.renewals(),
            begun: Arc::new(EarlyRequests::default()),
        };
        tasks.spawn(connection.run(stream, slot));
    }
    drop(listener);
    tasks.close();
    tasks.wait().await;
    Ok(())
}

/// The next connection, once there is a slot for it; `None` after a stop.
async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
    stop: &CancellationToken,
) -> Option<(TcpStream, RemoteAddr, OwnedSemaphorePermit)> {
    let accepting = async {
        let slot = Arc::clone(slots).acquire_owned().await.ok()?;
        loop {
            match listener.accept().await {
                Ok((stream, address)) => {
                    return Some((stream, RemoteAddr(Addr::SocketAddr(address)), slot));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_WAIT).await,
            }
        }
    };
    tokio::select! {
        biased;
        () = stop.cancelled() => None,
        accepted = accepting => accepted,
    }
}

struct Connection {
    endpoint: AnyEndpoint,
    local: LocalAddr,
    remote: RemoteAddr,
    config: ServeConfig,
    control: ServeControl,
    early: PipelineFn,
    /// Renewals that were asked for before this connection was opened.
    opened_after: u64,
    begun: Arc<EarlyRequests>,
}

impl Connection {
    async fn run(self, stream: TcpStream, _slot: OwnedSemaphorePermit) {
        let _open = Counted::new(&self.control.shared, |shared| &shared.connections);
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let activity = Arc::new(Activity::new());
        let (stream, ahead) = ReadAhead::new(stream);
        let io = TokioIo::new(TrackedStream::new(stream, Arc::clone(&activity)));
        let presence = ahead.presence();
        let service = service_fn(|request| self.answer(request, &activity, &presence));
        let builder = builder(&self.config);
        let mut connection = pin!(builder.serve_connection(io, service));
        let ServeConfig { header_timeout, idle_timeout, .. } = self.config;
        let mut gone = pin!(self.caller_gone(&ahead, &activity));
        let idle = pin!(activity.idle_for(header_timeout, idle_timeout));
        tokio::select! {
            _ = connection.as_mut() => return,
            () = idle => return,
            () = gone.as_mut() => return,
            () = self.control.shared.stop.cancelled() => {}
        }
        connection.as_mut().graceful_shutdown();
        let idle = pin!(activity.idle_for(header_timeout, idle_timeout));
        tokio::select! {
            _ = connection => {}
            () = idle => {}
            () = gone => {}
        }
    }

    /// Reads ahead, and ends when the caller has left. What it has sent and nobody has begun is not
    /// begun any more.
    async fn caller_gone(&self, ahead: &ReadAhead, activity: &Activity) {
        let presence = ahead.presence();
        ahead.drive(|number, head| self.found_ahead(number, head, &presence)).await;
        if !activity.is_busy() && !ahead.holds_bytes() {
            // The library sees the end by itself.
            std::future::pending::<()>().await;
        }
    }

    fn found_ahead(&self, number: u64, head: http::request::Parts, presence: &CallerConnection) {
        self.begun.arrived(number);
        // Its answer would not be sent, although it had reached a target.
        if self.is_closing() || !(self.early)(&head) {
            return;
        }
        self.begun.begin(number, || {
            let endpoint = Arc::clone(&self.endpoint);
            let mut request = self.poem_request(http::Request::from_parts(head, ()));
            request.set_body(poem::Body::empty());
            request.extensions_mut().insert(presence.clone());
            tokio::spawn(respond(endpoint, request, presence.clone()))
        });
    }

    /// Whether the connection is closed as soon as nothing that was begun is unanswered.
    fn is_closing(&self) -> bool {
        self.control.is_closing() || self.control.renewals() > self.opened_after
    }

    fn poem_request(&self, request: http::Request<()>) -> poem::Request {
        let (head, ()) = request.into_parts();
        let mut builder = poem::Request::builder().method(head.method).uri(head.uri);
        builder = builder.version(head.version);
        let mut request = builder.finish();
        *request.headers_mut() = head.headers;
        request
    }

    fn answer(
        &self,
        request: http::Request<Incoming>,
        activity: &Arc<Activity>,
        presence: &CallerConnection,
    ) -> impl Future<Output = Result<http::Response<BoxBody<Bytes, io::Error>>, Infallible>> + Send + use<>
    {
        let endpoint = Arc::clone(&self.endpoint);
        let control = self.control.clone();
        let in_flight = Counted::new(&control.shared, |shared| &shared.in_flight);
        let busy = activity.begin();
        let version = request.version();
        let turn = self.begun.hand_over();
        let mut request = request;
        if let Some(arrived) = turn.arrived {
            request.extensions_mut().insert(ArrivedAt(arrived));
        }
        request.extensions_mut().insert(presence.clone());
        let presence = presence.clone();
        let request = (request, self.local.clone(), self.remote.clone(), Scheme::HTTP).into();
        let begun = turn.begun.map(Awaited);
        let (opened_after, waiting) = (self.opened_after, Arc::clone(&self.begun));
        async move {
            let mut response = match begun {
                Some(mut begun) => early_answer(&mut begun).await,
                None => respond(endpoint, request, presence).await,
            };
            let leaves = control.is_closing() && !waiting.any_begun();
            let renewed = control.renewals() > opened_after && !waiting.any();
            if (leaves || renewed) && version < Version::HTTP_2 {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            drop((in_flight, busy));
            Ok(response.into())
        }
    }
}

/// The endpoint's answer, unless nobody is there to take it.
async fn respond(
    endpoint: AnyEndpoint,
    request: poem::Request,
    presence: CallerConnection,
) -> poem::Response {
    if presence.is_closed() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    endpoint.get_response(request).await
}

async fn early_answer(begun: &mut Awaited) -> poem::Response {
    match (&mut begun.0).await {
        Ok(response) => response,
        // Its task has panicked; a request that the library hands over would end its connection.
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

/// Counts one more as long as it lives.
struct Counted {
    shared: Arc<Shared>,
    counter: fn(&Shared) -> &AtomicUsize,
}

impl Counted {
    fn new(shared: &Arc<Shared>, counter: fn(&Shared) -> &AtomicUsize) -> Self {
        counter(shared).fetch_add(1, Ordering::Relaxed);
        Self { shared: Arc::clone(shared), counter }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        (self.counter)(&self.shared).fetch_sub(1, Ordering::Relaxed);
    }
}
