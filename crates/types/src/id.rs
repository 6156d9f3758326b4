//! Names of services, targets, VMs, failure domains, regions and callers.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Maximum length of a name, which limits the sizes of headers, log lines and messages.
const MAX_NAME_BYTES: usize = 128;

fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.')
}

/// Checks that `text` is 1 to 128 ASCII letters, digits, `-`, `_` or `.`.
fn check_name(text: &str) -> Result<String, ParseError> {
    let fits = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    if !fits || !text.chars().all(is_name_char) {
        return Err(ParseError::new("1 to 128 letters, digits, '-', '_' or '.'", text));
    }
    Ok(text.to_owned())
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Validates a name.
            ///
            /// # Errors
            /// Returns an error if the name is empty, longer than 128 bytes or contains a
            /// character outside `[A-Za-z0-9._-]`.
            pub fn new(text: &str) -> Result<Self, ParseError> {
                check_name(text).map(Self)
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseError;

            fn try_from(text: String) -> Result<Self, ParseError> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

name_type! {
    /// Name of a service: a set of targets that serve the same kind of request.
    ServiceName
}
name_type! {
    /// Identifier of a target, unique over all services.
    TargetId
}
name_type! {
    /// Identifier of an entry VM, which runs one `shallotd`.
    VmId
}
name_type! {
    /// Name of a failure domain: a group of machines that tend to fail together.
    FailureDomain
}
name_type! {
    /// Name of a region: a group of failure domains near each other.
    Region
}
name_type! {
    /// Name of a caller: the application or organisation that sends a request.
    CallerName
}
