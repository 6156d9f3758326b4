//! Questions of the traffic threads to the control thread.

use shallotfork_once::{ClaimId, Completion, OperationId, Session};
use shallotfork_types::ListName;
use shallotfork_types::report::{AuditReport, StatusReport};
use tokio::sync::{mpsc, oneshot};

use crate::control::operations::Decision;

/// One question, with where to send the answer.
pub enum Command {
    /// A new session; `None` while leaving.
    Issue(oneshot::Sender<Option<Session>>),
    /// Leave to run an operation.
    Claim(OperationId, ClaimId, oneshot::Sender<Decision>),
    /// An operation shall never run, unless it was granted to somebody else.
    Close(OperationId, ClaimId, oneshot::Sender<Decision>),
    /// The end of an operation; answers whether its issuer recorded it.
    Complete(OperationId, ClaimId, Completion, oneshot::Sender<bool>),
    /// What operators see.
    Status(oneshot::Sender<StatusReport>),
    /// The trail of changes.
    Audit(oneshot::Sender<AuditReport>),
    /// The text of a list in force; `None` until one was accepted.
    List(ListName, oneshot::Sender<Option<String>>),
    /// Take this VM out of answers and tell the peers.
    Leave(oneshot::Sender<()>),
    /// Seal the ledger and hand it to peers.
    Seal(oneshot::Sender<()>),
}

/// Sends questions to the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    commands: mpsc::UnboundedSender<Command>,
}

impl ControlHandle {
    /// A handle and the end that the control thread reads.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Command>) {
        let (commands, receiver) = mpsc::unbounded_channel();
        (Self { commands }, receiver)
    }

    /// A new session; `None` while this process is leaving.
    pub async fn issue(&self) -> Option<Session> {
        self.ask(Command::Issue).await.flatten()
    }

    /// Asks the issuer of the session for leave to run the operation.
    pub async fn claim(&self, operation: &OperationId, claim: &ClaimId) -> Decision {
        let ask = |reply| Command::Claim(operation.clone(), claim.clone(), reply);
        self.ask(ask).await.unwrap_or(Decision::Unreachable)
    }

    /// Asks the issuer of the session to see to it that the operation never runs.
    pub async fn close(&self, operation: &OperationId, claim: &ClaimId) -> Decision {
        let ask = |reply| Command::Close(operation.clone(), claim.clone(), reply);
        self.ask(ask).await.unwrap_or(Decision::Unreachable)
    }

    /// Tells the issuer how the operation ended; returns whether it recorded that.
    pub async fn complete(
        &self,
        operation: &OperationId,
        claim: &ClaimId,
        completion: Completion,
    ) -> bool {
        let ask = |reply| Command::Complete(operation.clone(), claim.clone(), completion, reply);
        self.ask(ask).await.unwrap_or(false)
    }

    /// What operators see; `None` when the control thread has ended.
    pub async fn status(&self) -> Option<StatusReport> {
        self.ask(Command::Status).await
    }

    /// The trail of changes; `None` when the control thread has ended.
    pub async fn audit(&self) -> Option<AuditReport> {
        self.ask(Command::Audit).await
    }

    /// The text of a list in force; `None` when there is none.
    pub async fn list_content(&self, name: ListName) -> Option<String> {
        self.ask(|reply| Command::List(name, reply)).await.flatten()
    }

    /// Takes this VM out of answers and tells the peers.
    pub async fn leave(&self) {
        self.ask(Command::Leave).await;
    }

    /// Seals the ledger and hands it to peers.
    pub async fn seal(&self) {
        self.ask(Command::Seal).await;
    }

    async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.commands.send(command(reply)).ok()?;
        answer.await.ok()
    }
}
