//! The section `[peers]`.

use std::path::PathBuf;
use std::time::Duration;

use shallotfork_types::Endpoint;

use crate::Presence::{Default, Optional, Required};
use crate::reader::Reader;

section! {
    /// Port for other entries.
    PeersSettings = "peers" {
        /// Address to listen on; with port 0 the kernel chooses the port.
        listen: Endpoint = "listen", Required, "10.0.0.1:8081";
        /// Address advertised to peers; the bound address by default.
        advertise: Option<Endpoint> = "advertise", Optional, "10.0.0.1:8081";
        /// File with the key that all entries share; peers prove to each other that they have it.
        key_file: PathBuf = "key_file", Required, "/run/shallotd/peer.key";
        /// Interval between heartbeats to a peer.
        heartbeat: Duration = "heartbeat_ms", Default("1000"), "1000";
        /// Time without a sign of life after which a peer is no longer advertised to callers.
        suspect_after: Duration = "suspect_after_ms", Default("3000"), "3000";
        /// Timeout of a call to a peer.
        call_timeout: Duration = "call_timeout_ms", Default("500"), "500";
    }
}

impl PeersSettings {
    pub(crate) fn validate(&self, reader: &mut Reader<'_>) {
        super::check_advertise(reader, Self::SECTION, self.listen, self.advertise);
        let mut require =
            |is_valid, key, reason| reader.require(is_valid, Self::SECTION, key, reason);
        require(!self.heartbeat.is_zero(), "heartbeat_ms", "at least 1");
        require(!self.call_timeout.is_zero(), "call_timeout_ms", "at least 1");
        let tolerates_lost_heartbeat =
            self.suspect_after >= self.heartbeat * MIN_HEARTBEATS_BEFORE_SUSPICION;
        require(tolerates_lost_heartbeat, "suspect_after_ms", "at least twice heartbeat_ms");
    }
}

/// Minimum number of heartbeat intervals before a peer is suspected, so that a single lost
/// heartbeat is not enough.
const MIN_HEARTBEATS_BEFORE_SUSPICION: u32 = 2;
