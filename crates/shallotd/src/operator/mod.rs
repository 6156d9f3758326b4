//! Port for operators: readiness, status, audit log and metrics.
//!
//! The port is read-only; operators make changes by publishing to the platform.

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

/// State that the operators' port serves.
pub struct OperatorApi {
    /// Shared state of the process.
    pub context: Arc<Context>,
    /// Current phase of the life cycle of the process.
    pub phase: watch::Receiver<Phase>,
    /// Token that requests must present; `None`, allowed only on a loopback address, accepts all
    /// requests.
    pub token: Option<OperatorToken>,
    /// Metrics of the process.
    pub metrics: MetricsPage,
}

/// Prefix of the paths of lists; the name of a list follows.
const LISTS_PATH: &str = "/v1/lists/";

/// Creates the endpoint of the operators' port.
pub fn operator_endpoint(api: OperatorApi) -> impl Endpoint {
    let api = Arc::new(api);
    make(move |request: Request| {
        let api = Arc::clone(&api);
        async move { api.handle_request(&request).await }
    })
}

impl OperatorApi {
    async fn handle_request(&self, request: &Request) -> Response {
        if !self.is_authorized(request) {
            return self.reject(request);
        }
        let control = &self.context.control;
        match request.uri().path() {
            "/v1/ready" => ready_response(*self.phase.borrow()),
            "/v1/status" => json_response(control.status().await),
            "/v1/audit" => json_response(control.audit().await),
            "/metrics" => self.metrics.render(control.status().await, &self.context),
            path => self.list_response(path).await,
        }
    }

    /// Returns the content of a list in force.
    async fn list_response(&self, path: &str) -> Response {
        let name = path.strip_prefix(LISTS_PATH).and_then(|name| name.parse().ok());
        match name {
            Some(name) => text_response(self.context.control.list_content(name).await),
            None => StatusCode::NOT_FOUND.into_response(),
        }
    }

    fn is_authorized(&self, request: &Request) -> bool {
        let authorization = request.header(AUTHORIZATION);
        self.token.as_ref().is_none_or(|token| token.matches(authorization))
    }

    fn reject(&self, request: &Request) -> Response {
        let log = &self.context.log;
        event!(log, OPERATOR_REFUSED, "from" => request.remote_addr().to_string());
        Response::builder()
            .status(StatusCode::UNAUTHORIZED)
            .header(WWW_AUTHENTICATE, "Bearer")
            .finish()
    }
}

fn ready_response(phase: Phase) -> Response {
    let status = match phase {
        Phase::Serving => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, phase.as_str()).into_response()
}

fn text_response(content: Option<String>) -> Response {
    match content {
        Some(content) => content.into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

fn json_response<T: serde::Serialize + Send>(report: Option<T>) -> Response {
    match report {
        Some(report) => Json(report).into_response(),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}
