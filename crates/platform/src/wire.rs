//! JSON of the platform's interface.

use serde::Deserialize;
use shallotfork_types::{Endpoint, Revision};

use crate::{Changes, PublishedList};

/// Answer to `GET /v1/changes`.
#[derive(Debug, Deserialize)]
pub(crate) struct ChangesJson {
    revision: Revision,
    values: Vec<ValueJson>,
}

#[derive(Debug, Deserialize)]
struct ValueJson {
    name: String,
    revision: Revision,
    content: String,
}

impl ChangesJson {
    /// Checks the revisions and drops values of a kind that this version does not know.
    pub(crate) fn into_changes(self, replica: Endpoint) -> Result<Changes, String> {
        let Self { revision, values } = self;
        let mut lists = Vec::new();
        for value in values {
            let known = Revision::NONE < value.revision && value.revision <= revision;
            if !known {
                return Err(format!("revision {} under {revision}", value.revision));
            }
            let Ok(name) = value.name.parse() else { continue };
            lists.push(PublishedList { name, revision: value.revision, content: value.content });
        }
        Ok(Changes { replica, revision, lists })
    }
}
