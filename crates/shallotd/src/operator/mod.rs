//! The operators' port: readiness, status and the trail of changes.

use std::sync::Arc;

use http::StatusCode;
use poem::endpoint::make;
use poem::web::Json;
use poem::{Endpoint, IntoResponse, Request, Response};
use tokio::sync::watch;

use crate::context::Context;
use crate::lifecycle::Phase;

/// The endpoint of the operators' port.
pub fn operator(context: Arc<Context>, phase: watch::Receiver<Phase>) -> impl Endpoint {
    make(move |request: Request| {
        let context = Arc::clone(&context);
        let phase = *phase.borrow();
        async move { answer(&context, phase, &request).await }
    })
}

async fn answer(context: &Context, phase: Phase, request: &Request) -> Response {
    match request.uri().path() {
        "/v1/ready" => ready(phase),
        "/v1/status" => json(context.control.status().await),
        "/v1/audit" => json(context.control.audit().await),
        _ => StatusCode::NOT_FOUND.into_response(),
    }
}

fn ready(phase: Phase) -> Response {
    let status = match phase {
        Phase::Serving => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, phase.as_str()).into_response()
}

fn json<T: serde::Serialize + Send>(report: Option<T>) -> Response {
    match report {
        Some(report) => Json(report).into_response(),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}
