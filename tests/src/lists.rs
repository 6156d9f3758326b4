//! What entries have in force, read from their operators' port.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::Context;
use shallotfork_types::report::{AuditChange, AuditReport, ListStatus, StatusReport};
use shallotfork_types::{Endpoint, ListName, Revision, VmId};
use tokio::task::JoinHandle;

use crate::entry::Entry;
use crate::running::Running;

/// How often a [`RevisionWatch`] looks.
const WATCH_INTERVAL: Duration = Duration::from_millis(5);

impl Entry {
    /// The changes that the entry remembers.
    ///
    /// # Errors
    /// When its operators' port does not answer.
    pub async fn audit(&self) -> anyhow::Result<Vec<AuditChange>> {
        let report: AuditReport = serde_json::from_str(&self.operator_get("/v1/audit").await?)?;
        Ok(report.changes)
    }

    /// The rule list that the entry has in force.
    ///
    /// # Errors
    /// When the operators' port does not answer or no rule list is in force.
    pub async fn rules(&self) -> anyhow::Result<ListStatus> {
        let lists = self.status().await?.lists;
        let rules = lists.into_iter().find(|list| list.name == ListName::Rules);
        rules.context("no rules in force")
    }

    /// The revision of the rules that the entry has in force; none when it does not answer.
    pub async fn rules_revision(&self) -> Revision {
        self.rules().await.map_or(Revision::NONE, |rules| rules.revision)
    }
}

impl Running {
    /// Whether every entry has these rules, or later ones, in force.
    pub async fn has_rules_everywhere(&self, revision: Revision) -> bool {
        for entry in &self.entries {
            if entry.rules_revision().await < revision {
                return false;
            }
        }
        true
    }

    /// Whether every entry has the same version of the rules in force.
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

/// Looks at entries all the time and notes each time that a revision in force falls.
#[derive(Debug)]
pub struct RevisionWatch {
    falls: Arc<Mutex<Vec<String>>>,
    task: JoinHandle<()>,
}

impl RevisionWatch {
    /// Begins to look at these entries; those that do not answer are left out.
    pub fn start(entries: &[Entry]) -> Self {
        let ports = entries.iter().map(|entry| entry.ready.operators).collect();
        let falls = Arc::default();
        let task = tokio::spawn(watch(ports, Arc::clone(&falls)));
        Self { falls, task }
    }

    /// Ends the watch; every fall that it saw.
    pub fn decreases(self) -> Vec<String> {
        self.task.abort();
        self.falls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

async fn watch(ports: Vec<Endpoint>, falls: Arc<Mutex<Vec<String>>>) {
    let http = reqwest::Client::new();
    let mut highest: BTreeMap<(VmId, ListName), Revision> = BTreeMap::new();
    loop {
        for port in &ports {
            let Some(report) = read_status(&http, *port).await else { continue };
            for list in report.lists {
                let seen = highest.entry((report.vm.clone(), list.name.clone())).or_default();
                if list.revision < *seen {
                    let fall = format!("{} {}: {seen} to {}", report.vm, list.name, list.revision);
                    falls.lock().unwrap_or_else(PoisonError::into_inner).push(fall);
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
