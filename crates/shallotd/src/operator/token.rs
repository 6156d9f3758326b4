//! The token that readers of a guarded operators' port must show.

use std::fs;
use std::hint::black_box;
use std::path::Path;

use anyhow::{Context as _, Result, ensure};

/// A shorter token could be guessed.
const TOKEN_BYTES_MIN: usize = 16;
const SCHEME: &str = "Bearer ";

/// A token as read from the operators' file.
pub struct OperatorToken {
    token: Vec<u8>,
}

impl OperatorToken {
    /// Reads a token file, without white space at the end.
    ///
    /// # Errors
    /// When the file cannot be read or holds fewer than 16 bytes.
    pub fn load(path: &Path) -> Result<Self> {
        let bytes = fs::read(path).with_context(|| path.display().to_string())?;
        let token = bytes.trim_ascii_end();
        let long_enough = token.len() >= TOKEN_BYTES_MIN;
        ensure!(long_enough, "{}: a token of at least 16 bytes is needed", path.display());
        Ok(Self { token: token.to_vec() })
    }

    /// Whether an `Authorization` header shows this token.
    pub fn admits(&self, authorization: Option<&str>) -> bool {
        let shown = authorization.and_then(|text| text.strip_prefix(SCHEME));
        shown.is_some_and(|shown| is_same(shown.as_bytes(), &self.token))
    }
}

/// Guards against a reader that finds the token byte by byte from how long a refusal takes: the
/// time depends on the lengths only, as every pair of bytes is compared whatever came before.
fn is_same(shown: &[u8], token: &[u8]) -> bool {
    let pairs = shown.iter().zip(token);
    let difference = pairs.fold(0, |difference, (a, b)| black_box(difference | (a ^ b)));
    shown.len() == token.len() && difference == 0
}
