//! The whole settings file.

use shallotfork_ini::Document;

use crate::key_spec::KeySpec;
use crate::reader::Reader;
use crate::sections::{
    BalanceSettings, CallersSettings, LeavingSettings, MeasureSettings, OnceSettings,
    OperatorsSettings, PeersSettings, PlatformSettings, VmSettings,
};
use crate::setting_error::SettingError;

/// Every setting of one `shallotd`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// This VM.
    pub vm: VmSettings,
    /// The callers' port.
    pub callers: CallersSettings,
    /// The port for the other entries.
    pub peers: PeersSettings,
    /// The operators' port.
    pub operators: OperatorsSettings,
    /// How the platform is read.
    pub platform: PlatformSettings,
    /// Idempotency ledger.
    pub once: OnceSettings,
    /// Queues and budgets for extra attempts.
    pub balance: BalanceSettings,
    /// Budgets for probes and new connections.
    pub measure: MeasureSettings,
    /// Graceful shutdown.
    pub leaving: LeavingSettings,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Everything that is wrong, in the order of the file; what is missing comes last.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingError>> {
        let document = Document::parse(text).map_err(into_setting_errors)?;
        let mut reader = Reader::new(&document);
        reader.check_names(&Self::keys());
        let settings = Self::read(&mut reader);
        if let Some(settings) = &settings {
            settings.check(&mut reader);
        }
        let mut errors = reader.into_errors();
        errors.sort_by_key(|error| error.line.unwrap_or(usize::MAX));
        match settings {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(errors),
        }
    }

    /// Every key, in the order of the documentation.
    pub fn keys() -> Vec<&'static KeySpec> {
        let tables = [
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
        tables.into_iter().flatten().collect()
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

    fn check(&self, reader: &mut Reader<'_>) {
        self.vm.check(reader);
        self.callers.check(reader);
        self.peers.check(reader);
        self.operators.check(reader);
        self.platform.check(reader);
        self.once.check(reader);
        self.measure.check(reader);
    }
}

fn into_setting_errors(errors: Vec<shallotfork_ini::IniError>) -> Vec<SettingError> {
    errors.into_iter().map(SettingError::from).collect()
}
