//! Mistakes of a document's author, collected with their places and reported together.

use std::{fmt, sync::Arc};

/// How much a finding matters.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Level {
    /// The document cannot be used.
    Error,
    /// The document can be used, but may not do what its author expects.
    Warning,
}

/// Where in a document something stands. Places order by file, then line, then column.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Location {
    /// Name of the file.
    pub file: Arc<str>,
    /// Line, counted from 1; 0 where the finding is about the file as a whole.
    pub line: u32,
    /// Column in characters, counted from 1; 0 where `line` is.
    pub column: u32,
}

impl Location {
    /// The place of a finding about a file as a whole.
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

/// One mistake: where it is, what is wrong and how to mend it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// Where it stands.
    pub location: Location,
    /// How much it matters.
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

/// The findings of one or more documents; displays one a line, in order of place.
///
/// Invariant: sorted, without doubles.
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

    /// Takes over all findings of `other`.
    pub fn extend(&mut self, other: Self) {
        self.list.extend(other.list);
        self.list.sort();
        self.list.dedup();
    }

    /// Whether any finding is an error.
    pub fn has_errors(&self) -> bool {
        self.errors().next().is_some()
    }

    /// Whether there is no finding at all.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// All findings in order of place.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.list.iter()
    }

    /// The errors in order of place.
    pub fn errors(&self) -> impl Iterator<Item = &Finding> {
        self.list.iter().filter(|f| f.level == Level::Error)
    }

    /// The warnings in order of place.
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
