//! Error for a settings file.

use std::error::Error;
use std::fmt;

use shallotfork_ini::IniError;

/// Invalid or missing section, key or value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// Line in the file, from 1; `None` if the key is missing.
    pub line: Option<usize>,
    /// Section; empty if the line is not valid INI.
    pub section: String,
    /// Key; empty if the error concerns a whole section or line.
    pub key: String,
    /// Description of the error.
    pub reason: String,
}

impl SettingError {
    pub(crate) fn new(line: Option<usize>, section: &str, key: &str, reason: &str) -> Self {
        Self { line, section: section.into(), key: key.into(), reason: reason.into() }
    }
}

impl From<IniError> for SettingError {
    fn from(error: IniError) -> Self {
        Self::new(Some(error.line), "", "", &error.reason)
    }
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.reason)
    }
}

impl Error for SettingError {}
