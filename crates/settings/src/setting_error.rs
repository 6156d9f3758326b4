//! The error for a settings file.

use std::error::Error;
use std::fmt;

use shallotfork_ini::IniError;

/// When a section, a key or a value is wrong or missing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// Line in the file, from 1; `None` when something is missing.
    pub line: Option<usize>,
    /// Section, empty when the line is not INI.
    pub section: String,
    /// Key, empty when the error concerns the whole section or line.
    pub key: String,
    /// What is wrong.
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
