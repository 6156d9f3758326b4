//! Admission control for new connections to targets.

use std::fmt::Debug;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use shallotfork_types::Endpoint;
use thiserror::Error;
use tower::{BoxError, Layer, Service};

/// Permit to open one connection, held until the connection is open or has failed.
pub type ConnectionPermit = Box<dyn Send + Sync>;

/// Decides whether and when a connection to a target may be opened.
///
/// A new connection costs a target CPU time, so many entries that reconnect at once slow down their
/// own requests.
pub trait ConnectionGate: Debug + Send + Sync {
    /// Waits until one more connection to `target` may be opened; returns `None` to reject it.
    fn open(
        &self,
        target: Endpoint,
    ) -> Pin<Box<dyn Future<Output = Option<ConnectionPermit>> + Send + '_>>;
}

/// A gate that admits every connection immediately.
#[derive(Debug, Default)]
pub struct UnlimitedGate;

impl ConnectionGate for UnlimitedGate {
    fn open(
        &self,
        _target: Endpoint,
    ) -> Pin<Box<dyn Future<Output = Option<ConnectionPermit>> + Send + '_>> {
        Box::pin(std::future::ready(Some(Box::new(()) as ConnectionPermit)))
    }
}

tokio::task_local! {
    /// The target of the request that this task is sending.
    static TARGET: Endpoint;
}

/// Makes `target` known to the gate while `sending` runs.
///
/// reqwest doesn't tell a connector layer which address is requested. It calls the connector within
/// the future of the request that needs the connection, so a task-local value can carry the target.
pub(crate) fn with_target<F: Future>(
    target: Endpoint,
    sending: F,
) -> impl Future<Output = F::Output> {
    TARGET.scope(target, sending)
}

/// Rejection of a new connection by the gate.
#[derive(Debug, Error)]
#[error("too many new connections to the target")]
pub(crate) struct GateRejection;

/// Connector layer that requests a permit from the gate before reqwest opens a connection.
#[derive(Debug, Clone)]
pub(crate) struct GateLayer {
    gate: Arc<dyn ConnectionGate>,
}

impl GateLayer {
    pub(crate) fn new(gate: Arc<dyn ConnectionGate>) -> Self {
        Self { gate }
    }
}

impl<S> Layer<S> for GateLayer {
    type Service = GateService<S>;

    fn layer(&self, connector: S) -> GateService<S> {
        GateService { connector, gate: Arc::clone(&self.gate) }
    }
}

/// A connector that waits for a permit of the gate before it connects.
#[derive(Debug, Clone)]
pub(crate) struct GateService<S> {
    connector: S,
    gate: Arc<dyn ConnectionGate>,
}

impl<S, R> Service<R> for GateService<S>
where
    S: Service<R, Error = BoxError> + Clone + Send + 'static,
    S::Future: Send,
    R: Send + 'static,
{
    type Response = S::Response;
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = Result<S::Response, BoxError>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.connector.poll_ready(cx)
    }

    fn call(&mut self, request: R) -> Self::Future {
        let Ok(target) = TARGET.try_with(|target| *target) else {
            return Box::pin(self.connector.call(request));
        };
        let gate = Arc::clone(&self.gate);
        let ready = self.connector.clone();
        let mut connector = std::mem::replace(&mut self.connector, ready);
        Box::pin(async move {
            let Some(_permit) = gate.open(target).await else {
                return Err(BoxError::from(GateRejection));
            };
            connector.call(request).await
        })
    }
}
