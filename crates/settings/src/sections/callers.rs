//! The section `[callers]`.

use std::time::Duration;

use shallotfork_types::{Bytes, Endpoint};

use crate::Presence::{Default, Optional, Required};
use crate::reader::Reader;

section! {
    /// Port that callers connect to.
    CallersSettings = "callers" {
        /// Address to listen on; with port 0 the kernel chooses the port.
        listen: Endpoint = "listen", Required, "10.0.0.1:8080";
        /// Address advertised to callers; the bound address by default.
        advertise: Option<Endpoint> = "advertise", Optional, "203.0.113.7:8080";
        /// How long callers may cache an answer that advertises entries.
        keep_for: Duration = "keep_for_ms", Default("2000"), "2000";
        /// Maximum number of open connections of callers; a further one replaces the one that has made no progress for longest.
        connections_max: usize = "connections_max", Default("4096"), "4096";
        /// Maximum size of the body of one request or answer.
        body_max: Bytes = "body_max", Default("8MiB"), "8MiB";
        /// Maximum memory for all bodies held at once.
        bodies_total_max: Bytes = "bodies_total_max", Default("256MiB"), "256MiB";
        /// Timeout for receiving the head of a request.
        header_timeout: Duration = "header_timeout_ms", Default("5000"), "5000";
        /// Timeout for receiving the body of a request.
        body_timeout: Duration = "body_timeout_ms", Default("15000"), "15000";
        /// Deadline of a request if neither the request nor its rule sets one.
        deadline_default: Duration = "deadline_default_ms", Default("5000"), "5000";
        /// Maximum deadline that a caller may request.
        deadline_max: Duration = "deadline_max_ms", Default("60000"), "60000";
    }
}

impl CallersSettings {
    pub(crate) fn validate(&self, reader: &mut Reader<'_>) {
        super::check_advertise(reader, Self::SECTION, self.listen, self.advertise);
        let mut require =
            |is_valid, key, reason| reader.require(is_valid, Self::SECTION, key, reason);
        require(self.connections_max > 0, "connections_max", "at least 1");
        require(self.body_max <= self.bodies_total_max, "body_max", "at most bodies_total_max");
        require(!self.header_timeout.is_zero(), "header_timeout_ms", "at least 1");
        require(!self.body_timeout.is_zero(), "body_timeout_ms", "at least 1");
        require(!self.deadline_default.is_zero(), "deadline_default_ms", "at least 1");
        let is_within_max = self.deadline_default <= self.deadline_max;
        require(is_within_max, "deadline_default_ms", "at most deadline_max_ms");
    }
}
