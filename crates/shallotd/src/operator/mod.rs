//! The operators' port: readiness, status, the trail of changes and metrics.
//!
//! Nothing on this port changes anything; operators act by publishing.

mod metrics_page;
mod token;

use std::sync::Arc;

use http::StatusCode;
use http::header::{AUTHORIZATION, WWW_AUTHENTICATE};
use poem::endpoint::make;
use poem::web::Json;
use poem::{Endpoint, IntoResponse, Request, Response};
use shallotfork_events::{OPERATOR_REFUSED, event};
use tokio::sync::watch;

use crate::context::Context;
use shallotfork_lifecycle::Phase;

pub use metrics_page::MetricsPage;
pub use token::OperatorToken;

/// What the operators' port answers from.
pub struct Operator {
    /// Shared state of the process.
    pub context: Arc<Context>,
    /// Where the process is in its life cycle.
    pub phase: watch::Receiver<Phase>,
    /// What readers must show; `None` lets everybody read, on the loopback address only.
    pub token: Option<OperatorToken>,
    /// Every metric of the process.
    pub metrics: MetricsPage,
}

/// Path of the texts of lists; the list's name follows.
const LISTS_PATH: &str = "/v1/lists/";

/// The endpoint of the operators' port.
pub fn operator(operator: Operator) -> impl Endpoint {
    let operator = Arc::new(operator);
    make(move |request: Request| {
        let operator = Arc::clone(&operator);
        async move { operator.answer(&request).await }
    })
}

impl Operator {
    async fn answer(&self, request: &Request) -> Response {
        if !self.admits(request) {
            return self.refuse(request);
        }
        let control = &self.context.control;
        match request.uri().path() {
            "/v1/ready" => ready(*self.phase.borrow()),
            "/v1/status" => json(control.status().await),
            "/v1/audit" => json(control.audit().await),
            "/metrics" => self.metrics.answer(control.status().await, &self.context),
            path => self.list(path).await,
        }
    }

    /// The text of a list in force.
    async fn list(&self, path: &str) -> Response {
        let name = path.strip_prefix(LISTS_PATH).and_then(|name| name.parse().ok());
        match name {
            Some(name) => text(self.context.control.list_content(name).await),
            None => StatusCode::NOT_FOUND.into_response(),
        }
    }

    fn admits(&self, request: &Request) -> bool {
        let shown = request.header(AUTHORIZATION);
        self.token.as_ref().is_none_or(|token| token.admits(shown))
    }

    fn refuse(&self, request: &Request) -> Response {
        let log = &self.context.log;
        event!(log, OPERATOR_REFUSED, "from" => request.remote_addr().to_string());
        Response::builder()
            .status(StatusCode::UNAUTHORIZED)
            .header(WWW_AUTHENTICATE, "Bearer")
            .finish()
    }
}

fn ready(phase: Phase) -> Response {
    let status = match phase {
        Phase::Serving => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, phase.as_str()).into_response()
}

fn text(content: Option<String>) -> Response {
    match content {
        Some(content) => content.into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

fn json<T: serde::Serialize + Send>(report: Option<T>) -> Response {
    match report {
        Some(report) => Json(report).into_response(),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}
