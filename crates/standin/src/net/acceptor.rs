//! Acceptor that charges a setup cost for each new connection.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};

use super::connection::FaultyConnection;
use super::faults::ConnectionState;

const BACKLOG: usize = 64;

/// Cost of setting up one connection at the server.
#[derive(Debug, Clone)]
pub struct ConnectionCost {
    /// Slots of the server; one is held during the setup.
    pub slots: Arc<Semaphore>,
    /// Duration of the setup.
    pub setup: Duration,
}

#[derive(Debug)]
struct AcceptedConnection {
    stream: TcpStream,
    remote: RemoteAddr,
}

/// Accepts connections, spends their setup cost in the background and passes them to the server.
#[derive(Debug)]
pub struct FaultyAcceptor {
    local: LocalAddr,
    accepted: mpsc::Receiver<AcceptedConnection>,
    state: ConnectionState,
    _stop: mpsc::Sender<()>,
}

impl FaultyAcceptor {
    /// Starts accepting on `listener`; must be called on a tokio runtime.
    ///
    /// # Errors
    /// Returns an error if the local address of the listener cannot be read.
    pub fn new(
        listener: TcpListener,
        state: ConnectionState,
        cost: Option<ConnectionCost>,
    ) -> io::Result<Self> {
        let local = LocalAddr(listener.local_addr()?.into());
        let (sender, accepted) = mpsc::channel(BACKLOG);
        let (stop, stopped) = mpsc::channel(1);
        tokio::spawn(accept_all(listener, sender, cost, stopped));
        Ok(Self { local, accepted, state, _stop: stop })
    }
}

async fn accept_all(
    listener: TcpListener,
    sender: mpsc::Sender<AcceptedConnection>,
    cost: Option<ConnectionCost>,
    mut stopped: mpsc::Receiver<()>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.recv() => return,
        };
        let Ok((stream, remote)) = accepted else {
            continue;
        };
        let accepted = AcceptedConnection { stream, remote: RemoteAddr(remote.into()) };
        tokio::spawn(set_up_connection(accepted, sender.clone(), cost.clone()));
    }
}

async fn set_up_connection(
    accepted: AcceptedConnection,
    sender: mpsc::Sender<AcceptedConnection>,
    cost: Option<ConnectionCost>,
) {
    if let Some(cost) = cost {
        let Ok(_slot) = cost.slots.acquire().await else {
            return;
        };
        tokio::time::sleep(cost.setup).await;
    }
    // If the server has stopped in the meantime, the connection is dropped, as by a closed
    // listener.
    let _ = sender.send(accepted).await;
}

impl Acceptor for FaultyAcceptor {
    type Io = FaultyConnection;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![self.local.clone()]
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let Some(accepted) = self.accepted.recv().await else {
                return std::future::pending().await;
            };
            if self.state.faults().refuse {
                continue;
            }
            // Small answers must not wait for the acknowledgement of earlier ones.
            accepted.stream.set_nodelay(true)?;
            let io = FaultyConnection::new(accepted.stream, self.state.clone());
            return Ok((io, self.local.clone(), accepted.remote, Scheme::HTTP));
        }
    }
}
