//! `vms`: the entry VMs.

use std::collections::HashSet;

use serde::Deserialize;
use shallotfork_types::{Endpoint, FailureDomain, VmId};

use crate::ListError;

/// Whether a VM is about to go. The list lags behind the truth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It is running, or was a while ago.
    Live,
    /// It is being stopped.
    Leaving,
}

/// One entry VM as published.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct VmInfo {
    /// Name of the VM.
    pub id: VmId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Where callers connect.
    pub callers: Endpoint,
    /// Where peers connect.
    pub peers: Endpoint,
    /// Whether it is about to go.
    pub state: VmState,
}

#[derive(Debug, Deserialize)]
struct ListJson {
    vms: Vec<VmInfo>,
}

/// Checks the content of `vms`.
///
/// Fields that this version does not know are ignored, so that publishers can add some.
///
/// # Errors
/// When it is not the expected JSON, or a VM stands twice.
pub fn parse_vms(content: &str) -> Result<Vec<VmInfo>, ListError> {
    let list: ListJson = serde_json::from_str(content).map_err(ListError::new)?;
    let mut ids = HashSet::new();
    for vm in &list.vms {
        if !ids.insert(&vm.id) {
            return Err(ListError::new(format_args!("vm {}: listed twice", vm.id)));
        }
    }
    Ok(list.vms)
}
