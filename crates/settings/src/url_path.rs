//! URL paths on targets.

use std::fmt;
use std::str::FromStr;

use shallotfork_types::ParseError;

/// Path of a URL: starts with `/` and consists of visible ASCII characters other than `#`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UrlPath(String);

impl UrlPath {
    /// Returns the path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for UrlPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for UrlPath {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'#');
        if !text.starts_with('/') || !is_visible {
            return Err(ParseError::new("a path that begins with /", text));
        }
        Ok(Self(text.to_owned()))
    }
}
