//! Paths of targets.

use std::fmt;
use std::str::FromStr;

use shallotfork_types::ParseError;

/// The path of a URL: `/` and visible ASCII.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UrlPath(String);

impl UrlPath {
    /// The path as text.
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
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'#');
        if !text.starts_with('/') || !visible {
            return Err(ParseError::new("a path that begins with /", text));
        }
        Ok(Self(text.to_owned()))
    }
}
