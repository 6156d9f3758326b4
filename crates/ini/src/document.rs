//! Parser for INI text that keeps line numbers.

use ini::{Ini, Properties};

use crate::IniError;

/// Names the forms that a line may have; the messages of `rust-ini` name parser states instead.
const INVALID_LINE: &str = "neither [section], key = value nor a comment";

/// A `key = value` line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Line number in the text, starting at 1.
    pub line: usize,
    /// Text before the separator, without surrounding whitespace.
    pub key: String,
    /// Text after the separator, without surrounding whitespace or quotes.
    pub value: String,
}

/// A `[name]` line and the entries below it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// Line number in the text, starting at 1.
    pub line: usize,
    /// Text between the brackets.
    pub name: String,
    /// Entries in the order of the text; a repeated key has one entry for each occurrence.
    pub entries: Vec<Entry>,
}

/// The sections of an INI text; a repeated name has one section for each occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Document {
    /// Sections in the order of the text.
    pub sections: Vec<Section>,
}

impl Document {
    /// Parses INI text.
    ///
    /// # Errors
    /// Returns an error for each line that is not INI and for each entry before the first section.
    pub fn parse(text: &str) -> Result<Self, Vec<IniError>> {
        let mut document = Self::default();
        let mut errors = Vec::new();
        for (index, line) in text.lines().enumerate() {
            if let Err(error) = document.parse_line(index + 1, line.trim()) {
                errors.push(error);
            }
        }
        if errors.is_empty() { Ok(document) } else { Err(errors) }
    }

    fn parse_line(&mut self, line: usize, text: &str) -> Result<(), IniError> {
        if text.is_empty() {
            return Ok(());
        }
        let parsed = Ini::load_from_str_noescape(text)
            .map_err(|_| IniError { line, reason: INVALID_LINE.to_owned() })?;
        for (name, properties) in &parsed {
            self.append(line, name, properties)?;
        }
        Ok(())
    }

    fn append(
        &mut self,
        line: usize,
        name: Option<&str>,
        properties: &Properties,
    ) -> Result<(), IniError> {
        if let Some(name) = name {
            self.sections.push(Section { line, name: name.to_owned(), entries: Vec::new() });
        }
        for (key, value) in properties {
            let section = self.sections.last_mut().ok_or_else(|| misplaced_entry(line))?;
            let entry = Entry { line, key: key.to_owned(), value: value.to_owned() };
            section.entries.push(entry);
        }
        Ok(())
    }
}

fn misplaced_entry(line: usize) -> IniError {
    IniError { line, reason: "entry before the first section".to_owned() }
}
