//! HTTP client of the platform.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use metrics::counter;
use reqwest::{Client, RequestBuilder, Response, StatusCode, redirect, retry};
use shallotfork_types::{Bytes, Endpoint, ListName, Revision};

use crate::call_limit::CallLimit;
use crate::wire::ChangesJson;
use crate::{
    Changes, HttpPlatformConfig, Platform, PlatformError, PlatformErrorKind, PublishedList,
};

/// Counter of answer bytes read from the platform.
const PLATFORM_BYTES: &str = "shallotd_platform_bytes_total";

/// Header with the revision of a single value.
const REVISION_HEADER: &str = "Shallotfork-Revision";

/// Reads the platform over HTTP; after a failure it switches to the next replica.
#[derive(Debug)]
pub struct HttpPlatform {
    client: Client,
    config: HttpPlatformConfig,
    call_limit: CallLimit,
    replica_index: AtomicUsize,
    call_count: AtomicU64,
}

impl HttpPlatform {
    /// Creates a client that starts with the first replica.
    ///
    /// # Errors
    /// Returns an error if the HTTP client cannot be set up.
    pub fn new(config: HttpPlatformConfig) -> Result<Self, reqwest::Error> {
        // By default the library follows redirects to other hosts, uses proxies from the
        // environment and retries on its own, which would bypass the limit on calls.
        let client = Client::builder()
            .redirect(redirect::Policy::none())
            .retry(retry::never())
            .no_proxy()
            .build()?;
        let call_limit = CallLimit::new(config.calls_per_second);
        Ok(Self {
            client,
            config,
            call_limit,
            replica_index: AtomicUsize::new(0),
            call_count: AtomicU64::new(0),
        })
    }

    fn current_replica(&self) -> Endpoint {
        let index = self.replica_index.load(Ordering::Relaxed) % self.config.replicas.len().max(1);
        let unspecified = Endpoint::new(([0, 0, 0, 0], 0).into());
        self.config.replicas.get(index).copied().unwrap_or(unspecified)
    }

    /// Makes one call; after a failure the next call goes to the next replica.
    async fn call(&self, path: &str, wait: Duration) -> Result<Answer, PlatformError> {
        let replica = self.current_replica();
        self.call_limit.wait_until_ready().await;
        self.call_count.fetch_add(1, Ordering::Relaxed);
        let request = self.client.get(format!("http://{replica}{path}"));
        let timeout = self.config.timeout.saturating_add(wait);
        let call = tokio::time::timeout(timeout, self.send_request(replica, request));
        let answer = call.await.unwrap_or(Err(PlatformErrorKind::Timeout));
        match answer {
            Ok(answer) => Ok(answer),
            Err(kind) => Err(self.handle_failure(replica, kind)),
        }
    }

    async fn send_request(
        &self,
        replica: Endpoint,
        request: RequestBuilder,
    ) -> Result<Answer, PlatformErrorKind> {
        let response = request.send().await.map_err(into_unreachable)?;
        let status = response.status();
        let revision = parse_revision(&response);
        let body = self.read_body(response).await?;
        Ok(Answer { replica, status, revision, body })
    }

    async fn read_body(&self, mut response: Response) -> Result<Vec<u8>, PlatformErrorKind> {
        let max_size = self.config.answer_max;
        let mut body = Vec::new();
        while let Some(chunk) = response.chunk().await.map_err(into_unreachable)? {
            let size = Bytes::new((body.len() + chunk.len()) as u64);
            if size > max_size {
                return Err(PlatformErrorKind::TooLarge(max_size));
            }
            counter!(PLATFORM_BYTES).increment(chunk.len() as u64);
            body.extend_from_slice(&chunk);
        }
        Ok(body)
    }

    fn handle_failure(&self, replica: Endpoint, kind: PlatformErrorKind) -> PlatformError {
        self.switch_replica();
        PlatformError { replica, kind }
    }

    fn check_list_size(&self, list: &PublishedList) -> Result<(), PlatformErrorKind> {
        let max_size = self.config.list_max;
        if Bytes::new(list.content.len() as u64) > max_size {
            return Err(PlatformErrorKind::TooLarge(max_size));
        }
        Ok(())
    }

    fn parse_changes(&self, answer: &Answer) -> Result<Changes, PlatformErrorKind> {
        if answer.status != StatusCode::OK {
            return Err(PlatformErrorKind::Status(answer.status.as_u16()));
        }
        let json: ChangesJson = serde_json::from_slice(&answer.body)
            .map_err(|error| PlatformErrorKind::Malformed(error.to_string()))?;
        let changes = json.into_changes(answer.replica).map_err(PlatformErrorKind::Malformed)?;
        changes.lists.iter().try_for_each(|list| self.check_list_size(list))?;
        Ok(changes)
    }

    fn parse_list(
        &self,
        name: &ListName,
        answer: Answer,
    ) -> Result<Option<PublishedList>, PlatformErrorKind> {
        match answer.status {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Ok(None),
            status => return Err(PlatformErrorKind::Status(status.as_u16())),
        }
        let malformed = |reason: &str| PlatformErrorKind::Malformed(reason.to_owned());
        let revision = answer
            .revision
            .ok_or_else(|| malformed("missing or invalid Shallotfork-Revision header"))?;
        let content =
            String::from_utf8(answer.body).map_err(|_| malformed("content is not UTF-8"))?;
        let list = PublishedList { name: name.clone(), revision, content };
        self.check_list_size(&list)?;
        Ok(Some(list))
    }
}

#[async_trait]
impl Platform for HttpPlatform {
    fn replica(&self) -> Endpoint {
        self.current_replica()
    }

    fn replica_count(&self) -> usize {
        self.config.replicas.len()
    }

    fn switch_replica(&self) {
        self.replica_index.fetch_add(1, Ordering::Relaxed);
    }

    fn call_count(&self) -> u64 {
        self.call_count.load(Ordering::Relaxed)
    }

    async fn changes(&self, after: Revision, wait: Duration) -> Result<Changes, PlatformError> {
        let path = format!("/v1/changes?after={after}&wait_ms={}", wait.as_millis());
        let answer = self.call(&path, wait).await?;
        self.parse_changes(&answer).map_err(|kind| self.handle_failure(answer.replica, kind))
    }

    async fn read(&self, name: &ListName) -> Result<Option<PublishedList>, PlatformError> {
        let answer = self.call(&format!("/v1/values/{name}"), Duration::ZERO).await?;
        let replica = answer.replica;
        self.parse_list(name, answer).map_err(|kind| self.handle_failure(replica, kind))
    }
}

/// Complete answer of one replica.
struct Answer {
    replica: Endpoint,
    status: StatusCode,
    revision: Option<Revision>,
    body: Vec<u8>,
}

fn into_unreachable(error: reqwest::Error) -> PlatformErrorKind {
    PlatformErrorKind::Unreachable(error.without_url().to_string())
}

fn parse_revision(response: &Response) -> Option<Revision> {
    response.headers().get(REVISION_HEADER)?.to_str().ok()?.parse().ok()
}
