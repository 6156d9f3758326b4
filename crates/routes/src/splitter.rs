//! Divides the requests of a route among its services.

use std::collections::BTreeMap;

use shallotfork_types::ServiceName;

use crate::route::{Route, RouteName, WeightedService};

/// Smooth weighted round robin: each service's share is right to within one request at any time.
///
/// A random choice of the same weights is off by a tenth over a few hundred requests often enough
/// for an operator to see the wrong share.
#[derive(Debug, Default)]
pub struct Splitter {
    routes: BTreeMap<RouteName, Turns>,
}

#[derive(Debug)]
struct Turns {
    services: Vec<WeightedService>,
    credit: Vec<i64>,
}

impl Splitter {
    /// No route has been used yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The service for the next request of `route`.
    pub fn next(&mut self, route: &Route) -> ServiceName {
        if let [only] = route.services.as_slice() {
            return only.service.clone();
        }
        let turns =
            self.routes.entry(route.name.clone()).or_insert_with(|| Turns::new(&route.services));
        if turns.services != route.services {
            *turns = Turns::new(&route.services);
        }
        turns.next()
    }
}

impl Turns {
    fn new(services: &[WeightedService]) -> Self {
        Self { services: services.to_vec(), credit: vec![0; services.len()] }
    }

    fn next(&mut self) -> ServiceName {
        let total: i64 = self.services.iter().map(|part| i64::from(part.weight)).sum();
        for (credit, part) in self.credit.iter_mut().zip(&self.services) {
            *credit += i64::from(part.weight);
        }
        let richest = (0..self.credit.len()).max_by_key(|index| self.credit[*index]).unwrap_or(0);
        self.credit[richest] -= total;
        self.services[richest].service.clone()
    }
}
