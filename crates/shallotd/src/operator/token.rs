//! Token that protects the operators' port.

use std::fs;
use std::hint::black_box;
use std::path::Path;

use anyhow::{Context as _, Result, ensure};

/// Minimum length of a token; a shorter one could be guessed.
const MIN_TOKEN_BYTES: usize = 16;
const SCHEME: &str = "Bearer ";

/// Token of the operators' port.
pub struct OperatorToken {
    token: Vec<u8>,
}

impl OperatorToken {
    /// Reads a token from a file and strips trailing whitespace.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or the token has fewer than 16 bytes.
    pub fn load(path: &Path) -> Result<Self> {
        let bytes = fs::read(path).with_context(|| path.display().to_string())?;
        let token = bytes.trim_ascii_end();
        let is_long_enough = token.len() >= MIN_TOKEN_BYTES;
        ensure!(is_long_enough, "{}: the token must have at least 16 bytes", path.display());
        Ok(Self { token: token.to_vec() })
    }

    /// Returns whether an `Authorization` header contains this token.
    pub fn matches(&self, authorization: Option<&str>) -> bool {
        let presented = authorization.and_then(|text| text.strip_prefix(SCHEME));
        presented.is_some_and(|presented| is_equal_constant_time(presented.as_bytes(), &self.token))
    }
}

/// Compares in a time that depends only on the lengths, since all pairs of bytes are always
/// compared. Otherwise the time of a rejection would reveal the token byte by byte.
fn is_equal_constant_time(presented: &[u8], token: &[u8]) -> bool {
    let pairs = presented.iter().zip(token);
    let difference = pairs.fold(0, |difference, (a, b)| black_box(difference | (a ^ b)));
    presented.len() == token.len() && difference == 0
}
