//! `targets.SERVICE`: the targets of one service.

use std::collections::HashSet;

use serde::Deserialize;
use shallotfork_types::{Endpoint, FailureDomain, ServiceName, TargetId};

use crate::ListError;

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// It takes new work.
    Serving,
    /// It finishes what it has and takes no new work.
    Draining,
}

/// One target as published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetInfo {
    /// Name, unique over all services.
    pub id: TargetId,
    /// The service that it answers for.
    pub service: ServiceName,
    /// Where it listens.
    pub endpoint: Endpoint,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Connections that it holds at once, from all entries.
    pub connections_max: u32,
    /// Status with which it refuses work that it has not started, if it promises that.
    pub shed_status: Option<u16>,
    /// Whether it speaks HTTP/2 without TLS.
    pub http2: bool,
}

#[derive(Debug, Deserialize)]
struct ListJson {
    targets: Vec<TargetJson>,
}

#[derive(Debug, Deserialize)]
struct TargetJson {
    id: TargetId,
    address: Endpoint,
    failure_domain: FailureDomain,
    state: TargetState,
    slots: u32,
    connections_max: u32,
    shed_status: Option<u16>,
    #[serde(default)]
    http2: bool,
}

/// Checks the content of `targets.SERVICE`.
///
/// Fields that this version does not know are ignored, so that publishers can add some.
///
/// # Errors
/// When it is not the expected JSON, or an entry is unusable or stands twice.
pub fn parse_targets(service: &ServiceName, content: &str) -> Result<Vec<TargetInfo>, ListError> {
    let list: ListJson = serde_json::from_str(content).map_err(ListError::new)?;
    let mut ids = HashSet::new();
    let mut endpoints = HashSet::new();
    for target in &list.targets {
        target.check()?;
        if !ids.insert(&target.id) {
            return Err(target.error("listed twice"));
        }
        if !endpoints.insert(target.address) {
            return Err(target.error("has the address of another target"));
        }
    }
    Ok(list.targets.into_iter().map(|target| target.into_info(service)).collect())
}

impl TargetJson {
    fn check(&self) -> Result<(), ListError> {
        if self.slots == 0 {
            return Err(self.error("slots must be at least 1"));
        }
        if self.connections_max == 0 {
            return Err(self.error("connections_max must be at least 1"));
        }
        if self.address.address().port() == 0 {
            return Err(self.error("address needs a port"));
        }
        let refusal = |status: u16| (400..600).contains(&status);
        if !self.shed_status.is_none_or(refusal) {
            return Err(self.error("shed_status must be 400 to 599"));
        }
        Ok(())
    }

    fn error(&self, reason: &str) -> ListError {
        ListError::new(format_args!("target {}: {reason}", self.id))
    }

    fn into_info(self, service: &ServiceName) -> TargetInfo {
        TargetInfo {
            id: self.id,
            service: service.clone(),
            endpoint: self.address,
            failure_domain: self.failure_domain,
            state: self.state,
            slots: self.slots,
            connections_max: self.connections_max,
            shed_status: self.shed_status,
            http2: self.http2,
        }
    }
}
