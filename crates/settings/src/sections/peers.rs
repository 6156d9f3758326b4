//! `[peers]`

use std::path::PathBuf;
use std::time::Duration;

use shallotfork_types::Endpoint;

use crate::Presence::{Default, Optional, Required};
use crate::reader::Reader;

section! {
    /// The port for the other entries.
    PeersSettings = "peers" {
        /// Address to listen on; port 0 lets the kernel choose.
        listen: Endpoint = "listen", Required, "10.0.0.1:8081";
        /// Address told to peers; the bound address when left out.
        advertise: Option<Endpoint> = "advertise", Optional, "10.0.0.1:8081";
        /// File with the key that all entries share and prove to each other.
        key_file: PathBuf = "key_file", Required, "/run/shallotd/peer.key";
        /// Time between two heartbeats to a peer.
        heartbeat: Duration = "heartbeat_ms", Default("1000"), "1000";
        /// Silence after which a peer is left out of the entries told to callers.
        suspect_after: Duration = "suspect_after_ms", Default("3000"), "3000";
        /// Time within which a peer must answer a call.
        call_timeout: Duration = "call_timeout_ms", Default("500"), "500";
    }
}

impl PeersSettings {
    pub(crate) fn check(&self, reader: &mut Reader<'_>) {
        super::check_advertise(reader, Self::SECTION, self.listen, self.advertise);
        let mut require = |holds, key, reason| reader.require(holds, Self::SECTION, key, reason);
        require(!self.heartbeat.is_zero(), "heartbeat_ms", "at least 1");
        require(!self.call_timeout.is_zero(), "call_timeout_ms", "at least 1");
        let patient = self.suspect_after >= self.heartbeat * HEARTBEATS_BEFORE_SUSPICION;
        require(patient, "suspect_after_ms", "at least twice heartbeat_ms");
    }
}

/// One lost heartbeat must not be enough to suspect a peer.
const HEARTBEATS_BEFORE_SUSPICION: u32 = 2;
