//! Identity of this process.

use shallotfork_types::{Endpoint, FailureDomain, Incarnation, VmId};

/// Name, incarnation and addresses of this process.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the VM.
    pub vm: VmId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Address that callers connect to.
    pub callers: Endpoint,
    /// Address that peers connect to.
    pub peers: Endpoint,
}
