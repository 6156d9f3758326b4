//! Serves an HTTP port with limits on connections and timeouts, and with a graceful stop.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use poem::endpoint::ToDynEndpoint;
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Addr, EndpointExt, IntoEndpoint};
use rustix::io::Errno;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::TaskTracker;

use crate::activity::Activity;
use crate::connection_memory::ConnectionMemory;
use crate::pipeline::PipelinedRequests;
use crate::serve_config::ServeConfig;
use crate::serve_control::ServeControl;
use crate::served_connection::{AnyEndpoint, ServedConnection};

/// Delay after a failed accept, which mostly means that the process is out of file descriptors.
/// Without the delay the loop would spin until one is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Failure to serve a port.
#[derive(Debug, Error)]
#[error("can't serve the port")]
pub struct ServeError(#[from] io::Error);

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
    let tasks = TaskTracker::new();
    let receive_buffer_bytes = usize::try_from(config.receive_buffer.value()).unwrap_or(usize::MAX);
    // Inherited by accepted connections. On failure the kernel chooses the size.
    let _unbounded = set_socket_recv_buffer_size(&listener, receive_buffer_bytes);
    while let Some((stream, remote)) = accept(&listener, &control).await {
        let activity = Arc::new(Activity::new());
        let registered = control
            .served_connections()
            .register(Arc::clone(&activity), ConnectionMemory::INITIAL_BYTES);
        let Some(guard) = registered else { continue };
        let memory = ConnectionMemory::new(guard, config.receive_buffer);
        let connection = ServedConnection {
            endpoint: Arc::clone(&endpoint),
            local: local.clone(),
            remote,
            config,
            control: control.clone(),
            may_start_early: Arc::clone(&may_start_early),
            renewals_at_open: control.renewals(),
            pipelined: Arc::new(PipelinedRequests::default()),
            activity,
            memory: Arc::new(memory),
        };
        tasks.spawn(connection.run(stream));
    }
    drop(listener);
    tasks.close();
    tasks.wait().await;
    Ok(())
}

/// Accepts the next connection; returns `None` after a stop.
async fn accept(listener: &TcpListener, control: &ServeControl) -> Option<(TcpStream, RemoteAddr)> {
    let accept_next = async {
        control.served_connections().wait_for_evicted().await;
        loop {
            match listener.accept().await {
                Ok((stream, address)) => {
                    return Some((stream, RemoteAddr(Addr::SocketAddr(address))));
                }
                Err(error) => {
                    if is_out_of_descriptors(&error) {
                        control.lingering_connections().end_all();
                        control.served_connections().evict_one();
                    }
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    };
    tokio::select! {
        biased;
        () = control.stop_token().cancelled() => None,
        accepted = accept_next => accepted,
    }
}

fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::MFILE | Errno::NFILE))
}
