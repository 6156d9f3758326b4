//! A target stand-in as a process.

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
    /// The target's name.
    pub id: TargetId,
    /// The service that it answers for.
    pub service: ServiceName,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Where it takes requests itself.
    pub address: Endpoint,
    /// What stands between entries and target, when the case asks for it.
    pub relay: Option<Relay>,
    /// Whether the platform says that it is draining.
    pub published_draining: bool,
    control: Endpoint,
    http: reqwest::Client,
}

/// What is needed to start a target.
#[derive(Debug)]
pub(crate) struct TargetPlan {
    pub id: TargetId,
    pub service: ServiceName,
    pub failure_domain: FailureDomain,
    pub args: Vec<String>,
    pub has_relay: bool,
}

impl Target {
    pub(crate) async fn start(
        plan: TargetPlan,
        directory: &Path,
        http: reqwest::Client,
    ) -> anyhow::Result<Self> {
        let mut args = vec!["target".to_owned(), "--id".to_owned(), plan.id.to_string()];
        args.extend(plan.args);
        let log = directory.join(format!("{}.log", plan.id));
        let (program, ready) = Program::start::<Ready>("shallotfork-standin", &args, &log).await?;
        let relay = match plan.has_relay {
            true => Some(Relay::start(ready.address).await?),
            false => None,
        };
        Ok(Self {
            program,
            id: plan.id,
            service: plan.service,
            failure_domain: plan.failure_domain,
            address: ready.address,
            relay,
            published_draining: false,
            control: ready.control,
            http,
        })
    }

    /// What the target saw and did.
    ///
    /// # Errors
    /// When its control port does not answer.
    pub async fn records(&self) -> anyhow::Result<TargetRecords> {
        let url = format!("http://{}/records", self.control);
        Ok(self.http.get(url).send().await?.error_for_status()?.json().await?)
    }

    /// Forgets what was recorded.
    ///
    /// # Errors
    /// When its control port does not answer.
    pub async fn reset_records(&self) -> anyhow::Result<()> {
        let url = format!("http://{}/records/reset", self.control);
        self.http.post(url).send().await?.error_for_status()?;
        Ok(())
    }

    /// Replaces every fault.
    ///
    /// # Errors
    /// When its control port does not answer.
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
