//! INI parser with line numbers, shared by the tables and the settings.

use {
    crate::config::ParseFault,
    indexmap::IndexMap,
    ini_core::{Item, Parser},
    std::sync::Arc,
};

/// One section with the keys that have not been read yet.
#[derive(Debug)]
pub struct IniSection {
    /// File name, used in fault messages.
    pub file: Arc<str>,
    /// Title between the brackets.
    pub title: String,
    /// Line number of the title, from 1.
    pub line: u32,
    keys: IndexMap<String, (u32, String)>,
}

impl IniSection {
    /// Creates a fault at the line of the section title.
    pub fn fault(&self, key: &str, remedy: &str) -> ParseFault {
        self.fault_at(self.line, key, remedy)
    }

    fn fault_at(&self, line: u32, key: &str, remedy: &str) -> ParseFault {
        ParseFault::BadKey {
            file: Arc::clone(&self.file),
            line,
            section: self.title.clone(),
            key: key.to_owned(),
            remedy: remedy.to_owned(),
        }
    }

    /// Creates a section without keys, used in place of a missing one.
    pub fn empty(file: &str, title: &str) -> Self {
        Self {
            file: file.into(),
            title: title.to_owned(),
            line: 1,
            keys: IndexMap::new(),
        }
    }

    /// Returns whether the section has the key and it has not been read yet.
    pub fn has(&self, key: &str) -> bool {
        self.keys.contains_key(key)
    }

    /// Removes a key and returns its value, if present.
    pub fn take(&mut self, key: &str) -> Option<String> {
        self.keys.shift_remove(key).map(|(_, value)| value)
    }

    /// Removes a required key and returns its value. A missing key adds a fault and returns an empty string.
    pub fn take_required(&mut self, key: &str, faults: &mut Vec<ParseFault>) -> Arc<str> {
        if let Some(value) = self.take(key) {
            return value.into();
        }
        faults.push(self.fault(key, "this key is missing; add it"));
        Arc::from("")
    }

    /// Removes a key and converts its value. A value that `convert` rejects adds a fault with the given remedy.
    pub fn take_parsed<T>(
        &mut self,
        key: &str,
        remedy: &str,
        faults: &mut Vec<ParseFault>,
        convert: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let (line, text) = self.keys.shift_remove(key)?;
        let value = convert(&text);
        if value.is_none() {
            faults.push(self.fault_at(line, key, &format!("invalid value `{text}`; {remedy}")));
        }
        value
    }

    /// Adds a fault for every key that was not read.
    pub fn reject_unknown_keys(&self, faults: &mut Vec<ParseFault>) {
        for (key, (line, _)) in &self.keys {
            faults.push(self.fault_at(*line, key, "unknown key; check its spelling or remove it"));
        }
    }
}

/// Splits INI text into sections. Adds a fault for each malformed line and repeated key.
pub fn read_sections(file: &Arc<str>, text: &str, faults: &mut Vec<ParseFault>) -> Vec<IniSection> {
    let mut sections: Vec<IniSection> = Vec::new();
    for (index, raw) in text.lines().enumerate() {
        let line = index as u32 + 1;
        match read_line(raw.trim()) {
            Item::Section(title) => sections.push(IniSection {
                file: Arc::clone(file),
                title: title.trim().to_owned(),
                line,
                keys: IndexMap::new(),
            }),
            Item::Property(key, Some(value)) => match sections.last_mut() {
                Some(section) => add_key(section, line, key.trim(), value.trim(), faults),
                None => faults.push(bad_line(file, line, "key before the first section")),
            },
            Item::Property(_, None) => faults.push(bad_line(file, line, "key without a value")),
            Item::Error(_) => faults.push(bad_line(file, line, "section title without a closing bracket")),
            Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
        }
    }
    sections
}

fn read_line(line: &str) -> Item<'_> {
    if line.starts_with('#') {
        return Item::Comment(line);
    }
    Parser::new(line)
        .find(|item| !matches!(item, Item::SectionEnd))
        .unwrap_or(Item::Blank)
}

fn add_key(section: &mut IniSection, line: u32, key: &str, value: &str, faults: &mut Vec<ParseFault>) {
    if section.keys.contains_key(key) {
        faults.push(section.fault_at(line, key, "duplicate key; remove one"));
        return;
    }
    section.keys.insert(key.to_owned(), (line, value.to_owned()));
}

fn bad_line(file: &Arc<str>, line: u32, text: &str) -> ParseFault {
    ParseFault::BadLine {
        file: Arc::clone(file),
        line,
        text: text.to_owned(),
    }
}
