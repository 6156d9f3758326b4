//! Settings of the platform stand-in.

/// How many replicas answer, each on a port of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformConfig {
    /// Replicas; 1 by default.
    pub replicas: usize,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self { replicas: 1 }
    }
}
