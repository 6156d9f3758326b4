//! Reads the operators' port of entries.

use std::fs;

use anyhow::{Context, Result, ensure};
use futures::future::join_all;
use reqwest::{Client, Response, StatusCode, redirect, retry};
use serde::de::DeserializeOwned;
use shallotfork_types::report::{AuditReport, StatusReport};
use shallotfork_types::{Endpoint, ListName};

use crate::entries_config::EntriesConfig;

/// Asks entries; it only ever reads.
#[derive(Debug)]
pub struct Entries {
    client: Client,
    token: Option<String>,
    config: EntriesConfig,
}

/// What one entry answered.
#[derive(Debug)]
pub struct Answer<T> {
    /// The entry.
    pub entry: Endpoint,
    /// Its report, or why there is none.
    pub report: Result<T>,
}

impl Entries {
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

    /// The status of every entry, in the order given.
    pub async fn status(&self) -> Vec<Answer<StatusReport>> {
        self.all("/v1/status").await
    }

    /// The audit trail of every entry, in the order given.
    pub async fn audit(&self) -> Vec<Answer<AuditReport>> {
        self.all("/v1/audit").await
    }

    /// The text of a list in force at the first entry; `None` when it has none of that name.
    ///
    /// # Errors
    /// When no entry is given, or it does not answer.
    pub async fn list(&self, name: &ListName) -> Result<Option<String>> {
        let entry = self.config.entries.first().context("no entry given")?;
        let response = self.get(*entry, &format!("/v1/lists/{name}")).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        whole_text(response).await.map(Some)
    }

    async fn all<T: DeserializeOwned>(&self, path: &str) -> Vec<Answer<T>> {
        let asked = self.config.entries.iter().map(async |entry| {
            let report = self.json(*entry, path).await;
            Answer { entry: *entry, report }
        });
        join_all(asked).await
    }

    async fn json<T: DeserializeOwned>(&self, entry: Endpoint, path: &str) -> Result<T> {
        let text = self.text(entry, path).await?;
        serde_json::from_str(&text).context("malformed answer")
    }

    async fn text(&self, entry: Endpoint, path: &str) -> Result<String> {
        whole_text(self.get(entry, path).await?).await
    }

    async fn get(&self, entry: Endpoint, path: &str) -> Result<Response> {
        let mut request = self.client.get(format!("http://{entry}{path}"));
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        request.send().await.context("no answer")
    }
}

async fn whole_text(response: Response) -> Result<String> {
    let status = response.status();
    ensure!(status.is_success(), "status {status}");
    response.text().await.context("answer was cut off")
}
