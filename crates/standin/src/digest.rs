//! Content digests as RFC 9530 writes them.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use sha2::{Digest, Sha256};

/// Name of the header that carries a digest.
pub const CONTENT_DIGEST: &str = "content-digest";

/// The value of a `Content-Digest` header for `body`, by SHA-256.
pub fn content_digest(body: &[u8]) -> String {
    let hash = Sha256::digest(body);
    format!("sha-256=:{}:", STANDARD.encode(hash))
}
