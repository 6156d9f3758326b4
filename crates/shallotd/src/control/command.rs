//! Commands that the traffic threads send to the control thread.

use shallotfork_once::{ClaimId, Completion, OperationId, Session};
use shallotfork_types::ListName;
use shallotfork_types::report::{AuditReport, StatusReport};
use tokio::sync::{mpsc, oneshot};

use crate::control::operations::Decision;

/// A command, with the channel for its reply.
pub enum Command {
    /// Issues a session; replies `None` if no entry can issue one.
    Issue(oneshot::Sender<Option<Session>>),
    /// Requests a grant to run an operation.
    Claim(OperationId, ClaimId, oneshot::Sender<Decision>),
    /// Ensures that an operation never runs, unless it was granted to another claim.
    Close(OperationId, ClaimId, oneshot::Sender<Decision>),
    /// Reports the completion of an operation; replies whether its issuer recorded it.
    Complete(OperationId, ClaimId, Completion, oneshot::Sender<bool>),
    /// Returns the status report for operators.
    Status(oneshot::Sender<StatusReport>),
    /// Returns the audit trail.
    Audit(oneshot::Sender<AuditReport>),
    /// Returns the content of a list in force; `None` until a version was accepted.
    List(ListName, oneshot::Sender<Option<String>>),
    /// Stops advertising this VM to callers and announces to its peers that it is leaving.
    Leave(oneshot::Sender<()>),
    /// Seals the ledger and sends copies of it to peers.
    Seal(oneshot::Sender<()>),
}

/// Sends commands to the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    commands: mpsc::UnboundedSender<Command>,
}

impl ControlHandle {
    /// Creates a handle and the receiver that the control thread reads.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Command>) {
        let (commands, receiver) = mpsc::unbounded_channel();
        (Self { commands }, receiver)
    }

    /// Issues a session, at a peer if this process is leaving; `None` if no entry can issue one.
    pub async fn issue(&self) -> Option<Session> {
        self.request(Command::Issue).await.flatten()
    }

    /// Requests a grant to run the operation from the issuer of its session.
    pub async fn claim(&self, operation: &OperationId, claim: &ClaimId) -> Decision {
        let command = |reply| Command::Claim(operation.clone(), claim.clone(), reply);
        self.request(command).await.unwrap_or(Decision::Unreachable)
    }

    /// Requests the issuer of the session to ensure that the operation never runs, unless it was
    /// granted to another claim.
    pub async fn close(&self, operation: &OperationId, claim: &ClaimId) -> Decision {
        let command = |reply| Command::Close(operation.clone(), claim.clone(), reply);
        self.request(command).await.unwrap_or(Decision::Unreachable)
    }

    /// Reports to the issuer how the operation ended; returns whether the issuer recorded it.
    pub async fn complete(
        &self,
        operation: &OperationId,
        claim: &ClaimId,
        completion: Completion,
    ) -> bool {
        let command =
            |reply| Command::Complete(operation.clone(), claim.clone(), completion, reply);
        self.request(command).await.unwrap_or(false)
    }

    /// Returns the status report for operators; `None` if the control thread has ended.
    pub async fn status(&self) -> Option<StatusReport> {
        self.request(Command::Status).await
    }

    /// Returns the audit trail; `None` if the control thread has ended.
    pub async fn audit(&self) -> Option<AuditReport> {
        self.request(Command::Audit).await
    }

    /// Returns the content of a list in force; `None` if there is none.
    pub async fn list_content(&self, name: ListName) -> Option<String> {
        self.request(|reply| Command::List(name, reply)).await.flatten()
    }

    /// Stops advertising this VM to callers and announces to its peers that it is leaving.
    pub async fn leave(&self) {
        self.request(Command::Leave).await;
    }

    /// Seals the ledger and sends copies of it to peers.
    pub async fn seal(&self) {
        self.request(Command::Seal).await;
    }

    async fn request<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.commands.send(command(reply)).ok()?;
        answer.await.ok()
    }
}
