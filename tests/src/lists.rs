//! Published lists in force at entries, read from their operator ports.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::Context;
use shallotfork_types::report::{AuditChange, AuditReport, ListStatus, StatusReport};
use shallotfork_types::{Endpoint, ListName, Revision, VmId};
use tokio::task::JoinHandle;

use crate::entry::Entry;
use crate::running::Running;

/// Polling period of a [`RevisionWatch`].
const WATCH_INTERVAL: Duration = Duration::from_millis(5);

impl Entry {
    /// Reads the audit log of the entry.
    ///
    /// # Errors
    /// Returns an error if the operator port does not answer.
    pub async fn audit(&self) -> anyhow::Result<Vec<AuditChange>> {
        let report: AuditReport = serde_json::from_str(&self.operator_get("/v1/audit").await?)?;
        Ok(report.changes)
    }

    /// Reads the status of the rule list in force at the entry.
    ///
    /// # Errors
    /// Returns an error if the operator port does not answer or no rule list is in force.
    pub async fn rules(&self) -> anyhow::Result<ListStatus> {
        let lists = self.status().await?.lists;
        let rules = lists.into_iter().find(|list| list.name == ListName::Rules);
        rules.context("no rules in force")
    }

    /// Returns the revision of the rules in force; [`Revision::NONE`] if the entry does not answer.
    pub async fn rules_revision(&self) -> Revision {
        self.rules().await.map_or(Revision::NONE, |rules| rules.revision)
    }
}

impl Running {
    /// Returns whether every entry has this or a later revision of the rules in force.
    pub async fn has_rules_everywhere(&self, revision: Revision) -> bool {
        for entry in &self.entries {
            if entry.rules_revision().await < revision {
                return false;
            }
        }
        true
    }

    /// Returns whether every entry has the same version of the rules in force.
    pub async fn agrees_on_rules(&self) -> bool {
        let mut versions = Vec::new();
        for entry in &self.entries {
            let Ok(rules) = entry.rules().await else { return false };
            versions.push((rules.revision, rules.digest));
        }
        versions.dedup();
        versions.len() == 1
    }
}

/// Polls entries in the background and records each decrease of a revision in force.
#[derive(Debug)]
pub struct RevisionWatch {
    decreases: Arc<Mutex<Vec<String>>>,
    task: JoinHandle<()>,
}

impl RevisionWatch {
    /// Starts polling `entries`; an entry that does not answer is skipped until the next round.
    pub fn start(entries: &[Entry]) -> Self {
        let ports = entries.iter().map(|entry| entry.ready.operators).collect();
        let decreases = Arc::default();
        let task = tokio::spawn(watch(ports, Arc::clone(&decreases)));
        Self { decreases, task }
    }

    /// Stops polling and returns a description of every decrease seen.
    pub fn decreases(self) -> Vec<String> {
        self.task.abort();
        self.decreases.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

async fn watch(ports: Vec<Endpoint>, decreases: Arc<Mutex<Vec<String>>>) {
    let http = reqwest::Client::new();
    let mut highest: BTreeMap<(VmId, ListName), Revision> = BTreeMap::new();
    loop {
        for port in &ports {
            let Some(report) = read_status(&http, *port).await else { continue };
            for list in report.lists {
                let seen = highest.entry((report.vm.clone(), list.name.clone())).or_default();
                if list.revision < *seen {
                    let decrease =
                        format!("{} {}: {seen} to {}", report.vm, list.name, list.revision);
                    decreases.lock().unwrap_or_else(PoisonError::into_inner).push(decrease);
                }
                *seen = list.revision.max(*seen);
            }
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}

async fn read_status(http: &reqwest::Client, port: Endpoint) -> Option<StatusReport> {
    let response = http.get(format!("http://{port}/v1/status")).send().await.ok()?;
    response.json().await.ok()
}
