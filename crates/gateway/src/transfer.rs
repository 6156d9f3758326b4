//! Counts what this entry exchanges with others and with targets, by what it is and by the failure
//! domain of the other side: bytes that cross are dear to some operators.

use http::HeaderMap;
use metrics::counter;
use shallotfork_types::FailureDomain;

/// Bytes of a header beside its name and value.
const HEADER_FRAME_BYTES: usize = 4;

/// What was carried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferKind {
    /// Requests to targets.
    Requests,
    /// Answers of targets.
    Answers,
    /// Probes to targets for their load, with the answers.
    Probes,
    /// Heartbeats called by this entry, with the answers and the connections for them.
    Heartbeats,
    /// Published items read from other entries.
    Pulls,
}

impl TransferKind {
    /// Adds bytes exchanged with a failure domain.
    pub fn record_bytes(self, domain: &FailureDomain, bytes: u64) {
        let domain = domain.as_str().to_owned();
        counter!("shallotfork_bytes", "kind" => self.as_str(), "domain" => domain).increment(bytes);
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Answers => "answers",
            Self::Probes => "questions",
            Self::Heartbeats => "heartbeats",
            Self::Pulls => "lists",
        }
    }
}

/// Bytes of a message, without its first line.
pub fn message_bytes(headers: &HeaderMap, body_bytes: usize) -> u64 {
    let header_bytes = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        name.as_str().len() + value.len() + HEADER_FRAME_BYTES
    };
    (headers.iter().map(header_bytes).sum::<usize>() + body_bytes) as u64
}
