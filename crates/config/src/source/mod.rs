//! A document's text and the locations of its keys and values.

use std::{collections::BTreeMap, ops::Range, sync::Arc};

use crate::Location;

/// Keys from the root of a document down to a value.
pub(crate) type Path = Vec<Arc<str>>;

/// Text of a file with an index that maps byte offsets to lines and columns.
#[derive(Clone, Debug)]
pub(crate) struct Source {
    name: Arc<str>,
    text: Arc<str>,
    /// Byte offset of each line's start, ascending; the first is 0.
    lines: Vec<usize>,
}

impl Source {
    pub(crate) fn open(name: &str, text: &str) -> Self {
        let starts = text.match_indices('\n').map(|(at, _)| at + 1);
        Self {
            name: name.into(),
            text: text.into(),
            lines: std::iter::once(0).chain(starts).collect(),
        }
    }

    /// Returns the location of a byte offset. An offset beyond the text maps to its end.
    pub(crate) fn location(&self, offset: usize) -> Location {
        let offset = offset.min(self.text.len());
        let line = self.lines.partition_point(|start| *start <= offset) - 1;
        let start = self.lines[line];
        let column = self.text[start..]
            .char_indices()
            .take_while(|(at, _)| start + at < offset)
            .count();
        Location {
            file: self.name.clone(),
            line: clamp(line + 1),
            column: clamp(column + 1),
        }
    }

    /// Returns the source text of a span.
    pub(crate) fn slice(&self, span: Range<usize>) -> &str {
        self.text.get(span).unwrap_or_default()
    }
}

fn clamp(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

/// Byte offsets of a document's keys and values.
///
/// Stores offsets rather than locations: computing a column walks its line, which would be quadratic
/// for a long line with many values, and columns are needed for findings only.
#[derive(Clone, Debug)]
pub(crate) struct Locations {
    source: Source,
    /// Offsets of the key and of the start of its value, by path.
    entries: BTreeMap<Path, (usize, usize)>,
}

impl Locations {
    pub(crate) fn open(source: Source) -> Self {
        Self {
            source,
            entries: BTreeMap::new(),
        }
    }

    pub(crate) fn add(&mut self, path: Path, key: usize, value: usize) {
        self.entries.insert(path, (key, value));
    }

    /// Returns the location of the value at `path`, or of its nearest table if it is not set.
    pub(crate) fn value(&self, path: &[&str]) -> Location {
        let path = owned(path);
        match self.entries.get(&path) {
            Some((_, value)) => self.source.location(*value),
            None => self.nearest(path),
        }
    }

    /// Returns the location of the key at `path`, or of its nearest table if it is not set.
    pub(crate) fn key(&self, path: &[&str]) -> Location {
        self.nearest(owned(path))
    }

    fn nearest(&self, mut path: Path) -> Location {
        while !path.is_empty() {
            if let Some((key, _)) = self.entries.get(&path) {
                return self.source.location(*key);
            }
            path.pop();
        }
        Location::file(&self.source.name)
    }

    /// Returns the names defined in a section, those of invalid entries included.
    pub(crate) fn names(&self, section: &str) -> impl Iterator<Item = &Arc<str>> {
        let section: Arc<str> = section.into();
        self.entries
            .range(vec![section.clone()]..)
            .take_while(move |(path, _)| path[0] == section)
            .filter(|(path, _)| path.len() == 2)
            .map(|(path, _)| &path[1])
    }

    /// Returns whether a key is set at `path`.
    pub(crate) fn has(&self, path: &[&str]) -> bool {
        self.entries.contains_key(&owned(path))
    }

    /// Returns the number of keys directly under `path`, invalid ones included.
    pub(crate) fn count(&self, path: &[&str]) -> usize {
        let path = owned(path);
        let below = self.entries.range(path.clone()..);
        below
            .map(|(key, _)| key)
            .take_while(|key| key.starts_with(&path))
            .filter(|key| key.len() == path.len() + 1)
            .count()
    }

    pub(crate) fn source(&self) -> &Source {
        &self.source
    }
}

fn owned(path: &[&str]) -> Path {
    path.iter().map(|key| Arc::from(*key)).collect()
}
