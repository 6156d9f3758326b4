//! Settings of service groups.

/// How many entries serve a service.
#[derive(Debug, Clone)]
pub struct GroupConfig {
    /// Entries named in an answer; default 4, one more than today's failure domains.
    pub size: usize,
}

impl Default for GroupConfig {
    fn default() -> Self {
        Self { size: 4 }
    }
}
