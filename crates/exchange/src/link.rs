//! One kept HTTP/1.1 connection to a target.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderMap, HeaderName};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use shallotfork_types::Endpoint;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::attempt::FailureCause;
use crate::link_config::ConnectionConfig;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const TIMEOUT_PARAMETER: &str = "timeout=";

/// A connection that carries one request at a time.
///
/// It is owned by the attempt that uses it. Dropping it closes the connection, so that an answer
/// which comes late has no reader, and the target sees that nobody waits.
#[derive(Debug)]
pub(crate) struct Link {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    used_at: Instant,
    idle_timeout: Duration,
}

/// Why a request got no answer's head.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of it has left.
    Unsent(Box<Request<Full<Bytes>>>),
    /// It may have reached the target.
    Sent(FailureCause),
}

impl Link {
    /// Opens a connection.
    pub(crate) async fn open(endpoint: Endpoint, config: &ConnectionConfig) -> io::Result<Self> {
        let connecting = TcpStream::connect(endpoint.address());
        let stream = tokio::time::timeout(config.connect_timeout, connecting)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        watch_acknowledgements(&stream, config.unacknowledged_timeout)?;
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // The attempt that uses the connection learns of its end from its own future.
            let _ended = connection.await;
        });
        Ok(Self { sender, driver, used_at: Instant::now(), idle_timeout: config.idle_timeout })
    }

    /// Whether a request can be sent on it now: nothing is left over from the one before, and the
    /// target has neither closed it nor is about to.
    pub(crate) fn is_usable(&self, idle_timeout: Duration) -> bool {
        let idle = self.used_at.elapsed();
        self.sender.is_ready()
            && !self.driver.is_finished()
            && idle < self.idle_timeout.min(idle_timeout)
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.try_send_request(request).await.map_err(|mut error| {
            match error.take_message() {
                Some(request) => SendError::Unsent(Box::new(request)),
                None => SendError::Sent(FailureCause::ConnectionLost),
            }
        })
    }

    /// Takes the target's word on how long it keeps the connection; `false` when it closes it.
    pub(crate) fn keep(&mut self, headers: &HeaderMap, config: &ConnectionConfig) -> bool {
        self.used_at = Instant::now();
        if let Some(timeout) = keep_alive(headers) {
            self.idle_timeout =
                timeout.saturating_sub(config.keep_alive_margin).min(config.idle_timeout);
        }
        !says_close(headers)
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A peer that has gone silent acknowledges nothing. Without the limit, a request sent to it would
/// wait for the kernel's own retries, a quarter of an hour.
fn watch_acknowledgements(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    let limit_ms = u32::try_from(limit.as_millis()).unwrap_or(u32::MAX);
    rustix::net::sockopt::set_tcp_user_timeout(stream, limit_ms).map_err(io::Error::from)
}

fn says_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|word| word.trim().eq_ignore_ascii_case("close"))
}

fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeout = text.split(',').find_map(|part| part.trim().strip_prefix(TIMEOUT_PARAMETER))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
