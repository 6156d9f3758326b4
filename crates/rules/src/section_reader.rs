//! Reads the values of a rule's section and collects every error.

use std::fmt::Display;
use std::str::FromStr;

use shallotfork_ini::{Entry, Section};

use crate::RuleError;

/// Maximum number of values in a key; bounds the time that a decision takes.
const MAX_VALUES: usize = 64;

/// Reads typed values from a section and collects the errors.
pub(crate) struct SectionReader<'a> {
    section: &'a Section,
    errors: Vec<RuleError>,
}

impl<'a> SectionReader<'a> {
    pub(crate) fn new(section: &'a Section) -> Self {
        Self { section, errors: Vec::new() }
    }

    pub(crate) fn into_errors(self) -> Vec<RuleError> {
        self.errors
    }

    pub(crate) fn reject(&mut self, key: &str, reason: impl Display) {
        let line = self.entry(key).map_or(self.section.line, |entry| entry.line);
        self.errors.push(RuleError::new(line, &self.section.name, key, reason));
    }

    pub(crate) fn has(&self, key: &str) -> bool {
        self.entry(key).is_some()
    }

    /// Reports unknown and repeated keys.
    pub(crate) fn check_keys(&mut self, known: &[&str]) {
        let mut seen: Vec<&str> = Vec::new();
        for Entry { line, key, .. } in &self.section.entries {
            let reason = match () {
                () if !known.contains(&key.as_str()) => "unknown key",
                () if seen.contains(&key.as_str()) => "repeated key",
                () => {
                    seen.push(key);
                    continue;
                }
            };
            self.errors.push(RuleError::new(*line, &self.section.name, key, reason));
        }
    }

    /// Reads one value; returns `None` if the key is absent or its error was reported.
    pub(crate) fn value<T>(&mut self, key: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let text = self.entry(key)?.value.as_str();
        text.parse().map_err(|error| self.reject(key, error)).ok()
    }

    /// Reads a whole number from `min` to `max`; returns `None` as [`Self::value`] does.
    pub(crate) fn number(&mut self, key: &str, min: u32, max: u32) -> Option<u32> {
        let text = self.entry(key)?.value.as_str();
        let number = text.parse().ok().filter(|number| (min..=max).contains(number));
        if number.is_none() {
            self.reject(key, format_args!("expected a whole number, {min} to {max}"));
        }
        number
    }

    /// Reads comma-separated values; returns `None` as [`Self::value`] does.
    pub(crate) fn values<T>(&mut self, key: &str) -> Option<Vec<T>>
    where
        T: FromStr<Err: Display>,
    {
        let text = self.entry(key)?.value.as_str();
        if text.split(',').count() > MAX_VALUES {
            self.reject(key, format_args!("more than {MAX_VALUES} values"));
            return None;
        }
        let values: Result<Vec<T>, T::Err> =
            text.split(',').map(|value| value.trim().parse()).collect();
        values.map_err(|error| self.reject(key, error)).ok()
    }

    fn entry(&self, key: &str) -> Option<&'a Entry> {
        self.section.entries.iter().find(|entry| entry.key == key)
    }
}
