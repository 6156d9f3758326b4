//! The section `[balance]`.

use shallotfork_balance::Policy;
use shallotfork_types::Permille;

use crate::Presence::Default;

section! {
    /// Target selection, queues, and budgets for retries and hedges.
    BalanceSettings = "balance" {
        /// Policy that selects a target: `load-aware`, or a baseline for comparison without queue
        /// and hedges: `random`, `round-robin`, `least-in-flight` or `power-of-two`.
        policy: Policy = "policy", Default("load-aware"), "load-aware";
        /// Number of entries that serve one service and are advertised to its callers.
        entries_per_service: u32 = "entries_per_service", Default("4"), "4";
        /// Maximum number of queued requests of one service; further ones are rejected.
        queue_max: usize = "queue_max", Default("256"), "256";
        /// Maximum number of retries as a share of first attempts.
        retry_budget: Permille = "retry_permille", Default("20"), "20";
        /// Maximum number of hedges as a share of first attempts.
        hedge_budget: Permille = "hedge_permille", Default("25"), "25";
    }
}
