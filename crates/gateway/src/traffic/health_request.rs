//! Requests to the health endpoints of targets, for probes and path checks.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, Uri};
use http_body_util::Full;
use shallotfork_exchange::{
    AnswerMatch, AttemptFailure, BufferedAnswer, ConnectionPurpose, TargetRequest,
};
use shallotfork_types::{Endpoint, FailureDomain, TargetId};

use crate::context::Context;
use crate::traffic::endless_answers::record_endless_answer;
use crate::traffic::reach::record_reach;
use crate::traffic::target_statements::{StatedBy, record_statements, target_run};
use crate::transfer::{TransferKind, message_bytes};

/// A request to the health endpoint of a target.
pub struct HealthRequest<'a> {
    target: &'a TargetId,
    endpoint: Endpoint,
    domain: FailureDomain,
    uri: Uri,
}

impl<'a> HealthRequest<'a> {
    /// Creates a request to a target; `None` if the target or its service is not published.
    pub fn new(context: &Context, target: &'a TargetId) -> Option<Self> {
        let published = context.published.load();
        let record = published.targets.get(target)?;
        let spec = published.table.as_ref()?.services().get(&record.service)?;
        let uri = spec.health_path.parse().ok()?;
        let domain = record.failure_domain.clone();
        Some(Self { target, endpoint: record.endpoint, domain, uri })
    }

    /// Sends the request, and records what its outcome says about the path to the target, and what the
    /// target states in its answer. Sets `is_opened` once a new connection has been opened.
    ///
    /// # Errors
    /// Returns the reason if no complete answer arrives within `timeout`.
    pub async fn send(
        self,
        context: &Context,
        timeout: Duration,
        purpose: ConnectionPurpose,
        is_opened: &AtomicBool,
    ) -> Result<BufferedAnswer, AttemptFailure> {
        let Self { target, endpoint, domain, uri } = self;
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = uri;
        TransferKind::Probes.record_bytes(&domain, message_bytes(request.headers(), 0));
        let run = target_run(context, target);
        let sent_at = context.clock.now();
        let target_request = TargetRequest {
            target,
            endpoint,
            request,
            timeout,
            expected_size: shallotfork_types::Bytes::default(),
            repeatable: true,
            answer_match: &|status: StatusCode, headers: &HeaderMap| {
                record_statements(context, &StatedBy { run: &run, sent_at }, status, headers);
                AnswerMatch::Match
            },
            purpose,
            on_opened: &|| is_opened.store(true, Ordering::Relaxed),
        };
        let result = context.target_connections.send(target_request).await;
        record_reach(context, target, is_opened.load(Ordering::Relaxed), &result);
        record_endless_answer(context, &run, &result);
        if let Ok(answer) = &result {
            let size = message_bytes(&answer.headers, answer.body.len());
            TransferKind::Probes.record_bytes(&domain, size);
        }
        result
    }
}
