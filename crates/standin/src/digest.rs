//! Content digests in the format of RFC 9530.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use sha2::{Digest, Sha256};

/// Name of the header that carries a content digest.
pub const CONTENT_DIGEST: &str = "content-digest";

/// Returns the value of a `Content-Digest` header for `body`, using SHA-256.
pub fn content_digest(body: &[u8]) -> String {
    let hash = Sha256::digest(body);
    format!("sha-256=:{}:", STANDARD.encode(hash))
}
