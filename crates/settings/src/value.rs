//! Parsing of the value types of settings.

use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use shallotfork_balance::Policy;
use shallotfork_types::{
    Bytes, Endpoint, FailureDomain, ParseError, PerSecond, Permille, Region, VmId,
};

use crate::url_path::UrlPath;

/// Type that a setting may have.
pub(crate) trait SettingValue: Sized {
    /// Format of a value, as shown in the documentation.
    const KIND: &'static str;

    /// Parses the value of `key`.
    fn read(key: &str, text: &str) -> Result<Self, ParseError>;

    /// Returns the value for an omitted optional key; `None` for types that require a value.
    fn absent() -> Option<Self> {
        None
    }
}

macro_rules! from_str_value {
    ($($type:ty: $kind:literal;)*) => {
        $(
            impl SettingValue for $type {
                const KIND: &'static str = $kind;

                fn read(_key: &str, text: &str) -> Result<Self, ParseError> {
                    text.parse()
                }
            }
        )*
    };
}

from_str_value! {
    UrlPath: "path";
    Bytes: "size";
    Endpoint: "ip:port";
    FailureDomain: "name";
    PerSecond: "whole number";
    Permille: "whole number";
    Region: "name";
    VmId: "name";
}

impl SettingValue for Policy {
    const KIND: &'static str = "policy";

    fn read(_key: &str, text: &str) -> Result<Self, ParseError> {
        text.parse().map_err(|_| ParseError::new("a policy such as load-aware", text))
    }
}

impl SettingValue for u32 {
    const KIND: &'static str = "whole number";

    fn read(_key: &str, text: &str) -> Result<Self, ParseError> {
        text.parse().map_err(|_| ParseError::new("a whole number", text))
    }
}

impl SettingValue for usize {
    const KIND: &'static str = "whole number";

    fn read(_key: &str, text: &str) -> Result<Self, ParseError> {
        let number = u32::read(_key, text)?;
        usize::try_from(number).map_err(|_| ParseError::new("a smaller number", text))
    }
}

impl SettingValue for Duration {
    const KIND: &'static str = "whole number";

    /// Takes the unit from the suffix of the key: microseconds for `_us`, else milliseconds.
    fn read(key: &str, text: &str) -> Result<Self, ParseError> {
        let number = u64::from(u32::read(key, text)?);
        if key.ends_with("_us") {
            return Ok(Self::from_micros(number));
        }
        Ok(Self::from_millis(number))
    }
}

impl SettingValue for PathBuf {
    const KIND: &'static str = "path";

    fn read(_key: &str, text: &str) -> Result<Self, ParseError> {
        if text.is_empty() {
            return Err(ParseError::new("a path", text));
        }
        Ok(Self::from(text))
    }
}

impl SettingValue for Vec<Endpoint> {
    const KIND: &'static str = "ip:port list";

    fn read(_key: &str, text: &str) -> Result<Self, ParseError> {
        text.split(',').map(|part| Endpoint::from_str(part.trim())).collect()
    }
}

impl<T: SettingValue> SettingValue for Option<T> {
    const KIND: &'static str = T::KIND;

    fn read(key: &str, text: &str) -> Result<Self, ParseError> {
        T::read(key, text).map(Some)
    }

    fn absent() -> Option<Self> {
        Some(None)
    }
}
