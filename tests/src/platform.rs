//! The platform stand-in, run as a process.

use std::path::Path;

use anyhow::ensure;
use serde::Serialize;
use shallotfork_standin::platform::{
    CallCounts, Fault, PlatformControl, PublishDelay, ReplicaFault, ReplicaMode, Rollback,
};
use shallotfork_standin::ready::Ready;
use shallotfork_types::{Endpoint, FailureDomain, Revision, ServiceName, TargetId, VmId};

use crate::program::Program;

/// An item of the published VM list.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct VmJson {
    pub id: VmId,
    pub failure_domain: FailureDomain,
    pub callers: Endpoint,
    pub peers: Endpoint,
    pub state: &'static str,
}

#[derive(Debug, Serialize)]
struct VmListJson<'a> {
    vms: &'a [VmJson],
}

/// An item of a published target list.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct TargetJson {
    pub id: TargetId,
    pub address: Endpoint,
    pub failure_domain: FailureDomain,
    pub state: &'static str,
    pub slots: u32,
    pub connections_max: u32,
    pub shed_status: Option<u16>,
    pub http2: bool,
}

#[derive(Debug, Serialize)]
struct TargetListJson<'a> {
    targets: &'a [TargetJson],
}

#[derive(Debug, serde::Deserialize)]
struct PublishedJson {
    revision: Revision,
}

/// A running platform stand-in.
#[derive(Debug)]
pub struct Platform {
    /// The process.
    pub program: Program,
    /// Addresses of the replicas.
    pub replicas: Vec<Endpoint>,
    control: Endpoint,
    http: reqwest::Client,
}

impl Platform {
    pub(crate) async fn start(
        replicas: usize,
        directory: &Path,
        http: reqwest::Client,
    ) -> anyhow::Result<Self> {
        let args = ["platform".to_owned(), "--replicas".to_owned(), replicas.to_string()];
        let log = directory.join("platform.log");
        let (program, ready) = Program::start::<Ready>("shallotfork-standin", &args, &log).await?;
        Ok(Self { program, replicas: ready.replicas, control: ready.control, http })
    }

    /// Publishes a value unconditionally.
    ///
    /// # Errors
    /// Returns an error if the control port rejects the request or does not answer.
    pub async fn publish(&self, name: &str, content: &str) -> anyhow::Result<()> {
        let url = format!("http://{}/v1/values/{name}", self.control);
        self.http.put(url).body(content.to_owned()).send().await?.error_for_status()?;
        Ok(())
    }

    /// Publishes a value if its current revision is `expected`. Returns the new revision, or `None`
    /// if the revision differs because another publisher came first.
    ///
    /// # Errors
    /// Returns an error if the control port fails.
    pub async fn publish_over(
        &self,
        name: &str,
        content: &str,
        expected: Revision,
    ) -> anyhow::Result<Option<Revision>> {
        let url = format!("http://{}/v1/values/{name}", self.control);
        let request = self.http.put(url).header("if-match", format!("\"{expected}\""));
        let response = request.body(content.to_owned()).send().await?;
        if response.status() == http::StatusCode::PRECONDITION_FAILED {
            return Ok(None);
        }
        let published: PublishedJson = response.error_for_status()?.json().await?;
        Ok(Some(published.revision))
    }

    pub(crate) async fn publish_vms(&self, vms: &[VmJson]) -> anyhow::Result<()> {
        self.publish("vms", &serde_json::to_string(&VmListJson { vms })?).await
    }

    pub(crate) async fn publish_targets(
        &self,
        service: &ServiceName,
        targets: &[TargetJson],
    ) -> anyhow::Result<()> {
        let content = serde_json::to_string(&TargetListJson { targets })?;
        self.publish(&format!("targets.{service}"), &content).await
    }

    /// Sets the answer mode of every replica.
    ///
    /// # Errors
    /// Returns an error if the control port fails.
    pub async fn set_mode(&self, mode: ReplicaMode) -> anyhow::Result<()> {
        self.fault(None, Fault::Mode(mode)).await
    }

    /// Injects a fault into one replica, or into all of them.
    ///
    /// # Errors
    /// Returns an error if the control port fails or there is no such replica.
    pub async fn fault(&self, replica: Option<usize>, fault: Fault) -> anyhow::Result<()> {
        ensure!(
            replica.is_none_or(|index| index < self.replicas.len()),
            "no replica with this index"
        );
        self.control(&PlatformControl::Fault(ReplicaFault { replica, fault })).await
    }

    /// Discards everything published after `revision`.
    ///
    /// # Errors
    /// Returns an error if the control port fails.
    pub async fn roll_back(&self, revision: Revision) -> anyhow::Result<()> {
        self.control(&PlatformControl::RollBack(Rollback { revision })).await
    }

    /// Delays later publications of the value `name`.
    ///
    /// # Errors
    /// Returns an error if the control port fails.
    pub async fn delay(&self, name: &str, delay_ms: u64) -> anyhow::Result<()> {
        let delay = PublishDelay { name: name.to_owned(), delay_ms };
        self.control(&PlatformControl::Delay(delay)).await
    }

    /// Resets the call counts to zero.
    ///
    /// # Errors
    /// Returns an error if the control port fails.
    pub async fn reset_counts(&self) -> anyhow::Result<()> {
        self.control(&PlatformControl::ResetCounts).await
    }

    /// Returns the counts of calls made by readers.
    ///
    /// # Errors
    /// Returns an error if the control port fails.
    pub async fn counts(&self) -> anyhow::Result<CallCounts> {
        let url = format!("http://{}/counts", self.control);
        Ok(self.http.get(url).send().await?.error_for_status()?.json().await?)
    }

    async fn control(&self, message: &PlatformControl) -> anyhow::Result<()> {
        let url = format!("http://{}/control", self.control);
        self.http.post(url).json(message).send().await?.error_for_status()?;
        Ok(())
    }
}
