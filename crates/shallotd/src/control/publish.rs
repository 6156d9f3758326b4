//! Builds the snapshot that traffic reads from the control state.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use shallotfork_balance::{GroupSize, Policy, PoolConfig, PoolTarget, TargetState as PoolState};
use shallotfork_membership::{EntryVm, service_group};
use shallotfork_platform::{TargetInfo, TargetState};
use shallotfork_rules::{ServiceIndex, ServiceRuleList};
use shallotfork_types::{ServiceName, TargetId};

use crate::context::Context;
use crate::control::lists::Lists;
use crate::control::state::State;
use crate::control::target_changes::target_changes;
use crate::snapshot::{Service, ServiceRules, ServiceTargets, Snapshot};
use crate::traffic::{GateTarget, ServicePool};

/// Replaces the snapshot with one of the current state.
///
/// Only services whose targets, rules or entries have changed are rebuilt: at the intended fleet
/// size, a change of one list must not cost as much as a change of 1,200.
pub fn publish(state: &State) {
    let context = &state.context;
    let entries = state.view.borrow().entries();
    let lists = state.lists.borrow();
    let old = context.snapshot();
    let builder = ServiceBuilder {
        state,
        lists: &lists,
        rules: lists.serving_rules(),
        same_entries: entries == old.entries,
        entries: &entries,
    };
    let mut services = BTreeMap::new();
    for (name, targets) in &lists.targets {
        services.insert(name.clone(), builder.service(name, targets, old.services.get(name)));
    }
    let ready = builder.rules.is_some();
    let new = Snapshot { ready, services, entries };
    let changes = target_changes(&old, &new);
    let gate_targets =
        |targets: &[&TargetInfo]| targets.iter().map(gate_target).collect::<Vec<_>>();
    context
        .connection_gate
        .change_targets(&gate_targets(&changes.removed), &gate_targets(&changes.present));
    context.snapshot.store(Arc::new(new));
    state.ready.send_if_modified(|was| std::mem::replace(was, ready) != ready);
}

/// Builds the services of one snapshot.
struct ServiceBuilder<'a> {
    state: &'a State,
    lists: &'a Lists,
    rules: Option<Arc<ServiceIndex>>,
    entries: &'a [EntryVm],
    same_entries: bool,
}

impl ServiceBuilder<'_> {
    fn service(
        &self,
        name: &ServiceName,
        published: &Arc<Vec<TargetInfo>>,
        old: Option<&Arc<Service>>,
    ) -> Arc<Service> {
        let targets = self.targets(published, old);
        let rules = self.rules(name, old);
        let same_targets = old.filter(|old| Arc::ptr_eq(&old.targets, &targets));
        if let (Some(old), true) = (same_targets, self.same_entries) {
            return self.with_rules(old, rules);
        }
        let context = &self.state.context;
        let size = GroupSize::new(context.settings.balance.entries_per_service);
        let group = service_group(name, self.entries, size);
        let ids: Vec<TargetId> = published.iter().map(|target| target.id.clone()).collect();
        let home_targets: BTreeSet<TargetId> =
            group.home_targets(&context.identity.vm, &ids).into_iter().collect();
        let pool = pool(self.state, name);
        if same_targets.is_none_or(|old| old.home_targets != home_targets) {
            pool.set_targets(&pool_targets(context, published, &home_targets));
        }
        let members = self.entries.iter().filter(|entry| group.contains(&entry.vm));
        let serving_entries = Arc::new(members.cloned().collect());
        Arc::new(Service { pool, targets, home_targets, serving_entries, rules })
    }

    fn with_rules(&self, old: &Arc<Service>, rules: Option<Arc<ServiceRules>>) -> Arc<Service> {
        let same = match (&old.rules, &rules) {
            (Some(old), Some(new)) => Arc::ptr_eq(old, new),
            (None, None) => true,
            _ => false,
        };
        if same {
            return Arc::clone(old);
        }
        Arc::new(Service {
            pool: Arc::clone(&old.pool),
            targets: Arc::clone(&old.targets),
            home_targets: old.home_targets.clone(),
            serving_entries: Arc::clone(&old.serving_entries),
            rules,
        })
    }

    fn targets(
        &self,
        published: &Arc<Vec<TargetInfo>>,
        old: Option<&Arc<Service>>,
    ) -> Arc<ServiceTargets> {
        if let Some(old) = old.filter(|old| Arc::ptr_eq(&old.targets.published, published)) {
            return Arc::clone(&old.targets);
        }
        let by_id = published.iter().map(|target| (target.id.clone(), target.clone())).collect();
        Arc::new(ServiceTargets { published: Arc::clone(published), by_id })
    }

    fn rules(&self, name: &ServiceName, old: Option<&Arc<Service>>) -> Option<Arc<ServiceRules>> {
        let index = self.rules.as_ref()?;
        let service_list = self.lists.service_rules.get(name);
        let old = old.and_then(|old| old.rules.as_ref());
        if let Some(old) = old.filter(|old| is_built_from(old, index, service_list)) {
            return Some(Arc::clone(old));
        }
        Some(Arc::new(ServiceRules::new(name, Arc::clone(index), service_list.cloned())))
    }
}

fn is_built_from(
    rules: &ServiceRules,
    index: &Arc<ServiceIndex>,
    service_list: Option<&Arc<ServiceRuleList>>,
) -> bool {
    let is_same_list = match (&rules.service_list, service_list) {
        (Some(old), Some(new)) => Arc::ptr_eq(old, new),
        (None, None) => true,
        _ => false,
    };
    is_same_list && Arc::ptr_eq(&rules.index, index)
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
            subset_vm: Some(context.identity.vm.clone()),
            ..pool_config(balance.policy)
        };
        let seed = context.identity.incarnation.value();
        ServicePool::new(config, seed, context.clock)
    });
    Arc::clone(pool)
}

/// Returns the base configuration of a policy. Policies other than `LoadAware` are for comparison
/// and have neither queue nor hedges.
fn pool_config(policy: Policy) -> PoolConfig {
    if policy == Policy::LoadAware {
        return PoolConfig::default();
    }
    PoolConfig::baseline(policy)
}

fn gate_target(target: &&TargetInfo) -> GateTarget {
    GateTarget { endpoint: target.endpoint, id: target.id.clone() }
}

fn pool_targets(
    context: &Context,
    targets: &[TargetInfo],
    home_targets: &BTreeSet<TargetId>,
) -> Vec<PoolTarget> {
    let pool_target = |target: &TargetInfo| {
        let state = match target.state {
            TargetState::Serving => PoolState::Serving,
            TargetState::Draining => PoolState::Draining,
        };
        PoolTarget::new(target.id.clone(), target.failure_domain.clone(), target.slots)
            .with_connections_share(context.connection_gate.open_max(target.connections_max))
            .with_state(state)
            .with_home(home_targets.contains(&target.id))
    };
    targets.iter().map(pool_target).collect()
}
