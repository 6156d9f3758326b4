//! HTTP interfaces of the target stand-in.

use std::io;
use std::sync::Arc;

use poem::web::{Data, Json};
use poem::{EndpointExt, Route, Server, get, handler, post, put};
use shallotfork_types::Endpoint;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::config::TargetConfig;
use super::faults::TargetFaults;
use super::records::TargetRecords;
use super::state::TargetState;
use super::work::{probe, work};
use crate::net::{ConnectionCost, ConnectionState, FaultyAcceptor};

/// A target stand-in that runs in the background of this process.
#[derive(Debug)]
pub struct RunningTarget {
    /// Address that accepts requests and probes.
    pub address: Endpoint,
    /// Control address, to set faults and read records.
    pub control: Endpoint,
    state: Arc<TargetState>,
    stop: watch::Sender<bool>,
    serving: JoinHandle<io::Result<()>>,
}

impl RunningTarget {
    /// Drains for the grace period, then accepts no new requests, finishes those in flight and
    /// stops.
    ///
    /// # Errors
    /// Returns an error if the server failed.
    pub async fn drain_and_stop(self) -> io::Result<()> {
        self.state.start_draining();
        tokio::time::sleep(self.state.config.grace).await;
        self.stop.send_replace(true);
        self.serving.await?
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.state.set_faults(faults);
    }

    /// Returns the records so far.
    pub fn records(&self) -> TargetRecords {
        self.state.records()
    }
}

/// Starts a target and its control server on loopback ports chosen by the kernel.
///
/// # Errors
/// Returns an error if a port cannot be bound.
pub async fn serve_target(config: TargetConfig) -> io::Result<RunningTarget> {
    let state = Arc::new(TargetState::new(config));
    let (stop, mut stopped) = watch::channel(false);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = Endpoint::new(listener.local_addr()?);
    let cost = ConnectionCost { slots: state.slots.clone(), setup: state.config.connection_setup };
    let acceptor = FaultyAcceptor::new(listener, state.connections.clone(), Some(cost))?;
    let routes =
        Route::new().at("/load", get(probe)).at("/", work).at("/*path", work).data(state.clone());
    let server = Server::new_with_acceptor(acceptor);
    let stop_signal = async move {
        // Dropping the sender also stops the server.
        let _ = stopped.wait_for(|stop| *stop).await;
    };
    let serving = tokio::spawn(server.run_with_graceful_shutdown(routes, stop_signal, None));
    let control = serve_control(&state).await?;
    Ok(RunningTarget { address, control, state, stop, serving })
}

async fn serve_control(state: &Arc<TargetState>) -> io::Result<Endpoint> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = Endpoint::new(listener.local_addr()?);
    let acceptor = FaultyAcceptor::new(listener, ConnectionState::new(), None)?;
    let routes = Route::new()
        .at("/faults", put(set_faults))
        .at("/records", get(records))
        .at("/records/reset", post(reset_records))
        .data(state.clone());
    tokio::spawn(Server::new_with_acceptor(acceptor).run(routes));
    Ok(address)
}

#[handler]
fn set_faults(Json(faults): Json<TargetFaults>, Data(state): Data<&Arc<TargetState>>) {
    state.set_faults(faults);
}

#[handler]
fn records(Data(state): Data<&Arc<TargetState>>) -> Json<TargetRecords> {
    Json(state.records())
}

#[handler]
fn reset_records(Data(state): Data<&Arc<TargetState>>) {
    state.reset_records();
}
