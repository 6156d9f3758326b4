//! The published list `vms`: entry VMs.

use std::collections::HashSet;

use serde::Deserialize;
use shallotfork_types::{Endpoint, FailureDomain, VmId};

use crate::ListError;

/// Published state of a VM. The list may lag behind the actual state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is running, or was when the list was published.
    Live,
    /// The VM is being stopped.
    Leaving,
}

/// Entry VM as published.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct VmInfo {
    /// Name of the VM.
    pub id: VmId,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Address that callers connect to.
    pub callers: Endpoint,
    /// Address that peers connect to.
    pub peers: Endpoint,
    /// Whether the VM is running or being stopped.
    pub state: VmState,
}

#[derive(Debug, Deserialize)]
struct ListJson {
    vms: Vec<VmInfo>,
}

/// Parses and validates the content of `vms`.
///
/// Unknown fields are ignored, so that publishers can add fields.
///
/// # Errors
/// Returns an error if the content is not the expected JSON, or a VM is listed twice.
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
