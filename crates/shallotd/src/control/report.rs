//! Reports about this process for operators.

use shallotfork_platform::TargetInfo;
use shallotfork_types::report::{
    AuditReport, BudgetStatus, EntryStatus, LifeCycleState, StatusReport, TargetStatus,
};

use crate::control::state::State;
use crate::snapshot::Service;

/// Returns the current status.
pub fn status(state: &State) -> StatusReport {
    let context = &state.context;
    let snapshot = context.snapshot();
    let now = context.clock.now();
    let targets = snapshot.services.values().flat_map(|service| targets(service)).collect();
    let entries = snapshot.entries.iter().map(|entry| EntryStatus {
        vm: entry.vm.clone(),
        failure_domain: entry.failure_domain.clone(),
        callers: entry.callers,
        state: entry.state.to_string(),
    });
    let lists = state.lists.borrow();
    StatusReport {
        vm: context.identity.vm.clone(),
        incarnation: context.identity.incarnation,
        state: life_cycle(state),
        synced_revision: lists.cursor.synced_revision(),
        lists: lists.status(now),
        targets,
        sessions: state.ledger.borrow().status(),
        budgets: budgets(state),
        entries: entries.collect(),
    }
}

/// Returns the sums over all services.
fn budgets(state: &State) -> BudgetStatus {
    let mut total = BudgetStatus {
        probes: state.probes_sent.get(),
        platform_calls: state.platform.call_count(),
        ..BudgetStatus::default()
    };
    for service in state.context.snapshot().services.values() {
        let counts = service.pool.counts();
        total.attempts += counts.first_attempts;
        total.retries += counts.retries;
        total.hedges += counts.hedges;
    }
    total
}

/// Returns the audit trail.
pub fn audit(state: &State) -> AuditReport {
    let vm = state.context.identity.vm.clone();
    AuditReport { vm, changes: state.audit.borrow().changes() }
}

fn life_cycle(state: &State) -> LifeCycleState {
    if state.is_leaving.get() {
        return LifeCycleState::Leaving;
    }
    if *state.ready.borrow() { LifeCycleState::Serving } else { LifeCycleState::Starting }
}

fn targets(service: &Service) -> Vec<TargetStatus> {
    let pool_status = service.pool.status();
    let status = |target: &TargetInfo| {
        let found = pool_status.iter().find(|status| status.id == target.id);
        let ejected = found.is_some_and(|status| status.ejected);
        let published = format!("{:?}", target.state).to_lowercase();
        TargetStatus {
            id: target.id.clone(),
            service: target.service.clone(),
            state: if ejected { EJECTED.to_owned() } else { published },
            in_flight: found.map_or(0, |status| status.running),
        }
    };
    service.targets.by_id.values().map(status).collect()
}

/// Reported state of a target that is left out of selection after failures.
const EJECTED: &str = "ejected";
