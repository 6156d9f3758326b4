//! JSON messages of the platform.

use serde::Deserialize;
use shallotfork_types::{Endpoint, Epoch, Position, Revision};

use crate::{Changes, PublishedList};

/// Body of the answer to `GET /v1/changes`.
#[derive(Debug, Deserialize)]
pub(crate) struct ChangesJson {
    revision: Revision,
    /// Number of restores from a backup; older platforms state none.
    #[serde(default)]
    epoch: Epoch,
    values: Vec<ValueJson>,
}

#[derive(Debug, Deserialize)]
struct ValueJson {
    name: String,
    revision: Revision,
    content: String,
}

impl ChangesJson {
    /// Checks the revisions and drops values of kinds unknown to this version.
    pub(crate) fn into_changes(self, replica: Endpoint) -> Result<Changes, String> {
        let Self { revision, epoch, values } = self;
        let mut lists = Vec::new();
        for value in values {
            let is_in_range = Revision::NONE < value.revision && value.revision <= revision;
            if !is_in_range {
                return Err(format!(
                    "value revision {} is out of range for platform revision {revision}",
                    value.revision
                ));
            }
            let Ok(name) = value.name.parse() else { continue };
            lists.push(PublishedList { name, revision: value.revision, content: value.content });
        }
        Ok(Changes { replica, position: Position::new(epoch, revision), lists })
    }
}
