//! One connection of a caller.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONNECTION, HeaderValue};
use http::uri::Scheme;
use http::{StatusCode, Version};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use poem::endpoint::DynEndpoint;
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Endpoint, IntoResponse};
use rustix::net::sockopt::set_socket_send_buffer_size;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::activity::Activity;
use crate::answer_transfer::TransferEnd;
use crate::caller_connection::CallerConnection;
use crate::connection_memory::ConnectionMemory;
use crate::delivered_body::DeliveredBody;
use crate::head_timer::HeadTimer;
use crate::headers::head_size;
use crate::pipeline::{AbortOnDrop, ArrivedAt, InProgress, PipelinedRequests, StartedRequest};
use crate::read_ahead::{ReadAhead, ReadAheadStream};
use crate::serve::PipelineFn;
use crate::serve_config::ServeConfig;
use crate::serve_control::{CountGuard, HeadLimits, ServeControl};
use crate::tracked_stream::TrackedStream;
use crate::transfer_state::TransferState;

/// Limit on bytes read from a lingering connection: what a caller may have sent before it read that
/// the connection closes. One that goes on sending is disconnected.
const LINGER_READ_MAX_BYTES: u64 = 4 * 1024 * 1024;

/// Smallest read buffer that the HTTP library accepts.
const READ_BUFFER_MIN_BYTES: usize = 8 * 1024;

/// Bytes of bodies that an HTTP/2 connection accepts before they are read.
const HTTP2_WINDOW_BYTES: u32 = 64 * 1024;

pub(crate) type AnyEndpoint = Arc<dyn DynEndpoint<Output = poem::Response>>;

/// One accepted connection and what its requests need.
pub(crate) struct ServedConnection {
    pub(crate) endpoint: AnyEndpoint,
    pub(crate) local: LocalAddr,
    pub(crate) remote: RemoteAddr,
    pub(crate) config: ServeConfig,
    pub(crate) control: ServeControl,
    pub(crate) may_start_early: PipelineFn,
    /// Value of the renewal counter when this connection was opened.
    pub(crate) renewals_at_open: u64,
    pub(crate) pipelined: Arc<PipelinedRequests>,
    pub(crate) activity: Arc<Activity>,
    pub(crate) memory: Arc<ConnectionMemory>,
}

impl ServedConnection {
    pub(crate) async fn run(self, stream: TcpStream) {
        let open_connection = self.control.count_connection();
        let send_buffer_bytes = usize::try_from(self.config.send_buffer.value());
        let send_buffer_bytes = send_buffer_bytes.unwrap_or(usize::MAX);
        // Without a bound, a caller that reads nothing is disconnected later.
        let _unbounded = set_socket_send_buffer_size(&stream, send_buffer_bytes);
        if let Some(unsent_max) = self.config.unsent_max {
            let unsent_max_bytes = u32::try_from(unsent_max.value()).unwrap_or(u32::MAX);
            let _unbounded = SockRef::from(&stream).set_tcp_notsent_lowat(unsent_max_bytes);
        }
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let activity = Arc::clone(&self.activity);
        let (stream, read_ahead) =
            ReadAhead::new(stream, Arc::clone(&activity), Arc::clone(&self.memory));
        let end = self.serve_requests(stream, &read_ahead, &activity).await;
        self.pipelined.abort_started();
        drop(open_connection);
        if end == TransferEnd::Stalled {
            self.control.record_stalled_connection();
            read_ahead.reset_on_close();
        } else {
            self.linger(&read_ahead, &activity).await;
        }
    }

    /// Serves requests until the connection ends, and closes it for writing.
    async fn serve_requests(
        &self,
        stream: ReadAheadStream,
        read_ahead: &ReadAhead,
        activity: &Arc<Activity>,
    ) -> TransferEnd {
        let io = TokioIo::new(TrackedStream::new(stream, Arc::clone(activity)));
        let caller = read_ahead.caller_connection();
        let service = service_fn(|request| self.handle(request, (activity, &caller), read_ahead));
        let head_limits = self.head_limits();
        let head_timer = HeadTimer::new(read_ahead.message_reads());
        let builder = builder(head_limits, self.config.streams_max, head_timer);
        let mut connection = pin!(builder.serve_connection(io, service));
        // Dropped before the connection, so that transfers in progress learn their end from it.
        let _end = EndOnDrop(activity);
        let ServeConfig { header_timeout, stall_timeout, .. } = self.config;
        let mut disconnect = pin!(self.wait_for_disconnect(read_ahead, activity));
        let mut stalled = pin!(activity.wait_until_stalled(stall_timeout));
        let mut idle = pin!(activity.wait_until_idle(header_timeout, || self.idle_timeout()));
        let mut is_stopping = false;
        let end = loop {
            tokio::select! {
                _ = connection.as_mut() => break TransferEnd::CallerLeft,
                () = idle.as_mut() => break TransferEnd::CallerLeft,
                () = disconnect.as_mut() => break TransferEnd::CallerLeft,
                () = stalled.as_mut() => break TransferEnd::Stalled,
                () = self.memory.evicted() => break evicted_end(activity),
                () = self.control.stop_token().cancelled(), if !is_stopping => {
                    is_stopping = true;
                    // The HTTP library would close after the answer in progress and drop the ones
                    // that wait behind it. The last of those closes the connection.
                    if !self.pipelined.has_started() {
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        };
        activity.record_end(end);
        end
    }

    /// Reads on until the caller closes the connection too, or has had the time to read the last
    /// answer.
    ///
    /// A closed socket that receives further bytes resets the connection, and the caller's kernel
    /// may then drop what the caller has not read yet (RFC 9112, section 9.6).
    async fn linger(&self, read_ahead: &ReadAhead, activity: &Activity) {
        let Some(last_write_at) = activity.last_write_at() else { return };
        let until = last_write_at + self.config.linger_timeout;
        if Instant::now() >= until {
            return;
        }
        let lingering = self.control.lingering_connections().register(self.config.lingering_max);
        tokio::select! {
            biased;
            () = lingering.ended() => {}
            () = self.memory.evicted() => {}
            () = read_ahead.discard(LINGER_READ_MAX_BYTES) => {}
            () = tokio::time::sleep_until(until) => {}
        }
    }

    /// Reads ahead until the caller has disconnected, after which none of its remaining requests is
    /// started.
    async fn wait_for_disconnect(&self, read_ahead: &ReadAhead, activity: &Arc<Activity>) {
        let caller = read_ahead.caller_connection();
        let on_head = |index, head| self.handle_pipelined_head(index, head, (activity, &caller));
        read_ahead.drive(on_head).await;
        if !activity.is_busy() && !read_ahead.has_buffered_bytes() {
            // The HTTP library detects the end of the connection by itself.
            std::future::pending::<()>().await;
        }
    }

    fn handle_pipelined_head(
        &self,
        index: u64,
        head: http::request::Parts,
        (activity, caller): (&Arc<Activity>, &CallerConnection),
    ) {
        self.pipelined.record_arrival(index);
        // On a closing connection the request would reach a target, but its answer would be lost. One
        // behind answers that the caller does not take would only add to them.
        if self.is_closing() || activity.is_write_blocked() || !(self.may_start_early)(&head) {
            return;
        }
        self.pipelined.start(index, || {
            let endpoint = Arc::clone(&self.endpoint);
            let mut request = self.poem_request(http::Request::from_parts(head, ()));
            request.set_body(poem::Body::empty());
            request.extensions_mut().insert(caller.clone());
            StartedRequest {
                task: AbortOnDrop(tokio::spawn(respond(endpoint, request, caller.clone()))),
                in_progress: self.start_request(activity),
            }
        });
    }

    fn head_limits(&self) -> HeadLimits {
        let ServeConfig { header_max, header_timeout, .. } = self.config;
        let configured = HeadLimits { size_max: header_max, timeout: header_timeout };
        self.control.head_limits().unwrap_or(configured)
    }

    fn idle_timeout(&self) -> Duration {
        self.control.idle_timeout().unwrap_or(self.config.idle_timeout)
    }

    fn start_request(&self, activity: &Arc<Activity>) -> InProgress {
        InProgress::new(self.control.count_in_flight(), activity.start_request())
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
        (activity, caller): (&Arc<Activity>, &CallerConnection),
        read_ahead: &ReadAhead,
    ) -> impl Future<Output = Result<http::Response<DeliveredBody>, Infallible>> + Send + use<>
    {
        let endpoint = Arc::clone(&self.endpoint);
        let control = self.control.clone();
        let version = request.version();
        let dispatched = self.pipelined.dispatch_next();
        let mut request = request;
        if let Some(arrived_at) = dispatched.arrived_at {
            request.extensions_mut().insert(ArrivedAt(arrived_at));
        }
        request.extensions_mut().insert(caller.clone());
        let caller = caller.clone();
        let request = (request, self.local.clone(), self.remote.clone(), Scheme::HTTP).into();
        let (started_task, in_progress) = match dispatched.started {
            Some(started) => (Some(started.task), started.in_progress),
            None => (None, self.start_request(activity)),
        };
        let (renewals_at_open, pipelined) = (self.renewals_at_open, Arc::clone(&self.pipelined));
        let activity = Arc::clone(activity);
        let read_ahead = read_ahead.clone();
        let stream_memory = (version >= Version::HTTP_2).then(|| self.memory.start_stream());
        async move {
            let mut response = match started_task {
                Some(mut task) => started_answer(&mut task).await,
                None => respond(endpoint, request, caller).await,
            };
            let is_close_due = control.is_closing() && !pipelined.has_started();
            let is_renewal_due = control.renewals() > renewals_at_open && !pipelined.has_waiting();
            if (is_close_due || is_renewal_due) && version < Version::HTTP_2 {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            let response = delivered_response(response, activity, control.count_writing(), version);
            drop(in_progress);
            drop(stream_memory);
            read_ahead.end_message();
            Ok(response)
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

/// Makes the response record which bytes of its body the connection takes.
fn delivered_response(
    mut response: poem::Response,
    activity: Arc<Activity>,
    writing: CountGuard,
    version: Version,
) -> http::Response<DeliveredBody> {
    let transfer = response.extensions_mut().remove::<Arc<TransferState>>();
    if let Some(transfer) = &transfer {
        transfer.start(Arc::clone(&activity), head_size(response.headers()));
    }
    let is_http2 = version == Version::HTTP_2;
    let response = http::Response::from(response);
    response.map(|body| DeliveredBody::new(body, activity, transfer, writing, is_http2))
}

/// Returns the end of a connection that gave way to others.
fn evicted_end(activity: &Activity) -> TransferEnd {
    if activity.is_delivering() { TransferEnd::Stalled } else { TransferEnd::CallerLeft }
}

/// Records that the process stopped serving if the connection ends without another cause.
struct EndOnDrop<'a>(&'a Activity);

impl Drop for EndOnDrop<'_> {
    fn drop(&mut self) {
        self.0.record_end(TransferEnd::Stopped);
    }
}

async fn started_answer(task: &mut AbortOnDrop) -> poem::Response {
    match (&mut task.0).await {
        Ok(response) => response,
        // The task has panicked. Without its own task, the panic would end the connection.
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

fn builder(
    head_limits: HeadLimits,
    streams_max: u32,
    head_timer: HeadTimer,
) -> auto::Builder<TokioExecutor> {
    let size_max = usize::try_from(head_limits.size_max.value()).unwrap_or(usize::MAX);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(head_timer)
        .header_read_timeout(head_limits.timeout)
        .max_buf_size(size_max.max(READ_BUFFER_MIN_BYTES));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(streams_max)
        .initial_stream_window_size(HTTP2_WINDOW_BYTES)
        .initial_connection_window_size(HTTP2_WINDOW_BYTES)
        .max_header_list_size(u32::try_from(size_max).unwrap_or(u32::MAX));
    builder
}
