//! The parsed settings file.

use shallotfork_ini::Document;

use crate::key_spec::KeySpec;
use crate::reader::Reader;
use crate::sections::{
    BalanceSettings, CallersSettings, LeavingSettings, MeasureSettings, OnceSettings,
    OperatorsSettings, PeersSettings, PlatformSettings, VmSettings,
};
use crate::setting_error::SettingError;

/// All settings of a `shallotd` process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Identity of this VM.
    pub vm: VmSettings,
    /// Port for callers.
    pub callers: CallersSettings,
    /// Port for other entries.
    pub peers: PeersSettings,
    /// Port for operators.
    pub operators: OperatorsSettings,
    /// Access to the platform.
    pub platform: PlatformSettings,
    /// Sessions and the idempotency ledger.
    pub once: OnceSettings,
    /// Target selection, queues, and budgets for retries and hedges.
    pub balance: BalanceSettings,
    /// Budgets for probes and new connections.
    pub measure: MeasureSettings,
    /// Graceful shutdown.
    pub leaving: LeavingSettings,
}

impl Settings {
    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// Returns all errors in the order of the file; errors for missing keys come last.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingError>> {
        let document = Document::parse(text).map_err(into_setting_errors)?;
        let mut reader = Reader::new(&document);
        reader.check_names(&Self::keys());
        let settings = Self::read(&mut reader);
        if let Some(settings) = &settings {
            settings.validate(&mut reader);
        }
        let mut errors = reader.into_errors();
        errors.sort_by_key(|error| error.line.unwrap_or(usize::MAX));
        match settings {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(errors),
        }
    }

    /// Returns the specifications of all keys in the order of the documentation.
    pub fn keys() -> Vec<&'static KeySpec> {
        let specs = [
            VmSettings::KEYS,
            CallersSettings::KEYS,
            PeersSettings::KEYS,
            OperatorsSettings::KEYS,
            PlatformSettings::KEYS,
            OnceSettings::KEYS,
            BalanceSettings::KEYS,
            MeasureSettings::KEYS,
            LeavingSettings::KEYS,
        ];
        specs.into_iter().flatten().collect()
    }

    fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let vm = VmSettings::read(reader);
        let callers = CallersSettings::read(reader);
        let peers = PeersSettings::read(reader);
        let operators = OperatorsSettings::read(reader);
        let platform = PlatformSettings::read(reader);
        let once = OnceSettings::read(reader);
        let balance = BalanceSettings::read(reader);
        let measure = MeasureSettings::read(reader);
        let leaving = LeavingSettings::read(reader);
        Some(Self {
            vm: vm?,
            callers: callers?,
            peers: peers?,
            operators: operators?,
            platform: platform?,
            once: once?,
            balance: balance?,
            measure: measure?,
            leaving: leaving?,
        })
    }

    fn validate(&self, reader: &mut Reader<'_>) {
        self.vm.validate(reader);
        self.callers.validate(reader);
        self.peers.validate(reader);
        self.operators.validate(reader);
        self.platform.validate(reader);
        self.once.validate(reader);
        self.measure.validate(reader);
    }
}

fn into_setting_errors(errors: Vec<shallotfork_ini::IniError>) -> Vec<SettingError> {
    errors.into_iter().map(SettingError::from).collect()
}
