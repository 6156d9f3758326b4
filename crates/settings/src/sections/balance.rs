//! `[balance]`

use shallotfork_balance::Policy;
use shallotfork_types::Permille;

use crate::Presence::Default;

section! {
    /// Queues and budgets for extra attempts.
    BalanceSettings = "balance" {
        /// How a target is chosen: `load-aware`, or one to compare with, which has no queue and no
        /// hedges: `random`, `round-robin`, `least-in-flight`, `power-of-two`.
        policy: Policy = "policy", Default("load-aware"), "load-aware";
        /// Entries that serve one service: those that answers to callers name.
        entries_per_service: u32 = "entries_per_service", Default("4"), "4";
        /// Requests that wait for a target of one service; further ones are refused.
        queue_max: usize = "queue_max", Default("256"), "256";
        /// Retries as a share of first attempts.
        retry_budget: Permille = "retry_permille", Default("20"), "20";
        /// Hedges as a share of first attempts.
        hedge_budget: Permille = "hedge_permille", Default("25"), "25";
    }
}
