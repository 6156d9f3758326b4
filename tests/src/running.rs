//! A running system, with operations on its processes and published lists.

use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use futures::future::try_join_all;
use shallotfork_standin::caller::{Caller, CallerConfig, plain_client};
use shallotfork_standin::target::TargetRecords;
use shallotfork_types::{Endpoint, ServiceName, TargetId, VmId};

use crate::case::Case;
use crate::entry::Entry;
use crate::platform::Platform;
use crate::relay::{Links, Relay};
use crate::scratch::Scratch;
use crate::settings::EntrySettings;
use crate::target::{Target, TargetConfig};
use crate::wait::wait_until;

/// Peer key shared by the entries of a test, in hexadecimal.
const PEER_KEY: &str = "6f1a0c52d3b94e87a5c6607f18e2bb3d94c0715ae86f2d4b3c9051e7a8f6d240\n";
const HTTP_TIMEOUT: Duration = Duration::from_secs(10);

/// A running system with all its processes.
#[derive(Debug)]
pub struct Running {
    /// The platform stand-in.
    pub platform: Platform,
    /// Targets, grouped by service.
    pub targets: Vec<Target>,
    /// Entries in the order of their start.
    pub entries: Vec<Entry>,
    /// Links between entries, in a case with peer relays.
    pub links: Links,
    case: Case,
    key_file: PathBuf,
    http: reqwest::Client,
    started: usize,
    // The last field, so that it is dropped after the processes that use the directory.
    scratch: Scratch,
}

impl Running {
    pub(crate) async fn start(case: Case) -> anyhow::Result<Self> {
        let scratch = Scratch::new()?;
        let key_file = scratch.write("peer.key", PEER_KEY)?;
        let http = plain_client(HTTP_TIMEOUT)?;
        let platform = Platform::start(case.replicas, scratch.path(), http.clone()).await?;
        let mut running = Self {
            platform,
            targets: Vec::new(),
            entries: Vec::new(),
            links: Links::new(),
            case,
            key_file,
            http,
            started: 0,
            scratch,
        };
        running.start_targets().await?;
        for _ in 0..running.case.entries {
            running.start_entry().await?;
        }
        running.publish_all().await?;
        if running.case.waits_until_ready {
            running.wait_ready().await?;
        }
        Ok(running)
    }

    async fn start_targets(&mut self) -> anyhow::Result<()> {
        let mut starting = Vec::new();
        for group in &self.case.groups {
            for number in 0..group.targets {
                let config = TargetConfig {
                    id: TargetId::new(&format!("{}-{number}", group.service))?,
                    service: group.service.parse()?,
                    failure_domain: self.case.domain(number)?,
                    args: self.case.target_args.clone(),
                    has_relay: self.case.has_target_relays,
                };
                starting.push(Target::start(config, self.scratch.path(), self.http.clone()));
            }
        }
        self.targets = try_join_all(starting).await?;
        Ok(())
    }

    /// Starts one more entry and returns its index. The others learn of it once the VM list is
    /// published again.
    ///
    /// # Errors
    /// Returns an error if the process can't be started.
    pub async fn start_entry(&mut self) -> anyhow::Result<usize> {
        let number = self.started;
        let vm = VmId::new(&format!("entry-{number}"))?;
        let mut settings = self.settings_of(&vm, number)?;
        let relay = self.peer_relay(&vm).await?;
        if let Some(relay) = &relay {
            // Heartbeats carry the peer address too, so the entry must advertise that of the relay.
            settings = settings.with("peers", "advertise", &relay.address().to_string());
        }
        let mut entry = self.spawn_entry(&vm, number, settings).await?;
        if let Some(relay) = &relay {
            relay.set_upstream(entry.ready.peers);
        }
        entry.relay = relay;
        self.entries.push(entry);
        self.started += 1;
        Ok(self.entries.len() - 1)
    }

    /// Starts a relay whose upstream is not known yet, in a case with peer relays.
    async fn peer_relay(&self, vm: &VmId) -> anyhow::Result<Option<Relay>> {
        if !self.case.has_peer_relays {
            return Ok(None);
        }
        let unset_upstream = Endpoint::new((Ipv4Addr::LOCALHOST, 0).into());
        Ok(Some(Relay::start_between(unset_upstream, vm, self.links.clone()).await?))
    }

    /// Restarts an entry that has ended, on the same VM with other ports and without its former
    /// state, and publishes the new ports.
    ///
    /// # Errors
    /// Returns an error if the process can't be started or the VM list can't be published.
    pub async fn restart_entry(&mut self, index: usize) -> anyhow::Result<()> {
        let old = &self.entries[index];
        let vm = old.vm.clone();
        let domain = old.failure_domain.clone();
        let settings = old.settings.clone();
        let directory = self.scratch.path();
        let mut entry = Entry::start(&vm, &domain, settings, directory, self.http.clone()).await?;
        entry.relay = self.entries[index].relay.take();
        if let Some(relay) = &entry.relay {
            relay.set_upstream(entry.ready.peers);
        }
        self.entries[index] = entry;
        self.publish_vms().await
    }

    /// Removes an entry from this system and from the published VM list, as the platform does some
    /// time after the process has ended.
    ///
    /// # Errors
    /// Returns an error if the VM list can't be published.
    pub async fn remove_entry(&mut self, index: usize) -> anyhow::Result<Entry> {
        let entry = self.entries.remove(index);
        self.publish_vms().await?;
        Ok(entry)
    }

    async fn spawn_entry(
        &self,
        vm: &VmId,
        number: usize,
        settings: EntrySettings,
    ) -> anyhow::Result<Entry> {
        let domain = self.case.domain(number)?;
        Entry::start(vm, &domain, settings, self.scratch.path(), self.http.clone()).await
    }

    fn settings_of(&self, vm: &VmId, number: usize) -> anyhow::Result<EntrySettings> {
        let mut platform = self.platform.replicas.clone();
        let shift = number % platform.len().max(1);
        platform.rotate_left(shift);
        if self.case.has_own_replica {
            platform.truncate(1);
        }
        let domain = self.case.domain(number)?;
        let mut settings = EntrySettings::new(vm, &domain, &platform, &self.key_file).with(
            "vm",
            "probe_share",
            &number.to_string(),
        );
        for extra in &self.case.settings {
            settings = settings.with(&extra.section, &extra.key, &extra.value);
        }
        Ok(settings)
    }

    /// Publishes the targets, the VM list and, last, the rules, which make an entry ready.
    ///
    /// # Errors
    /// Returns an error if the platform rejects a list or does not answer.
    pub async fn publish_all(&self) -> anyhow::Result<()> {
        for service in self.case.services()? {
            self.publish_targets(&service).await?;
        }
        self.publish_vms().await?;
        self.platform.publish("rules", &self.case.rules).await
    }

    /// Publishes the VM list with every entry of this system.
    ///
    /// # Errors
    /// Returns an error if the platform rejects the list or does not answer.
    pub async fn publish_vms(&self) -> anyhow::Result<()> {
        let vms: Vec<_> = self.entries.iter().map(Entry::published).collect();
        self.platform.publish_vms(&vms).await
    }

    /// Publishes the targets of one service.
    ///
    /// # Errors
    /// Returns an error if the platform rejects the list or does not answer.
    pub async fn publish_targets(&self, service: &ServiceName) -> anyhow::Result<()> {
        let of_service = self.targets.iter().filter(|target| target.service == *service);
        let targets: Vec<_> = of_service.map(Target::published).collect();
        self.platform.publish_targets(service, &targets).await
    }

    /// Waits until every entry with a running process is ready and reports all the others as live.
    ///
    /// # Errors
    /// Returns an error if one is not ready in time.
    pub async fn wait_ready(&mut self) -> anyhow::Result<()> {
        let mut running = Vec::new();
        for (index, entry) in self.entries.iter_mut().enumerate() {
            if entry.program.is_running() {
                running.push(index);
            }
        }
        for index in &running {
            let entry = &self.entries[*index];
            let what = format!("{} is ready", entry.vm);
            wait_until(&what, async || entry.is_ready().await).await?;
        }
        for index in &running {
            let entry = &self.entries[*index];
            let others: Vec<&VmId> = running.iter().map(|other| &self.entries[*other].vm).collect();
            let what = format!("{} reports the other entries as live", entry.vm);
            wait_until(&what, async || entry.reports_live(&others).await).await?;
        }
        Ok(())
    }

    /// Returns the caller address of every entry.
    pub fn caller_addresses(&self) -> Vec<Endpoint> {
        self.entries.iter().map(|entry| entry.ready.callers).collect()
    }

    /// Returns a caller that knows every entry.
    ///
    /// # Errors
    /// Returns an error if its HTTP client can't be built.
    pub fn caller(&self) -> anyhow::Result<Caller> {
        Ok(Caller::new(CallerConfig::new(self.caller_addresses()))?)
    }

    /// Returns the index of the entry whose caller address is `address`.
    ///
    /// # Errors
    /// Returns an error if there is no such entry.
    pub fn entry_at(&self, address: Endpoint) -> anyhow::Result<usize> {
        let at = self.entries.iter().position(|entry| entry.ready.callers == address);
        at.with_context(|| format!("no entry at {address}"))
    }

    /// Returns how often requests with idempotency key `key` have run, summed over all targets.
    ///
    /// # Errors
    /// Returns an error if the records of a target can't be read.
    pub async fn runs_of_key(&self, key: &str) -> anyhow::Result<u64> {
        let records = self.records().await?;
        Ok(records.iter().map(|records| records.runs_of_key(key)).sum())
    }

    /// Returns how often requests with `mark` have run, summed over all targets.
    ///
    /// # Errors
    /// Returns an error if the records of a target can't be read.
    pub async fn runs_of_mark(&self, mark: &str) -> anyhow::Result<u64> {
        let records = self.records().await?;
        Ok(records.iter().map(|records| records.runs_of_mark(mark)).sum())
    }

    /// Reads the records of every target.
    ///
    /// # Errors
    /// Returns an error if the records of a target can't be read.
    pub async fn records(&self) -> anyhow::Result<Vec<TargetRecords>> {
        try_join_all(self.targets.iter().map(Target::records)).await
    }
}
