//! A `shallotd` process.

use std::path::Path;

use serde::Deserialize;
use shallotfork_types::report::StatusReport;
use shallotfork_types::{Endpoint, FailureDomain, VmId};

use crate::platform::VmJson;
use crate::program::Program;
use crate::relay::Relay;
use crate::settings::EntrySettings;

/// The ready line of `shallotd`.
#[derive(Debug, Clone, Deserialize)]
pub struct EntryReady {
    /// The VM that it runs on.
    pub vm: VmId,
    /// Where callers connect.
    pub callers: Endpoint,
    /// Where peers connect.
    pub peers: Endpoint,
    /// Where operators connect.
    pub operators: Endpoint,
}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    /// The process.
    pub program: Program,
    /// Its VM.
    pub vm: VmId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Its ports.
    pub ready: EntryReady,
    /// What it was started with.
    pub settings: EntrySettings,
    /// What stands before its peers' port, when the case asks for it.
    pub relay: Option<Relay>,
    /// Whether the platform says that it is leaving.
    pub published_leaving: bool,
    http: reqwest::Client,
}

impl Entry {
    pub(crate) async fn start(
        vm: &VmId,
        failure_domain: &FailureDomain,
        settings: EntrySettings,
        directory: &Path,
        http: reqwest::Client,
    ) -> anyhow::Result<Self> {
        let run = rand::random::<u16>();
        let path = directory.join(format!("{vm}-{run:04x}.ini"));
        std::fs::write(&path, settings.to_string())?;
        let args = ["--settings".to_owned(), path.display().to_string()];
        let log = directory.join(format!("{vm}-{run:04x}.log"));
        let (program, ready) = Program::start::<EntryReady>("shallotd", &args, &log).await?;
        Ok(Self {
            program,
            vm: vm.clone(),
            failure_domain: failure_domain.clone(),
            ready,
            settings,
            relay: None,
            published_leaving: false,
            http,
        })
    }

    /// Whether the entry serves.
    pub async fn is_ready(&self) -> bool {
        self.operator_get("/v1/ready").await.is_ok()
    }

    /// What the entry tells operators of its state.
    ///
    /// # Errors
    /// When the operators' port does not answer.
    pub async fn status(&self) -> anyhow::Result<StatusReport> {
        Ok(serde_json::from_str(&self.operator_get("/v1/status").await?)?)
    }

    /// Whether the entry takes all of these, itself aside, for live.
    pub(crate) async fn knows_live(&self, others: &[&VmId]) -> bool {
        let Ok(status) = self.status().await else {
            return false;
        };
        let is_live =
            |vm: &VmId| status.entries.iter().any(|entry| entry.vm == *vm && entry.state == "live");
        others.iter().all(|vm| **vm == self.vm || is_live(vm))
    }

    /// Reads a page of the operators' port.
    ///
    /// # Errors
    /// When the port does not answer with a success.
    pub async fn operator_get(&self, path: &str) -> anyhow::Result<String> {
        let url = format!("http://{}{path}", self.ready.operators);
        Ok(self.http.get(url).send().await?.error_for_status()?.text().await?)
    }

    pub(crate) fn published(&self) -> VmJson {
        VmJson {
            id: self.vm.clone(),
            failure_domain: self.failure_domain.clone(),
            callers: self.ready.callers,
            peers: self.relay.as_ref().map_or(self.ready.peers, Relay::address),
            state: if self.published_leaving { "leaving" } else { "live" },
        }
    }
}
