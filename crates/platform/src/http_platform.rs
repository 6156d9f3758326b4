//! The platform over HTTP.

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

/// Bytes of answers read from the platform.
const PLATFORM_BYTES: &str = "shallotd_platform_bytes_total";

/// Header that names the revision of a single value.
const REVISION_HEADER: &str = "Shallotfork-Revision";

/// Reads the platform's replicas over HTTP, one after another when they fail.
#[derive(Debug)]
pub struct HttpPlatform {
    client: Client,
    config: HttpPlatformConfig,
    limit: CallLimit,
    current: AtomicUsize,
    calls: AtomicU64,
}

impl HttpPlatform {
    /// A client that asks the first replica first.
    ///
    /// # Errors
    /// When the HTTP library cannot be set up.
    pub fn new(config: HttpPlatformConfig) -> Result<Self, reqwest::Error> {
        // The library would follow redirects to elsewhere, read proxies from the environment and
        // call again on its own, which the cap on calls would not see.
        let client = Client::builder()
            .redirect(redirect::Policy::none())
            .retry(retry::never())
            .no_proxy()
            .build()?;
        let limit = CallLimit::new(config.calls_per_second);
        Ok(Self { client, config, limit, current: AtomicUsize::new(0), calls: AtomicU64::new(0) })
    }

    fn current(&self) -> Endpoint {
        let index = self.current.load(Ordering::Relaxed) % self.config.replicas.len().max(1);
        let unreachable = Endpoint::new(([0, 0, 0, 0], 0).into());
        self.config.replicas.get(index).copied().unwrap_or(unreachable)
    }

    /// Makes one call; after a failure the next call goes to the next replica.
    async fn call(&self, path: &str, wait: Duration) -> Result<Answer, PlatformError> {
        let replica = self.current();
        self.limit.ready().await;
        self.calls.fetch_add(1, Ordering::Relaxed);
        let request = self.client.get(format!("http://{replica}{path}"));
        let timeout = self.config.timeout.saturating_add(wait);
        let call = tokio::time::timeout(timeout, self.exchange(replica, request));
        let answer = call.await.unwrap_or(Err(PlatformErrorKind::Timeout));
        match answer {
            Ok(answer) => Ok(answer),
            Err(kind) => Err(self.fail(replica, kind)),
        }
    }

    async fn exchange(
        &self,
        replica: Endpoint,
        request: RequestBuilder,
    ) -> Result<Answer, PlatformErrorKind> {
        let response = request.send().await.map_err(unreachable)?;
        let status = response.status();
        let revision = revision_of(&response);
        let body = self.body(response).await?;
        Ok(Answer { replica, status, revision, body })
    }

    async fn body(&self, mut response: Response) -> Result<Vec<u8>, PlatformErrorKind> {
        let limit = self.config.answer_max;
        let mut body = Vec::new();
        while let Some(chunk) = response.chunk().await.map_err(unreachable)? {
            let size = Bytes::new((body.len() + chunk.len()) as u64);
            if size > limit {
                return Err(PlatformErrorKind::TooLarge(limit));
            }
            counter!(PLATFORM_BYTES).increment(chunk.len() as u64);
            body.extend_from_slice(&chunk);
        }
        Ok(body)
    }

    fn fail(&self, replica: Endpoint, kind: PlatformErrorKind) -> PlatformError {
        self.switch_replica();
        PlatformError { replica, kind }
    }

    fn check_size(&self, list: &PublishedList) -> Result<(), PlatformErrorKind> {
        let limit = self.config.list_max;
        if Bytes::new(list.content.len() as u64) > limit {
            return Err(PlatformErrorKind::TooLarge(limit));
        }
        Ok(())
    }

    fn changes_of(&self, answer: &Answer) -> Result<Changes, PlatformErrorKind> {
        if answer.status != StatusCode::OK {
            return Err(PlatformErrorKind::Status(answer.status.as_u16()));
        }
        let json: ChangesJson = serde_json::from_slice(&answer.body)
            .map_err(|error| PlatformErrorKind::Malformed(error.to_string()))?;
        let changes = json.into_changes(answer.replica).map_err(PlatformErrorKind::Malformed)?;
        changes.lists.iter().try_for_each(|list| self.check_size(list))?;
        Ok(changes)
    }

    fn list_of(
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
        let revision = answer.revision.ok_or_else(|| malformed("no revision"))?;
        let content = String::from_utf8(answer.body).map_err(|_| malformed("not UTF-8"))?;
        let list = PublishedList { name: name.clone(), revision, content };
        self.check_size(&list)?;
        Ok(Some(list))
    }
}

#[async_trait]
impl Platform for HttpPlatform {
    fn replica(&self) -> Endpoint {
        self.current()
    }

    fn replica_count(&self) -> usize {
        self.config.replicas.len()
    }

    fn switch_replica(&self) {
        self.current.fetch_add(1, Ordering::Relaxed);
    }

    fn call_count(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    async fn changes(&self, after: Revision, wait: Duration) -> Result<Changes, PlatformError> {
        let path = format!("/v1/changes?after={after}&wait_ms={}", wait.as_millis());
        let answer = self.call(&path, wait).await?;
        self.changes_of(&answer).map_err(|kind| self.fail(answer.replica, kind))
    }

    async fn read(&self, name: &ListName) -> Result<Option<PublishedList>, PlatformError> {
        let answer = self.call(&format!("/v1/values/{name}"), Duration::ZERO).await?;
        let replica = answer.replica;
        self.list_of(name, answer).map_err(|kind| self.fail(replica, kind))
    }
}

/// A whole answer of one replica.
struct Answer {
    replica: Endpoint,
    status: StatusCode,
    revision: Option<Revision>,
    body: Vec<u8>,
}

fn unreachable(error: reqwest::Error) -> PlatformErrorKind {
    PlatformErrorKind::Unreachable(error.without_url().to_string())
}

fn revision_of(response: &Response) -> Option<Revision> {
    response.headers().get(REVISION_HEADER)?.to_str().ok()?.parse().ok()
}
