//! The route table in force, which never reverts to an older version.

use std::sync::Arc;

use crate::table::{RouteTable, TableVersion};

/// Outcome of offering a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The table has come into force.
    Accepted,
    /// The table was in force already.
    AlreadyInForce,
    /// A table of the same version and other content is in force.
    SameVersion,
    /// A later table is in force.
    Older {
        /// The version in force.
        in_force: TableVersion,
    },
}

/// The route table in force.
///
/// A process receives tables from the platform's watch, from full reads that may be seconds old,
/// and from peers. Older tables are ignored, because a stale read would otherwise undo a change
/// whose effect callers have already seen.
#[derive(Debug, Clone, Default)]
pub struct TableInForce {
    table: Option<Arc<RouteTable>>,
}

impl TableInForce {
    /// Creates a value without a table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts a table into force if it is later than the current one. A table without limits adopts
    /// those of the current one.
    pub fn offer(&mut self, mut table: RouteTable) -> OfferOutcome {
        let Some(current) = &self.table else {
            self.table = Some(Arc::new(table));
            return OfferOutcome::Accepted;
        };
        let in_force = current.version();
        if table.version() < in_force {
            return OfferOutcome::Older { in_force };
        }
        table.inherit_limits(current);
        if table.version() > in_force {
            self.table = Some(Arc::new(table));
            return OfferOutcome::Accepted;
        }
        if table == **current { OfferOutcome::AlreadyInForce } else { OfferOutcome::SameVersion }
    }

    /// Returns the table in force; `None` if no table has been received yet.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }
}
