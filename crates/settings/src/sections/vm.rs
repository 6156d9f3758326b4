//! The section `[vm]`.

use shallotfork_types::{FailureDomain, Region, VmId};

use crate::Presence::{Default, Required};
use crate::reader::Reader;

section! {
    /// Identity of this VM in the fleet.
    VmSettings = "vm" {
        /// Name of the VM, unique in the fleet.
        id: VmId = "id", Required, "entry-1";
        /// Failure domain of the VM.
        failure_domain: FailureDomain = "failure_domain", Required, "kalgoorlie";
        /// Region of the VM.
        region: Region = "region", Default("main"), "goldfields";
        /// Index of the share of the probe budget that this VM uses, from 0; unique in the fleet.
        probe_share: u32 = "probe_share", Default("0"), "3";
        /// Number of shares of the probe budget: the maximum size of the fleet.
        probe_shares: u32 = "probe_shares", Default("16"), "16";
    }
}

impl VmSettings {
    pub(crate) fn validate(&self, reader: &mut Reader<'_>) {
        let is_in_range = self.probe_share < self.probe_shares;
        reader.require(is_in_range, Self::SECTION, "probe_share", "a number below probe_shares");
    }
}
