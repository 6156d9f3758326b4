//! Names of published lists.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{ParseError, ServiceName};

const RULES: &str = "rules";
const VMS: &str = "vms";
const TARGETS_PREFIX: &str = "targets.";
const RULES_PREFIX: &str = "rules.";

/// Name of a published list; each list has its own content and revision.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum ListName {
    /// The rules that apply to all services.
    Rules,
    /// The rules of one service, which take precedence over the general rules.
    ServiceRules(ServiceName),
    /// The targets of one service.
    Targets(ServiceName),
    /// The entry VMs.
    Vms,
}

impl fmt::Display for ListName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Rules => f.write_str(RULES),
            Self::ServiceRules(service) => write!(f, "{RULES_PREFIX}{service}"),
            Self::Targets(service) => write!(f, "{TARGETS_PREFIX}{service}"),
            Self::Vms => f.write_str(VMS),
        }
    }
}

impl FromStr for ListName {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        if let Some(service) = text.strip_prefix(TARGETS_PREFIX) {
            return service.parse().map(Self::Targets);
        }
        if let Some(service) = text.strip_prefix(RULES_PREFIX) {
            return service.parse().map(Self::ServiceRules);
        }
        match text {
            RULES => Ok(Self::Rules),
            VMS => Ok(Self::Vms),
            _ => Err(ParseError::new("rules, rules.SERVICE, vms or targets.SERVICE", text)),
        }
    }
}

impl TryFrom<String> for ListName {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<ListName> for String {
    fn from(name: ListName) -> Self {
        name.to_string()
    }
}
