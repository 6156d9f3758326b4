//! Counts the bytes that this entry exchanges with other entries and with targets, by kind and by
//! the failure domain of the other side. Traffic between failure domains is expensive for some
//! operators.

use http::HeaderMap;
use metrics::counter;
use shallotfork_types::FailureDomain;

/// Bytes that each header takes in addition to its name and value.
const HEADER_OVERHEAD_BYTES: usize = 4;

/// Kind of the transferred data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferKind {
    /// Requests to targets.
    Requests,
    /// Answers from targets.
    Answers,
    /// Load probes of targets, with their answers.
    Probes,
    /// Heartbeats sent by this entry, with their answers and the connections opened for them.
    Heartbeats,
    /// Published items pulled from other entries.
    Pulls,
}

impl TransferKind {
    /// Adds bytes exchanged with a failure domain to the metric.
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

/// Returns the size of a message in bytes, without its first line.
pub fn message_bytes(headers: &HeaderMap, body_bytes: usize) -> u64 {
    let header_bytes = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        name.as_str().len() + value.len() + HEADER_OVERHEAD_BYTES
    };
    (headers.iter().map(header_bytes).sum::<usize>() + body_bytes) as u64
}
