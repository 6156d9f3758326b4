//! Verification of `Content-Digest` (RFC 9530) with the algorithm sha-256.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::HeaderMap;
use http::header::HeaderName;
use sha2::{Digest, Sha256};

const CONTENT_DIGEST: HeaderName = HeaderName::from_static("content-digest");
const SHA_256_MEMBER: &str = "sha-256=:";

/// Result of comparing a body with the `Content-Digest` of its message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DigestCheck {
    /// No digest, or none with a supported algorithm.
    Absent,
    Matches,
    Differs,
    Malformed,
}

/// Compares `body` with the `Content-Digest` in `headers`.
pub(crate) fn check_digest(headers: &HeaderMap, body: &[u8]) -> DigestCheck {
    let mut checked = DigestCheck::Absent;
    for value in headers.get_all(CONTENT_DIGEST) {
        let Ok(text) = value.to_str() else {
            return DigestCheck::Malformed;
        };
        for member in text.split(',') {
            match check_member(member.trim(), body) {
                DigestCheck::Absent => {}
                DigestCheck::Matches => checked = DigestCheck::Matches,
                failed => return failed,
            }
        }
    }
    checked
}

fn check_member(member: &str, body: &[u8]) -> DigestCheck {
    let Some(rest) = member.strip_prefix(SHA_256_MEMBER) else {
        return DigestCheck::Absent;
    };
    let encoded = rest.split(';').next().unwrap_or(rest).trim_end();
    let decoded = encoded.strip_suffix(':').and_then(|text| STANDARD.decode(text).ok());
    let Some(expected) = decoded else {
        return DigestCheck::Malformed;
    };
    if Sha256::digest(body).as_slice() == expected.as_slice() {
        return DigestCheck::Matches;
    }
    DigestCheck::Differs
}
