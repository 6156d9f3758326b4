//! At-most-once execution: sessions, idempotency ledgers and the archive of sealed ledgers.
//!
//! Each operation is identified by a [`Session`] and an idempotency key. Only the process that issued
//! the session, in the same incarnation, may grant the operation, and it does so once. The crate does
//! no I/O and has no clock or threads: functions change the state they are called on and take the
//! current time as `now`. `docs/design/once.md` compares the alternatives and explains why this design
//! is correct.

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
