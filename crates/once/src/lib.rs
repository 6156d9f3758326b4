//! At-most-once execution: sessions, idempotency ledgers and the archive of sealed ledgers.
//!
//! Each operation is named by a [`Session`] and an idempotency key. Only the process that issued
//! the session, in the same incarnation, may grant the operation, and it does so once. Everything
//! here is state, event and `now` in, new state and answer out: no I/O, clock or thread.
//! `docs/design/once.md` gives the ways weighed and why this one holds.

mod answer;
mod archive;
mod issuer;
mod ledger;
mod once_config;
mod operation;
mod sealed;
mod secret;
mod session;

pub use answer::{ClaimAnswer, Completion, CompletionAnswer, HeaderField, KeptAnswer};
pub use archive::Archive;
pub use issuer::{Draining, Issuer, Open};
pub use once_config::OnceConfig;
pub use operation::{ClaimId, OperationId};
pub use sealed::{LedgerPart, SealedLedger, SealedOperation, SealedOutcome, SealedSession};
pub use secret::{SECRET_BYTES, Secret};
pub use session::Session;
