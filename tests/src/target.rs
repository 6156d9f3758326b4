//! A target stand-in, run as a process.

use std::path::Path;

use shallotfork_standin::ready::Ready;
use shallotfork_standin::target::{TargetFaults, TargetRecords};
use shallotfork_types::{Endpoint, FailureDomain, ServiceName, TargetId};

use crate::platform::TargetJson;
use crate::program::Program;
use crate::relay::Relay;

const SLOTS: u32 = 2;
const CONNECTIONS_MAX: u32 = 200;
const SHED_STATUS: u16 = 503;

/// A running target stand-in.
#[derive(Debug)]
pub struct Target {
    /// The process.
    pub program: Program,
    /// Id of the target.
    pub id: TargetId,
    /// Service of the target.
    pub service: ServiceName,
    /// Failure domain of the target.
    pub failure_domain: FailureDomain,
    /// Address of the target itself, behind its relay if it has one.
    pub address: Endpoint,
    /// Relay between entries and the target, in a case with target relays.
    pub relay: Option<Relay>,
    /// Whether the target list publishes the target as draining.
    pub published_draining: bool,
    control: Endpoint,
    http: reqwest::Client,
}

/// Parameters for starting a target.
#[derive(Debug)]
pub(crate) struct TargetConfig {
    pub id: TargetId,
    pub service: ServiceName,
    pub failure_domain: FailureDomain,
    pub args: Vec<String>,
    pub has_relay: bool,
}

impl Target {
    pub(crate) async fn start(
        config: TargetConfig,
        directory: &Path,
        http: reqwest::Client,
    ) -> anyhow::Result<Self> {
        let mut args = vec!["target".to_owned(), "--id".to_owned(), config.id.to_string()];
        args.extend(config.args);
        let log = directory.join(format!("{}.log", config.id));
        let (program, ready) = Program::start::<Ready>("shallotfork-standin", &args, &log).await?;
        let relay = match config.has_relay {
            true => Some(Relay::start(ready.address).await?),
            false => None,
        };
        Ok(Self {
            program,
            id: config.id,
            service: config.service,
            failure_domain: config.failure_domain,
            address: ready.address,
            relay,
            published_draining: false,
            control: ready.control,
            http,
        })
    }

    /// Reads what the target has recorded about its requests and connections.
    ///
    /// # Errors
    /// Returns an error if its control port does not answer.
    pub async fn records(&self) -> anyhow::Result<TargetRecords> {
        let url = format!("http://{}/records", self.control);
        Ok(self.http.get(url).send().await?.error_for_status()?.json().await?)
    }

    /// Clears the records of the target.
    ///
    /// # Errors
    /// Returns an error if its control port does not answer.
    pub async fn reset_records(&self) -> anyhow::Result<()> {
        let url = format!("http://{}/records/reset", self.control);
        self.http.post(url).send().await?.error_for_status()?;
        Ok(())
    }

    /// Replaces all faults.
    ///
    /// # Errors
    /// Returns an error if its control port does not answer.
    pub async fn set_faults(&self, faults: TargetFaults) -> anyhow::Result<()> {
        let url = format!("http://{}/faults", self.control);
        self.http.put(url).json(&faults).send().await?.error_for_status()?;
        Ok(())
    }

    pub(crate) fn published(&self) -> TargetJson {
        TargetJson {
            id: self.id.clone(),
            address: self.relay.as_ref().map_or(self.address, Relay::address),
            failure_domain: self.failure_domain.clone(),
            state: if self.published_draining { "draining" } else { "serving" },
            slots: SLOTS,
            connections_max: CONNECTIONS_MAX,
            shed_status: Some(SHED_STATUS),
            http2: false,
        }
    }
}
