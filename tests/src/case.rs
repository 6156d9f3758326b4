//! Describes a system to start.

use shallotfork_types::{FailureDomain, ServiceName};

use crate::running::Running;

/// Rules that let everything through.
const RULES: &str = "[everything]\nthen.deadline_ms = 5000\n";
const DOMAINS: [&str; 3] = ["kalgoorlie", "boulder", "coolgardie"];

/// The targets of one service.
#[derive(Debug, Clone)]
pub struct TargetGroup {
    /// The service.
    pub service: String,
    /// How many targets it has.
    pub targets: usize,
}

#[derive(Debug, Clone)]
pub(crate) struct ExtraSetting {
    pub section: String,
    pub key: String,
    pub value: String,
}

/// A system of one platform stand-in, target stand-ins and entries.
#[derive(Debug, Clone)]
pub struct Case {
    pub(crate) entries: usize,
    pub(crate) groups: Vec<TargetGroup>,
    pub(crate) rules: String,
    pub(crate) domains: Vec<String>,
    pub(crate) replicas: usize,
    pub(crate) knows_one_replica: bool,
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
            knows_one_replica: false,
            settings: Vec::new(),
            target_args: Vec::new(),
            has_peer_relays: false,
            has_target_relays: false,
            waits_until_ready: true,
        }
    }
}

impl Case {
    /// One entry, no targets, rules that let everything through.
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

    /// Sets the number of platform replicas; entries know all of them, the first one first for
    /// the first entry and so on round.
    #[must_use]
    pub fn with_replicas(mut self, replicas: usize) -> Self {
        self.replicas = replicas;
        self
    }

    /// Gives each entry one platform replica of its own, so that a fault can hit one entry's view.
    #[must_use]
    pub fn with_replica_for_each_entry(mut self) -> Self {
        self.replicas = self.entries;
        self.knows_one_replica = true;
        self
    }

    /// Sets a key in every entry's settings.
    #[must_use]
    pub fn with_setting(mut self, section: &str, key: &str, value: &str) -> Self {
        let (section, key, value) = (section.to_owned(), key.to_owned(), value.to_owned());
        self.settings.push(ExtraSetting { section, key, value });
        self
    }

    /// Adds an option to every target's command line.
    #[must_use]
    pub fn with_target_option(mut self, name: &str, value: &str) -> Self {
        self.target_args.extend([name.to_owned(), value.to_owned()]);
        self
    }

    /// Puts a relay before each entry's peers' port.
    #[must_use]
    pub fn with_peer_relays(mut self) -> Self {
        self.has_peer_relays = true;
        self
    }

    /// Puts a relay before each target.
    #[must_use]
    pub fn with_target_relays(mut self) -> Self {
        self.has_target_relays = true;
        self
    }

    /// Does not wait until the entries serve.
    #[must_use]
    pub fn without_waiting(mut self) -> Self {
        self.waits_until_ready = false;
        self
    }

    /// Starts every process, publishes and waits until every entry serves.
    ///
    /// # Errors
    /// When a process can't be started or an entry is not ready in time.
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
