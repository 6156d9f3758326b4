//! Specification of the keys of the settings file.

/// Whether a key may be omitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// The key is required.
    Required,
    /// The key may be omitted; this text is its default value.
    Default(&'static str),
    /// The key may be omitted and then has no value.
    Optional,
}

/// Key of the settings file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeySpec {
    /// Section of the key.
    pub section: &'static str,
    /// Name of the key; its suffix gives the unit.
    pub key: &'static str,
    /// Format of a value, such as "whole number".
    pub kind: &'static str,
    /// Whether the key may be omitted.
    pub presence: Presence,
    /// Example of a valid value.
    pub example: &'static str,
}
