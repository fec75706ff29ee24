//! Findings: errors and warnings in a document, with their locations.

use std::{fmt, sync::Arc};

/// Severity of a finding.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Level {
    /// The document cannot be used.
    Error,
    /// The document can be used, but may not do what its author expects.
    Warning,
}

/// A location in a document, ordered by file, then line, then column.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Location {
    /// Name of the file.
    pub file: Arc<str>,
    /// Line, counted from 1; 0 for the file as a whole.
    pub line: u32,
    /// Column in characters, counted from 1; 0 if `line` is 0.
    pub column: u32,
}

impl Location {
    /// Returns the location of a file as a whole.
    pub fn file(name: &str) -> Self {
        Self {
            file: name.into(),
            line: 0,
            column: 0,
        }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return f.write_str(&self.file);
        }
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// An error or warning: its location, what is wrong and how to fix it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// Location in the document.
    pub location: Location,
    /// Severity.
    pub level: Level,
    /// What is wrong and the fix, on one line.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let level = match self.level {
            Level::Error => "",
            Level::Warning => "warning: ",
        };
        write!(f, "{}: {level}{}", self.location, self.message)
    }
}

/// The findings of one or more documents, displayed one per line in order of location.
///
/// Invariant: sorted, without duplicates.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// Adds an error.
    pub fn error(&mut self, location: Location, message: impl Into<String>) {
        self.add(location, Level::Error, message.into());
    }

    /// Adds a warning.
    pub fn warning(&mut self, location: Location, message: impl Into<String>) {
        self.add(location, Level::Warning, message.into());
    }

    fn add(&mut self, location: Location, level: Level, message: String) {
        let finding = Finding {
            location,
            level,
            message,
        };
        if let Err(at) = self.list.binary_search(&finding) {
            self.list.insert(at, finding);
        }
    }

    /// Adds all findings of `other`.
    pub fn extend(&mut self, other: Self) {
        self.list.extend(other.list);
        self.list.sort();
        self.list.dedup();
    }

    /// Returns whether any finding is an error.
    pub fn has_errors(&self) -> bool {
        self.errors().next().is_some()
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns all findings in order of location.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.list.iter()
    }

    /// Returns the errors in order of location.
    pub fn errors(&self) -> impl Iterator<Item = &Finding> {
        self.list.iter().filter(|f| f.level == Level::Error)
    }

    /// Returns the warnings in order of location.
    pub fn warnings(&self) -> impl Iterator<Item = &Finding> {
        self.list.iter().filter(|f| f.level == Level::Warning)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.list
            .iter()
            .try_for_each(|finding| writeln!(f, "{finding}"))
    }
}

impl std::error::Error for Findings {}
