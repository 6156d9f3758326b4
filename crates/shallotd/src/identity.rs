//! Who this process is.

use shallotfork_types::{Endpoint, FailureDomain, Incarnation, VmId};

/// Name, run and addresses of this process.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The VM.
    pub vm: VmId,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Where the VM stands.
    pub failure_domain: FailureDomain,
    /// Where callers connect.
    pub callers: Endpoint,
    /// Where peers connect.
    pub peers: Endpoint,
}
