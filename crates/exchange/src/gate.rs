//! Counts and limits new connections to targets.

use std::fmt::Debug;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use shallotfork_types::Endpoint;
use thiserror::Error;
use tower::{BoxError, Layer, Service};

/// Leave to open one connection; holds whatever the gate needs until it is open or has failed.
pub type ConnectionPermit = Box<dyn Send + Sync>;

/// Decides when a connection to a target may be opened.
///
/// A new connection costs a target processor time, so that entries which all reconnect at once
/// slow down the requests they mean to send.
pub trait ConnectionGate: Debug + Send + Sync {
    /// Waits until one more connection to `target` may be opened; `None` refuses it.
    fn open(
        &self,
        target: Endpoint,
    ) -> Pin<Box<dyn Future<Output = Option<ConnectionPermit>> + Send + '_>>;
}

/// A gate that never refuses and never waits.
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
    /// The target of the request that is being sent by this task.
    static TARGET: Endpoint;
}

/// Makes `target` known to the gate while `sending` runs.
///
/// reqwest hides from a connector layer which address it is asked for. It calls the connector
/// inside the future of the request that needs the connection, so that a task-local value tells.
pub(crate) fn with_target<F: Future>(
    target: Endpoint,
    sending: F,
) -> impl Future<Output = F::Output> {
    TARGET.scope(target, sending)
}

/// When the gate refuses a connection.
#[derive(Debug, Error)]
#[error("too many new connections to the target")]
pub(crate) struct GateRefusal;

/// Asks the gate before each connection that reqwest opens.
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

/// A connector behind the gate.
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
                return Err(BoxError::from(GateRefusal));
            };
            connector.call(request).await
        })
    }
}
