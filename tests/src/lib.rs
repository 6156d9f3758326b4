//! Harness of the process tests: runs the real programs on loopback ports.
//!
//! A test builds a [`Case`] and starts it. The resulting [`Running`] system consists of a platform
//! stand-in, target stand-ins and `shallotd` processes, through whose handles the test injects
//! faults.

mod case;
mod entry;
mod lists;
mod order_fixture;
mod platform;
mod program;
mod relay;
mod running;
mod scratch;
mod settings;
mod target;
mod traffic;
mod wait;

pub use case::{Case, TargetGroup};
pub use entry::{Entry, EntryReady};
pub use lists::RevisionWatch;
pub use order_fixture::{OrderFixture, has_verdict, is_kept_answer};
pub use platform::Platform;
pub use program::Program;
pub use relay::{Links, Relay, RelayFaults};
pub use running::Running;
pub use scratch::Scratch;
pub use settings::EntrySettings;
pub use target::Target;
pub use traffic::{Traffic, TrafficConfig, TrafficReport};
pub use wait::wait_until;
