//! Settings file of an entry.

use std::fmt;
use std::path::Path;

use shallotfork_types::{Endpoint, FailureDomain, VmId};

#[derive(Debug, Clone)]
struct Setting {
    section: String,
    key: String,
    value: String,
}

/// Settings of one entry, in insertion order.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    settings: Vec<Setting>,
}

impl EntrySettings {
    /// Returns settings of an entry on loopback ports that the kernel chooses.
    pub fn new(vm: &VmId, domain: &FailureDomain, platform: &[Endpoint], key_file: &Path) -> Self {
        let platform: Vec<String> = platform.iter().map(ToString::to_string).collect();
        Self { settings: Vec::new() }
            .with("vm", "id", vm.as_str())
            .with("vm", "failure_domain", domain.as_str())
            .with("callers", "listen", "127.0.0.1:0")
            .with("peers", "listen", "127.0.0.1:0")
            .with("peers", "key_file", &key_file.display().to_string())
            .with("operators", "listen", "127.0.0.1:0")
            .with("platform", "address", &platform.join(", "))
    }

    /// Sets a key, replacing an earlier value.
    #[must_use]
    pub fn with(mut self, section: &str, key: &str, value: &str) -> Self {
        let has_key = |setting: &&mut Setting| setting.section == section && setting.key == key;
        if let Some(setting) = self.settings.iter_mut().find(has_key) {
            setting.value = value.to_owned();
            return self;
        }
        self.settings.push(Setting {
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
        });
        self
    }
}

impl fmt::Display for EntrySettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut sections: Vec<&str> = Vec::new();
        for setting in &self.settings {
            if !sections.contains(&setting.section.as_str()) {
                sections.push(&setting.section);
            }
        }
        for section in sections {
            writeln!(f, "[{section}]")?;
            for setting in self.settings.iter().filter(|setting| setting.section == section) {
                writeln!(f, "{} = {}", setting.key, setting.value)?;
            }
        }
        Ok(())
    }
}
