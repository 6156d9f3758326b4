//! `[operators]`

use std::path::PathBuf;

use shallotfork_types::Endpoint;

use crate::Presence::{Default, Optional};
use crate::reader::Reader;

section! {
    /// The port that `shallotctl` and the metrics collector read.
    OperatorsSettings = "operators" {
        /// Address to listen on; port 0 lets the kernel choose.
        listen: Endpoint = "listen", Default("127.0.0.1:0"), "127.0.0.1:8082";
        /// File with the token that readers must show; required off the loopback address.
        token_file: Option<PathBuf> = "token_file", Optional, "/run/shallotd/operator.token";
    }
}

impl OperatorsSettings {
    pub(crate) fn check(&self, reader: &mut Reader<'_>) {
        let guarded = self.token_file.is_some() || self.listen.address().ip().is_loopback();
        let reason = "required when listen is not a loopback address";
        reader.require(guarded, Self::SECTION, "token_file", reason);
    }
}
