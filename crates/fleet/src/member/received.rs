//! What heartbeats report about the platform and the size of the failure domain.

use shallotfork_types::Mono;

use super::FleetMember;
use crate::fleet_view::FleetView;
use crate::heartbeat::FleetHeartbeat;

impl FleetMember {
    /// Records what the sender reports about the platform: its own result if it is a reader,
    /// otherwise the ages that it forwards.
    ///
    /// Reports of a sender that doesn't tell epochs apart are ignored: this entry can't use what it has
    /// read, and has to read for itself while there are no other readers.
    pub(super) fn record_platform_report(
        &mut self,
        view: &FleetView,
        heartbeat: &FleetHeartbeat,
        now: Mono,
    ) {
        if !heartbeat.knows_epochs {
            return;
        }
        if view.readers.contains(&heartbeat.from.listed.vm) {
            self.platform.record_reader_report(!heartbeat.is_disconnected, now);
        } else if !view.contacts.monitors_readers {
            self.platform.merge_ages(heartbeat.platform, now);
        }
    }

    /// Records the number of entries in this entry's failure domain if the sender is a leading
    /// entry there, since these know all of them.
    pub(super) fn record_domain_entries(&mut self, view: &FleetView, heartbeat: &FleetHeartbeat) {
        let listed = &heartbeat.from.listed;
        let is_local = listed.failure_domain == self.own.listed.failure_domain;
        if is_local
            && !view.contacts.forwards_updates
            && view.contacts.monitored.contains(&listed.vm)
        {
            self.reported_domain_entries = heartbeat.domain_entries;
        }
    }
}
