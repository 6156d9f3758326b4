//! Which table is in force; it never goes back.

use std::sync::Arc;

use crate::table::{RouteTable, TableVersion};

/// What became of an offered table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force now.
    Accepted,
    /// It is in force already.
    AlreadyInForce,
    /// A later one is in force.
    Older {
        /// The version in force.
        in_force: TableVersion,
    },
}

/// Holds the table in force.
///
/// Tables reach a process by several ways: the platform's watch, full reads that may be seconds
/// old, and peers. Without the guard a stale read would undo a change that callers have seen the
/// effect of.
#[derive(Debug, Clone, Default)]
pub struct TableInForce {
    table: Option<Arc<RouteTable>>,
}

impl TableInForce {
    /// Before any table is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a table unless it is older than the one in force.
    pub fn offer(&mut self, table: RouteTable) -> OfferOutcome {
        let Some(known) = &self.table else {
            self.table = Some(Arc::new(table));
            return OfferOutcome::Accepted;
        };
        let in_force = known.version();
        if table.version() < in_force {
            return OfferOutcome::Older { in_force };
        }
        if table.version() == in_force {
            return OfferOutcome::AlreadyInForce;
        }
        self.table = Some(Arc::new(table));
        OfferOutcome::Accepted
    }

    /// The table in force; `None` before the first.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }
}
