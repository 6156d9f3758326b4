//! Which published configuration is in force, and whether a newer one is known that is not.

use std::fmt;
use std::sync::Arc;

use shallotfork_types::Position;

use crate::in_force::{OfferOutcome, TableInForce};
use crate::table::{RouteTable, TableVersion};

/// Why a known configuration is not in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NotInForceCause {
    /// It can't be used, for this reason.
    Rejected(String),
    /// A higher version is in force, and versions never decrease.
    OlderVersion,
    /// Another content of the same version is in force.
    SameVersion,
}

impl fmt::Display for NotInForceCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Rejected(reason) => write!(f, "it can't be used: {reason}"),
            Self::OlderVersion => f.write_str("a higher version is in force"),
            Self::SameVersion => f.write_str("other content of the same version is in force"),
        }
    }
}

/// A configuration that was published after the one in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotInForce {
    /// Position at which it was published.
    pub position: Position,
    /// Its version, if that can be read.
    pub version: Option<TableVersion>,
    /// Why it is not in force.
    pub cause: NotInForceCause,
}

/// Summary of a [`Configuration`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigurationStatus {
    /// Version in force; `None` before the first one.
    pub version: Option<TableVersion>,
    /// Number of routes in force whose requests are rejected.
    pub unusable_routes: usize,
    /// Number of elements of the configuration in force that are not used as published. Includes the
    /// unusable routes.
    pub ignored_elements: usize,
    /// The newest known configuration, if it is not in force.
    pub not_in_force: Option<NotInForce>,
}

impl ConfigurationStatus {
    /// Whether the configuration in force is used in part only.
    pub fn is_partial(&self) -> bool {
        self.ignored_elements > 0
    }

    /// Whether the newest known configuration is in force and used as a whole.
    pub fn is_complete(&self) -> bool {
        self.version.is_some() && self.not_in_force.is_none() && !self.is_partial()
    }
}

/// The configuration in force, and the newest known one if that is another one.
///
/// Versions decide which table is in force, and positions which one was published last. Both orders
/// agree unless an operator publishes an earlier version or the same one again, or the platform is
/// restored from a copy.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    in_force: TableInForce,
    /// Latest position at which the table in force was published.
    position: Position,
    ignored_elements: usize,
    not_in_force: Option<NotInForce>,
}

impl Configuration {
    /// Creates a value without any configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Offers a table that was published at `position`, without `ignored_elements` elements that are
    /// not used as published.
    pub fn offer(
        &mut self,
        table: RouteTable,
        ignored_elements: usize,
        position: Position,
    ) -> OfferOutcome {
        let version = table.version();
        let previous_version = self.in_force.table().map(|table| table.version());
        let outcome = self.in_force.offer(table);
        match outcome {
            OfferOutcome::Accepted => {
                let previous_position = std::mem::replace(&mut self.position, position);
                self.ignored_elements = ignored_elements;
                self.clear_not_in_force();
                if let Some(previous) = previous_version {
                    let cause = NotInForceCause::OlderVersion;
                    self.record_not_in_force(previous_position, Some(previous), cause);
                }
            }
            OfferOutcome::AlreadyInForce => {
                self.position = self.position.max(position);
                self.clear_not_in_force();
            }
            OfferOutcome::SameVersion => {
                self.record_not_in_force(position, Some(version), NotInForceCause::SameVersion);
            }
            OfferOutcome::Older { .. } => {
                self.record_not_in_force(position, Some(version), NotInForceCause::OlderVersion);
            }
        }
        outcome
    }

    /// Records a configuration that was published at `position` and can't be used.
    pub fn reject(&mut self, version: Option<TableVersion>, reason: String, position: Position) {
        self.record_not_in_force(position, version, NotInForceCause::Rejected(reason));
    }

    /// Returns the table in force; `None` if no usable one has been received yet.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.in_force.table()
    }

    /// Returns what is in force and what is not.
    pub fn status(&self) -> ConfigurationStatus {
        let table = self.in_force.table();
        ConfigurationStatus {
            version: table.map(|table| table.version()),
            unusable_routes: table.map_or(0, |table| table.unusable_routes().count()),
            ignored_elements: self.ignored_elements,
            not_in_force: self.not_in_force.clone(),
        }
    }

    fn record_not_in_force(
        &mut self,
        position: Position,
        version: Option<TableVersion>,
        cause: NotInForceCause,
    ) {
        let is_newest = self.not_in_force.as_ref().is_none_or(|known| position >= known.position);
        if position > self.position && is_newest {
            self.not_in_force = Some(NotInForce { position, version, cause });
        }
    }

    fn clear_not_in_force(&mut self) {
        let position = self.position;
        self.not_in_force = self.not_in_force.take().filter(|known| known.position > position);
    }
}
