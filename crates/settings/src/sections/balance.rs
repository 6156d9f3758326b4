//! `[balance]`

use shallotfork_types::Permille;

use crate::Presence::Default;

section! {
    /// Queues and budgets for extra attempts.
    BalanceSettings = "balance" {
        /// Requests that wait for a target of one service; further ones are refused.
        queue_max: usize = "queue_max", Default("64"), "64";
        /// Retries as a share of first attempts.
        retry_budget: Permille = "retry_permille", Default("50"), "50";
        /// Hedges as a share of first attempts.
        hedge_budget: Permille = "hedge_permille", Default("30"), "30";
    }
}
