//! One type per section of the settings file, with its keys and defaults.

/// Declares a section: its type, its key specifications and the function that reads it.
macro_rules! section {
    (
        $(#[$doc:meta])*
        $name:ident = $section:literal {
            $(
                $(#[$field_doc:meta])*
                $field:ident: $type:ty = $key:literal, $presence:expr, $example:literal;
            )*
        }
    ) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq)]
        pub struct $name {
            $(
                $(#[$field_doc])*
                pub $field: $type,
            )*
        }

        impl $name {
            pub(crate) const SECTION: &'static str = $section;

            pub(crate) const KEYS: &'static [$crate::KeySpec] = &[
                $($crate::KeySpec {
                    section: Self::SECTION,
                    key: $key,
                    kind: <$type as $crate::value::SettingValue>::KIND,
                    presence: $presence,
                    example: $example,
                }),*
            ];

            pub(crate) fn read(reader: &mut $crate::reader::Reader<'_>) -> Option<Self> {
                let mut specs = Self::KEYS.iter();
                $(let $field = specs.next().and_then(|spec| reader.value(spec));)*
                Some(Self { $($field: $field?),* })
            }
        }
    };
}

mod balance;
mod callers;
mod leaving;
mod measure;
mod once;
mod operators;
mod peers;
mod platform;
mod vm;

pub use balance::BalanceSettings;
pub use callers::CallersSettings;
pub use leaving::LeavingSettings;
pub use measure::MeasureSettings;
pub use once::OnceSettings;
pub use operators::OperatorsSettings;
pub use peers::PeersSettings;
pub use platform::PlatformSettings;
pub use vm::VmSettings;

use shallotfork_types::Endpoint;

use crate::reader::Reader;

/// Checks that the advertised address is not unspecified: callers and peers cannot connect to
/// 0.0.0.0.
fn check_advertise(
    reader: &mut Reader<'_>,
    section: &str,
    listen: Endpoint,
    advertise: Option<Endpoint>,
) {
    let advertised = advertise.unwrap_or(listen);
    let is_connectable = !advertised.address().ip().is_unspecified();
    reader.require(is_connectable, section, "advertise", "an address that others can connect to");
}
