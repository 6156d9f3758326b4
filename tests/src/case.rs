//! Configuration of a system under test.

use shallotfork_types::{FailureDomain, ServiceName};

use crate::running::Running;

/// Rules that admit every request.
const RULES: &str = "[everything]\nthen.deadline_ms = 5000\n";
const DOMAINS: [&str; 3] = ["kalgoorlie", "boulder", "coolgardie"];

/// The service and the number of its targets.
#[derive(Debug, Clone)]
pub struct TargetGroup {
    /// Name of the service.
    pub service: String,
    /// Number of targets.
    pub targets: usize,
}

#[derive(Debug, Clone)]
pub(crate) struct ExtraSetting {
    pub section: String,
    pub key: String,
    pub value: String,
}

/// Configuration of a system of one platform stand-in, target stand-ins and entries.
#[derive(Debug, Clone)]
pub struct Case {
    pub(crate) entries: usize,
    pub(crate) groups: Vec<TargetGroup>,
    pub(crate) rules: String,
    pub(crate) domains: Vec<String>,
    pub(crate) replicas: usize,
    pub(crate) has_own_replica: bool,
    pub(crate) settings: Vec<ExtraSetting>,
    pub(crate) target_args: Vec<String>,
    pub(crate) has_peer_relays: bool,
    pub(crate) has_target_relays: bool,
    pub(crate) waits_until_ready: bool,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            entries: 1,
            groups: Vec::new(),
            rules: RULES.to_owned(),
            domains: DOMAINS.map(str::to_owned).to_vec(),
            replicas: 1,
            has_own_replica: false,
            settings: Vec::new(),
            target_args: Vec::new(),
            has_peer_relays: false,
            has_target_relays: false,
            waits_until_ready: true,
        }
    }
}

impl Case {
    /// Returns a case with one entry, no targets and rules that admit every request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number of entries.
    #[must_use]
    pub fn with_entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    /// Adds a service with its targets.
    #[must_use]
    pub fn with_service(mut self, service: &str, targets: usize) -> Self {
        self.groups.push(TargetGroup { service: service.to_owned(), targets });
        self
    }

    /// Replaces the rules published at the start.
    #[must_use]
    pub fn with_rules(mut self, rules: &str) -> Self {
        self.rules = rules.to_owned();
        self
    }

    /// Sets the number of platform replicas. Every entry knows all of them; the replica it lists
    /// first rotates with the number of the entry.
    #[must_use]
    pub fn with_replicas(mut self, replicas: usize) -> Self {
        self.replicas = replicas;
        self
    }

    /// Gives each entry a platform replica of its own, so that a fault can affect a single entry.
    #[must_use]
    pub fn with_replica_for_each_entry(mut self) -> Self {
        self.replicas = self.entries;
        self.has_own_replica = true;
        self
    }

    /// Sets a key in the settings of every entry.
    #[must_use]
    pub fn with_setting(mut self, section: &str, key: &str, value: &str) -> Self {
        let (section, key, value) = (section.to_owned(), key.to_owned(), value.to_owned());
        self.settings.push(ExtraSetting { section, key, value });
        self
    }

    /// Adds an option to the command line of every target.
    #[must_use]
    pub fn with_target_option(mut self, name: &str, value: &str) -> Self {
        self.target_args.extend([name.to_owned(), value.to_owned()]);
        self
    }

    /// Puts a relay in front of the peer port of each entry.
    #[must_use]
    pub fn with_peer_relays(mut self) -> Self {
        self.has_peer_relays = true;
        self
    }

    /// Puts a relay in front of each target.
    #[must_use]
    pub fn with_target_relays(mut self) -> Self {
        self.has_target_relays = true;
        self
    }

    /// Lets [`Case::start`] return without waiting until the entries are ready.
    #[must_use]
    pub fn without_waiting(mut self) -> Self {
        self.waits_until_ready = false;
        self
    }

    /// Starts every process, publishes the configuration and waits until every entry is ready.
    ///
    /// # Errors
    /// Returns an error if a process can't be started or an entry is not ready in time.
    pub async fn start(self) -> anyhow::Result<Running> {
        Running::start(self).await
    }

    pub(crate) fn domain(&self, index: usize) -> anyhow::Result<FailureDomain> {
        Ok(self.domains[index % self.domains.len()].parse()?)
    }

    pub(crate) fn services(&self) -> anyhow::Result<Vec<ServiceName>> {
        self.groups.iter().map(|group| Ok(group.service.parse()?)).collect()
    }
}
