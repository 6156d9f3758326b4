//! The published list `targets.SERVICE`: targets of one service.

use std::collections::HashSet;

use serde::Deserialize;
use shallotfork_types::{Endpoint, FailureDomain, ServiceName, TargetId};

use crate::ListError;

/// Published state of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// The target accepts new requests.
    Serving,
    /// The target finishes its requests and accepts no new ones.
    Draining,
}

/// Target as published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetInfo {
    /// Name of the target, unique over all services.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Address that the target listens on.
    pub endpoint: Endpoint,
    /// Failure domain of the target.
    pub failure_domain: FailureDomain,
    /// Whether the target accepts new requests.
    pub state: TargetState,
    /// Number of requests that the target runs at once.
    pub slots: u32,
    /// Maximum number of open connections to the target, from all entries together.
    pub connections_max: u32,
    /// Status that the target answers only to requests that it has not started; `None` without
    /// such a guarantee.
    pub shed_status: Option<u16>,
    /// Whether the target accepts HTTP/2 without TLS.
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

/// Parses and validates the content of `targets.SERVICE`.
///
/// Unknown fields are ignored, so that publishers can add fields.
///
/// # Errors
/// Returns an error if the content is not the expected JSON, or a target is invalid or listed
/// twice.
pub fn parse_targets(service: &ServiceName, content: &str) -> Result<Vec<TargetInfo>, ListError> {
    let list: ListJson = serde_json::from_str(content).map_err(ListError::new)?;
    let mut ids = HashSet::new();
    let mut endpoints = HashSet::new();
    for target in &list.targets {
        target.validate()?;
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
    fn validate(&self) -> Result<(), ListError> {
        if self.slots == 0 {
            return Err(self.error("slots must be at least 1"));
        }
        if self.connections_max == 0 {
            return Err(self.error("connections_max must be at least 1"));
        }
        if self.address.address().port() == 0 {
            return Err(self.error("address needs a port"));
        }
        let is_error_status = |status: u16| (400..600).contains(&status);
        if !self.shed_status.is_none_or(is_error_status) {
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
