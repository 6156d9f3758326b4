//! Short key of a service for messages between entries.

use std::fmt;

use crate::{ServiceName, rendezvous_weight};

/// Separates these keys from other uses of the hash. All entries must use the same one.
const KEY_DOMAIN: &str = "service";

/// Key of a service, derived from its name. It has a fixed size, unlike the name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceKey(u64);

impl ServiceKey {
    /// Creates a key from its number, as received from another entry.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the number, for wire formats.
    pub const fn value(self) -> u64 {
        self.0
    }
}

impl From<&ServiceName> for ServiceKey {
    fn from(name: &ServiceName) -> Self {
        Self(rendezvous_weight(KEY_DOMAIN, name.as_str()))
    }
}

impl fmt::Display for ServiceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
