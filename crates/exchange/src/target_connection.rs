//! A reusable HTTP/1.1 connection to a target.

use std::io;
use std::time::Duration;

use http::header::{CONNECTION, HeaderMap, HeaderName};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use shallotfork_types::Endpoint;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::attempt::FailureCause;
use crate::connection_config::ConnectionConfig;
use crate::interim_answers::{InterimAnswers, InterimBoundedStream};
use crate::sent_body::SentBody;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const TIMEOUT_PARAMETER: &str = "timeout=";
/// Maximum size of an answer's head, and of one read of its body.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// A connection that carries one request at a time and is owned by the attempt that uses it.
///
/// Dropping it closes the connection: a late answer is never read, and the target can detect that
/// the request has been abandoned.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    sender: SendRequest<SentBody>,
    driver: JoinHandle<()>,
    interim_answers: InterimAnswers,
    last_used_at: Instant,
    idle_timeout: Duration,
}

/// Why no head of an answer was received.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of the request has been sent.
    Unsent(Box<Request<SentBody>>),
    /// The request may have reached the target.
    Sent(FailureCause),
}

impl TargetConnection {
    /// Opens a connection to the target at `endpoint`.
    pub(crate) async fn open(endpoint: Endpoint, config: &ConnectionConfig) -> io::Result<Self> {
        let connecting = TcpStream::connect(endpoint.address());
        let stream = tokio::time::timeout(config.connect_timeout, connecting)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        set_unacknowledged_timeout(&stream, config.unacknowledged_timeout)?;
        let interim_answers = InterimAnswers::default();
        let stream = InterimBoundedStream::new(stream, interim_answers.clone());
        let handshake =
            Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // The attempt that uses the connection gets its errors from the future of the request.
            let _ended = connection.await;
        });
        let (last_used_at, idle_timeout) = (Instant::now(), config.idle_timeout);
        Ok(Self { sender, driver, interim_answers, last_used_at, idle_timeout })
    }

    /// Returns whether a request can be sent now: nothing is left over from the previous request,
    /// and the target neither has closed the connection nor is about to.
    pub(crate) fn is_usable(&self, idle_timeout: Duration) -> bool {
        let idle = self.last_used_at.elapsed();
        self.sender.is_ready()
            && !self.driver.is_finished()
            && idle < self.idle_timeout.min(idle_timeout)
    }

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &mut self,
        mut request: Request<SentBody>,
    ) -> Result<Response<Incoming>, SendError> {
        self.interim_answers.count_for(&mut request);
        self.sender.try_send_request(request).await.map_err(|mut error| {
            match error.take_message() {
                Some(request) => SendError::Unsent(Box::new(request)),
                None => SendError::Sent(self.failure_cause(error.error())),
            }
        })
    }

    fn failure_cause(&self, error: &hyper::Error) -> FailureCause {
        if self.interim_answers.is_over_limit() || error.is_parse_too_large() {
            FailureCause::AnswerEndless
        } else {
            FailureCause::ConnectionLost
        }
    }

    /// Applies the target's reported keep-alive timeout; returns `false` if the target closes the
    /// connection.
    pub(crate) fn update_keep_alive(
        &mut self,
        headers: &HeaderMap,
        config: &ConnectionConfig,
    ) -> bool {
        self.last_used_at = Instant::now();
        if let Some(timeout) = keep_alive_timeout(headers) {
            self.idle_timeout =
                timeout.saturating_sub(config.keep_alive_margin).min(config.idle_timeout);
        }
        !has_connection_close(headers)
    }
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Limits the time for which sent bytes may stay unacknowledged.
///
/// Without the limit, a request to a target that no longer responds would wait for the kernel's
/// retransmissions, which take a quarter of an hour.
fn set_unacknowledged_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    let timeout_ms = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
    rustix::net::sockopt::set_tcp_user_timeout(stream, timeout_ms).map_err(io::Error::from)
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeout = text.split(',').find_map(|part| part.trim().strip_prefix(TIMEOUT_PARAMETER))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
