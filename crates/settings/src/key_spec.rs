//! The table of keys.

/// Whether a key may be left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// The key must be given.
    Required,
    /// The key may be left out; this text stands in for it.
    Default(&'static str),
    /// The key may be left out and then has no value.
    Optional,
}

/// One key of the settings file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeySpec {
    /// Section that the key stands in.
    pub section: &'static str,
    /// Name of the key; its suffix names the unit.
    pub key: &'static str,
    /// What a value looks like, such as "a whole number".
    pub kind: &'static str,
    /// Whether the key may be left out.
    pub presence: Presence,
    /// A valid value.
    pub example: &'static str,
}
