//! HTTP client for the ports of entries that operators use.

use std::fs;

use anyhow::{Context, Result, ensure};
use futures::future::join_all;
use reqwest::{Client, Response, StatusCode, redirect, retry};
use serde::de::DeserializeOwned;
use shallotfork_types::report::{AuditReport, StatusReport};
use shallotfork_types::{Endpoint, ListName};

use crate::entries_config::EntriesConfig;

/// Read-only client for the operator ports, or the metrics ports, of entries.
#[derive(Debug)]
pub struct EntriesClient {
    client: Client,
    token: Option<String>,
    config: EntriesConfig,
}

/// Result of a request to one entry.
#[derive(Debug)]
pub struct EntryResponse<T> {
    /// Address that was queried.
    pub entry: Endpoint,
    /// The report, or the error if the entry returned none.
    pub report: Result<T>,
}

impl EntriesClient {
    /// Reads the token and sets up the client.
    ///
    /// # Errors
    /// When the token file cannot be read or the HTTP library cannot be set up.
    pub fn new(config: EntriesConfig) -> Result<Self> {
        let token = config.token_file.as_ref().map(|path| {
            let text = fs::read_to_string(path);
            text.with_context(|| format!("cannot read {}", path.display()))
        });
        let token = token.transpose()?.map(|text| text.trim().to_owned());
        let client = Client::builder()
            .redirect(redirect::Policy::none())
            .retry(retry::never())
            .no_proxy()
            .timeout(config.timeout)
            .build()?;
        Ok(Self { client, token, config })
    }

    /// Returns the status of every entry, in the order given.
    pub async fn status(&self) -> Vec<EntryResponse<StatusReport>> {
        self.get_all("/v1/status").await
    }

    /// Returns the audit trail of every entry, in the order given.
    pub async fn audit(&self) -> Vec<EntryResponse<AuditReport>> {
        self.get_all("/v1/audit").await
    }

    /// Returns the metrics of every entry as text, in the order given.
    pub async fn metrics(&self) -> Vec<EntryResponse<String>> {
        let requests = self.config.entries.iter().map(async |entry| {
            let report = self.get_text(*entry, "/metrics").await;
            EntryResponse { entry: *entry, report }
        });
        join_all(requests).await
    }

    /// Returns the text of a list in force at the first entry, or `None` if it has no such list.
    ///
    /// # Errors
    /// When no entry is given, or it does not answer.
    pub async fn list(&self, name: &ListName) -> Result<Option<String>> {
        let entry = self.config.entries.first().context("no entry given")?;
        let response = self.get(*entry, &format!("/v1/lists/{name}")).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        read_text(response).await.map(Some)
    }

    async fn get_all<T: DeserializeOwned>(&self, path: &str) -> Vec<EntryResponse<T>> {
        let requests = self.config.entries.iter().map(async |entry| {
            let report = self.get_json(*entry, path).await;
            EntryResponse { entry: *entry, report }
        });
        join_all(requests).await
    }

    async fn get_json<T: DeserializeOwned>(&self, entry: Endpoint, path: &str) -> Result<T> {
        let text = self.get_text(entry, path).await?;
        serde_json::from_str(&text).context("malformed answer")
    }

    async fn get_text(&self, entry: Endpoint, path: &str) -> Result<String> {
        read_text(self.get(entry, path).await?).await
    }

    async fn get(&self, entry: Endpoint, path: &str) -> Result<Response> {
        let mut request = self.client.get(format!("http://{entry}{path}"));
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        request.send().await.context("no answer")
    }
}

async fn read_text(response: Response) -> Result<String> {
    let status = response.status();
    ensure!(status.is_success(), "status {status}");
    response.text().await.context("answer was cut off")
}
