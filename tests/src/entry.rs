//! An entry, run as a `shallotd` process.

use std::path::Path;

use serde::Deserialize;
use shallotfork_types::report::StatusReport;
use shallotfork_types::{Endpoint, FailureDomain, VmId};

use crate::platform::VmJson;
use crate::program::Program;
use crate::relay::Relay;
use crate::settings::EntrySettings;

/// The line that `shallotd` prints once its ports are open.
#[derive(Debug, Clone, Deserialize)]
pub struct EntryReady {
    /// The entry VM.
    pub vm: VmId,
    /// Port for callers.
    pub callers: Endpoint,
    /// Port for peers.
    pub peers: Endpoint,
    /// Port for operators.
    pub operators: Endpoint,
}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    /// The process.
    pub program: Program,
    /// The entry VM.
    pub vm: VmId,
    /// Failure domain of the entry VM.
    pub failure_domain: FailureDomain,
    /// Ports of the entry.
    pub ready: EntryReady,
    /// Settings that the process was started with.
    pub settings: EntrySettings,
    /// Relay in front of the peer port, in a case with peer relays.
    pub relay: Option<Relay>,
    /// Whether the VM list publishes the entry as leaving.
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

    /// Returns whether the entry reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        self.operator_get("/v1/ready").await.is_ok()
    }

    /// Reads the status report of the entry.
    ///
    /// # Errors
    /// Returns an error if the operator port does not answer.
    pub async fn status(&self) -> anyhow::Result<StatusReport> {
        Ok(serde_json::from_str(&self.operator_get("/v1/status").await?)?)
    }

    /// Returns whether the entry reports every one of `others`, apart from itself, as live.
    pub(crate) async fn reports_live(&self, others: &[&VmId]) -> bool {
        let Ok(status) = self.status().await else {
            return false;
        };
        let is_live =
            |vm: &VmId| status.entries.iter().any(|entry| entry.vm == *vm && entry.state == "live");
        others.iter().all(|vm| **vm == self.vm || is_live(vm))
    }

    /// Reads a page of the operator port.
    ///
    /// # Errors
    /// Returns an error if the port does not answer with a success status.
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
