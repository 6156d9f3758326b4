//! Builds the snapshot that traffic reads from the control state.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use shallotfork_balance::{GroupSize, Policy, PoolConfig, PoolTarget, TargetState as PoolState};
use shallotfork_membership::{EntryVm, service_group};
use shallotfork_platform::{TargetInfo, TargetState};
use shallotfork_rules::{Latches, RuleList};
use shallotfork_types::{ServiceName, TargetId};

use crate::context::Context;
use crate::control::state::State;
use crate::snapshot::{Service, Snapshot};
use crate::traffic::{GateTarget, ServicePool};

/// Replaces the snapshot by one of the state as it is now.
pub fn publish(state: &State) {
    let context = &state.context;
    let entries = state.view.borrow().entries();
    let lists = state.lists.borrow();
    let old = context.snapshot();
    context.gate.set_targets(lists.targets.values().flatten().map(gate_target).collect());
    let rules = lists.serving_rules();
    let mut services = BTreeMap::new();
    for (name, targets) in &lists.targets {
        let pool = pool(state, name);
        pool.set_targets(&pool_targets(context, name, targets, &entries));
        let targets = targets.iter().map(|target| (target.id.clone(), target.clone())).collect();
        let latches = latches(&old, rules.as_ref(), name);
        services.insert(name.clone(), Arc::new(Service { pool, targets, latches }));
    }
    let ready = rules.is_some();
    context.snapshot.store(Arc::new(Snapshot { rules, services, entries }));
    state.ready.send_if_modified(|was| std::mem::replace(was, ready) != ready);
}

fn pool(state: &State, name: &ServiceName) -> Arc<ServicePool> {
    let context = &state.context;
    let mut pools = state.pools.borrow_mut();
    let pool = pools.entry(name.clone()).or_insert_with(|| {
        let balance = &context.settings.balance;
        let config = PoolConfig {
            queue_max: balance.queue_max,
            hedge_share: balance.hedge_budget,
            retry_share: balance.retry_budget,
            subset_of: Some(context.identity.vm.clone()),
            ..pool_config(balance.policy)
        };
        let seed = context.identity.incarnation.value();
        ServicePool::new(config, seed, context.clock)
    });
    Arc::clone(pool)
}

/// Policies to compare with have no queue and no hedges.
fn pool_config(policy: Policy) -> PoolConfig {
    if policy == Policy::LoadAware {
        return PoolConfig::default();
    }
    PoolConfig::baseline(policy)
}

fn gate_target(target: &TargetInfo) -> GateTarget {
    GateTarget { endpoint: target.endpoint, id: target.id.clone() }
}

fn pool_targets(
    context: &Context,
    service: &ServiceName,
    targets: &[TargetInfo],
    entries: &[EntryVm],
) -> Vec<PoolTarget> {
    let ids: Vec<TargetId> = targets.iter().map(|target| target.id.clone()).collect();
    let group = service_group(
        service,
        entries,
        GroupSize::new(context.settings.balance.entries_per_service),
    );
    let homes = group.home_targets(&context.identity.vm, &ids);
    let pool_target = |target: &TargetInfo| {
        let state = match target.state {
            TargetState::Serving => PoolState::Serving,
            TargetState::Draining => PoolState::Draining,
        };
        PoolTarget::new(target.id.clone(), target.failure_domain.clone(), target.slots)
            .with_connections_share(context.gate.open_max(target.connections_max))
            .with_state(state)
            .with_home(homes.contains(&target.id))
    };
    targets.iter().map(pool_target).collect()
}

/// A new rule list starts with no load condition holding.
fn latches(
    old: &Snapshot,
    rules: Option<&Arc<RuleList>>,
    service: &ServiceName,
) -> Arc<Mutex<Latches>> {
    let same = match (&old.rules, rules) {
        (Some(old), Some(new)) => Arc::ptr_eq(old, new),
        (None, None) => true,
        _ => false,
    };
    if let (true, Some(service)) = (same, old.services.get(service)) {
        return Arc::clone(&service.latches);
    }
    Arc::new(Mutex::new(rules.map(|list| Latches::new(list)).unwrap_or_default()))
}
