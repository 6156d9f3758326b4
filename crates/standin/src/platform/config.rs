//! Configuration of the platform stand-in.

/// Settings of the platform stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformConfig {
    /// Number of replicas, each on its own port; 1 by default.
    pub replicas: usize,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self { replicas: 1 }
    }
}
