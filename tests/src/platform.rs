//! The platform stand-in as a process.

use std::path::Path;

use anyhow::ensure;
use serde::Serialize;
use shallotfork_standin::platform::{
    CallCounts, Fault, PlatformControl, PublishDelay, ReplicaFault, ReplicaMode, Rollback,
};
use shallotfork_standin::ready::Ready;
use shallotfork_types::{Endpoint, FailureDomain, Revision, ServiceName, TargetId, VmId};

use crate::program::Program;

/// One entry VM as the platform publishes it.
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

/// One target as the platform publishes it.
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
    /// Every replica's address.
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

    /// Publishes a value, whatever its revision is.
    ///
    /// # Errors
    /// When the platform's control port does not take it.
    pub async fn publish(&self, name: &str, content: &str) -> anyhow::Result<()> {
        let url = format!("http://{}/v1/values/{name}", self.control);
        self.http.put(url).body(content.to_owned()).send().await?.error_for_status()?;
        Ok(())
    }

    /// Publishes a value only over the revision expected; gives the new revision, or nothing when
    /// another publisher was first.
    ///
    /// # Errors
    /// When the platform's control port fails.
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

    /// Sets how every replica answers.
    ///
    /// # Errors
    /// When the control port fails.
    pub async fn set_mode(&self, mode: ReplicaMode) -> anyhow::Result<()> {
        self.fault(None, Fault::Mode(mode)).await
    }

    /// Sets a fault of one replica, or of all.
    ///
    /// # Errors
    /// When the control port fails or there is no such replica.
    pub async fn fault(&self, replica: Option<usize>, fault: Fault) -> anyhow::Result<()> {
        ensure!(replica.is_none_or(|index| index < self.replicas.len()), "no such replica");
        self.control(&PlatformControl::Fault(ReplicaFault { replica, fault })).await
    }

    /// Forgets what was published after a revision.
    ///
    /// # Errors
    /// When the control port fails.
    pub async fn roll_back(&self, revision: Revision) -> anyhow::Result<()> {
        self.control(&PlatformControl::RollBack(Rollback { revision })).await
    }

    /// Delays what is published under a name from now on.
    ///
    /// # Errors
    /// When the control port fails.
    pub async fn delay(&self, name: &str, delay_ms: u64) -> anyhow::Result<()> {
        let delay = PublishDelay { name: name.to_owned(), delay_ms };
        self.control(&PlatformControl::Delay(delay)).await
    }

    /// Sets the counts of calls to zero.
    ///
    /// # Errors
    /// When the control port fails.
    pub async fn reset_counts(&self) -> anyhow::Result<()> {
        self.control(&PlatformControl::ResetCounts).await
    }

    /// Calls that readers made.
    ///
    /// # Errors
    /// When the control port fails.
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
