//! Settings file of `shallotd`: parses INI text into typed and validated values.
//!
//! All errors of a file are reported together. `sections` defines each key with its default;
//! `docs/settings.md` documents each key, and a test compares the two.

mod key_spec;
mod reader;
mod sections;
mod setting_error;
mod settings;
mod url_path;
mod value;

pub use key_spec::{KeySpec, Presence};
pub use sections::{
    BalanceSettings, CallersSettings, LeavingSettings, MeasureSettings, OnceSettings,
    OperatorsSettings, PeersSettings, PlatformSettings, VmSettings,
};
pub use setting_error::SettingError;
pub use settings::Settings;
pub use url_path::UrlPath;
