//! Sections in the order of the text.

use ini::{Ini, Properties};

use crate::IniError;

/// The library's own messages name parser states; this one names what the author can write.
const NOT_INI: &str = "neither [section], key = value nor a comment";

/// One `key = value` line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Line in the file, from 1.
    pub line: usize,
    /// Text before the separator, without surrounding blanks.
    pub key: String,
    /// Text after the separator, without surrounding blanks or quotes.
    pub value: String,
}

/// One `[name]` line and the entries below it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// Line in the file, from 1.
    pub line: usize,
    /// Text between the brackets.
    pub name: String,
    /// Entries in order; a repeated key stands twice.
    pub entries: Vec<Entry>,
}

/// All sections in order; a repeated section stands twice.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Document {
    /// Sections in the order of the text.
    pub sections: Vec<Section>,
}

impl Document {
    /// Reads INI text.
    ///
    /// # Errors
    /// Every line that is not INI, and every entry above the first section.
    pub fn parse(text: &str) -> Result<Self, Vec<IniError>> {
        let mut document = Self::default();
        let mut errors = Vec::new();
        for (index, line) in text.lines().enumerate() {
            if let Err(error) = document.read_line(index + 1, line.trim()) {
                errors.push(error);
            }
        }
        if errors.is_empty() { Ok(document) } else { Err(errors) }
    }

    fn read_line(&mut self, line: usize, text: &str) -> Result<(), IniError> {
        if text.is_empty() {
            return Ok(());
        }
        let read = Ini::load_from_str_noescape(text)
            .map_err(|_| IniError { line, reason: NOT_INI.to_owned() })?;
        for (name, properties) in &read {
            self.add(line, name, properties)?;
        }
        Ok(())
    }

    fn add(&mut self, line: usize, name: Option<&str>, read: &Properties) -> Result<(), IniError> {
        if let Some(name) = name {
            self.sections.push(Section { line, name: name.to_owned(), entries: Vec::new() });
        }
        for (key, value) in read {
            let section = self.sections.last_mut().ok_or_else(|| outside(line))?;
            let entry = Entry { line, key: key.to_owned(), value: value.to_owned() };
            section.entries.push(entry);
        }
        Ok(())
    }
}

fn outside(line: usize) -> IniError {
    IniError { line, reason: "entry above the first section".to_owned() }
}
