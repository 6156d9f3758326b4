//! Names of machines, zones, customers and back ends.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Names longer than this are refused; it bounds header, log and message sizes.
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
            /// Checks and wraps a name.
            ///
            /// # Errors
            /// When the name is empty, over 128 bytes or has a character outside
            /// `[A-Za-z0-9._-]`.
            pub fn new(text: &str) -> Result<Self, ParseError> {
                check_name(text).map(Self)
            }

            /// The name as text.
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
    /// A set of targets that answer the same kind of request.
    ServiceName
}
name_type! {
    /// One back-end server, unique over all services.
    TargetId
}
name_type! {
    /// One entry VM, which runs one `shallotd`.
    VmId
}
name_type! {
    /// A group of machines that tend to fail together.
    FailureDomain
}
name_type! {
    /// A group of failure domains near each other.
    Region
}
name_type! {
    /// The application or organisation that sends a request.
    CallerName
}
