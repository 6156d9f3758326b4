//! The section `[operators]`.

use std::path::PathBuf;

use shallotfork_types::Endpoint;

use crate::Presence::{Default, Optional};
use crate::reader::Reader;

section! {
    /// Port for `shallotctl` and the metrics collector.
    OperatorsSettings = "operators" {
        /// Address to listen on; with port 0 the kernel chooses the port.
        listen: Endpoint = "listen", Default("127.0.0.1:0"), "127.0.0.1:8082";
        /// File with the token that operators must present; required unless `listen` is a loopback
        /// address.
        token_file: Option<PathBuf> = "token_file", Optional, "/run/shallotd/operator.token";
    }
}

impl OperatorsSettings {
    pub(crate) fn validate(&self, reader: &mut Reader<'_>) {
        let is_protected = self.token_file.is_some() || self.listen.address().ip().is_loopback();
        let reason = "required when listen is not a loopback address";
        reader.require(is_protected, Self::SECTION, "token_file", reason);
    }
}
