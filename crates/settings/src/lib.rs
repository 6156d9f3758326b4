//! The settings file of `shallotd`: INI text to typed, checked values.
//!
//! Every error is reported at once. Defaults stand next to the key they belong to, in `sections`;
//! `docs/settings.md` has one entry per key and a test compares the two.

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
