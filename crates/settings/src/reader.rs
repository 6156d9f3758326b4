//! Reads values from the settings file and collects all errors.

use shallotfork_ini::{Document, Entry};

use crate::key_spec::{KeySpec, Presence};
use crate::setting_error::SettingError;
use crate::value::SettingValue;

/// Reads the values of a document and collects the errors found.
pub(crate) struct Reader<'a> {
    document: &'a Document,
    errors: Vec<SettingError>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(document: &'a Document) -> Self {
        Self { document, errors: Vec::new() }
    }

    pub(crate) fn into_errors(self) -> Vec<SettingError> {
        self.errors
    }

    /// Records an error for each section that is unknown and each key that is unknown or repeated.
    pub(crate) fn check_names(&mut self, keys: &[&KeySpec]) {
        let mut seen = Vec::new();
        for section in &self.document.sections {
            let name = section.name.as_str();
            if !keys.iter().any(|spec| spec.section == name) {
                self.errors.push(SettingError::new(
                    Some(section.line),
                    name,
                    "",
                    "unknown section",
                ));
                continue;
            }
            for Entry { line, key, .. } in &section.entries {
                if !keys.iter().any(|spec| spec.section == name && spec.key == key) {
                    self.errors.push(SettingError::new(Some(*line), name, key, "unknown key"));
                    continue;
                }
                if seen.contains(&(name, key.as_str())) {
                    self.errors.push(SettingError::new(Some(*line), name, key, "repeated key"));
                }
                seen.push((name, key));
            }
        }
    }

    /// Parses one value, or records why it cannot be parsed.
    pub(crate) fn value<T: SettingValue>(&mut self, spec: &KeySpec) -> Option<T> {
        let entry = self.entry(spec.section, spec.key);
        let (line, text) = match (entry, spec.presence) {
            (Some(entry), _) => (Some(entry.line), entry.value.as_str()),
            (None, Presence::Default(text)) => (None, text),
            (None, Presence::Optional) => return T::absent(),
            (None, Presence::Required) => {
                self.reject(spec.section, spec.key, "missing");
                return None;
            }
        };
        match T::read(spec.key, text) {
            Ok(value) => Some(value),
            Err(error) => {
                let reason = error.to_string();
                self.errors.push(SettingError::new(line, spec.section, spec.key, &reason));
                None
            }
        }
    }

    /// Records an error for a key.
    pub(crate) fn reject(&mut self, section: &str, key: &str, reason: &str) {
        let line = self.entry(section, key).map(|entry| entry.line);
        self.errors.push(SettingError::new(line, section, key, reason));
    }

    /// Records an error with this reason unless `is_valid`.
    pub(crate) fn require(&mut self, is_valid: bool, section: &str, key: &str, reason: &str) {
        if !is_valid {
            self.reject(section, key, reason);
        }
    }

    fn entry(&self, section: &str, key: &str) -> Option<&'a Entry> {
        let sections = self.document.sections.iter().filter(|candidate| candidate.name == section);
        sections.flat_map(|section| &section.entries).find(|entry| entry.key == key)
    }
}
