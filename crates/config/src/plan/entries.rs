//! Entries that are added, removed or changed.

use std::{collections::BTreeMap, fmt, sync::Arc};

use dunlinrock_schema::config::Config;
use serde::Serialize;
use serde_json::Value;

/// Kind of a named entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A service.
    Service,
    /// A region.
    Region,
    /// A failure domain.
    Domain,
    /// A link between regions.
    Link,
    /// A target.
    Target,
    /// A drain.
    Drain,
    /// A block of client addresses.
    Block,
}

impl Kind {
    /// All kinds, in the order in which a plan lists them.
    pub const ALL: [Self; 7] = [
        Self::Service,
        Self::Region,
        Self::Domain,
        Self::Link,
        Self::Target,
        Self::Drain,
        Self::Block,
    ];
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Service => "service",
            Self::Region => "region",
            Self::Domain => "domain",
            Self::Link => "link",
            Self::Target => "target",
            Self::Drain => "drain",
            Self::Block => "block",
        })
    }
}

/// Change of an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The entry is new.
    Added,
    /// The entry is removed.
    Removed,
    /// The entry differs in these keys; the list is empty for blocks, which have no keys.
    Changed(Vec<String>),
}

/// One entry that changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Kind of the entry.
    pub kind: Kind,
    /// Name of the entry.
    pub name: Arc<str>,
    /// Change of the entry.
    pub change: Change,
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { kind, name, change } = self;
        match change {
            Change::Added => write!(f, "+ {kind} `{name}`"),
            Change::Removed => write!(f, "- {kind} `{name}`"),
            Change::Changed(keys) if keys.is_empty() => write!(f, "~ {kind} `{name}`"),
            Change::Changed(keys) => write!(f, "~ {kind} `{name}`: {}", keys.join(", ")),
        }
    }
}

pub(super) fn compare(old: &Config, new: &Config) -> Vec<Entry> {
    let mut entries = Vec::new();
    section(Kind::Service, &old.services, &new.services, &mut entries);
    section(Kind::Region, &old.regions, &new.regions, &mut entries);
    section(Kind::Domain, &old.domains, &new.domains, &mut entries);
    section(Kind::Link, &old.links, &new.links, &mut entries);
    section(Kind::Target, &old.targets, &new.targets, &mut entries);
    section(Kind::Drain, &old.drains, &new.drains, &mut entries);
    section(Kind::Block, &old.blocks, &new.blocks, &mut entries);
    entries
}

fn section<T: PartialEq + Serialize>(
    kind: Kind,
    old: &BTreeMap<Arc<str>, T>,
    new: &BTreeMap<Arc<str>, T>,
    entries: &mut Vec<Entry>,
) {
    let mut add = |name: &Arc<str>, change| {
        entries.push(Entry {
            kind,
            name: name.clone(),
            change,
        });
    };
    for (name, value) in new {
        match old.get(name) {
            None => add(name, Change::Added),
            Some(before) if before != value => {
                add(name, Change::Changed(differences(before, value)));
            }
            Some(_) => {}
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        add(name, Change::Removed);
    }
    entries.sort_by(|a, b| (a.kind, &a.name).cmp(&(b.kind, &b.name)));
}

/// Returns the keys in which two tables differ.
fn differences<T: Serialize>(old: &T, new: &T) -> Vec<String> {
    let table = |entry: &T| match serde_json::to_value(entry) {
        Ok(Value::Object(table)) => table,
        _ => serde_json::Map::new(),
    };
    let (old, new) = (table(old), table(new));
    let mut keys: Vec<&String> = old.keys().chain(new.keys()).collect();
    keys.sort();
    keys.dedup();
    keys.retain(|key| old.get(*key) != new.get(*key));
    keys.into_iter().cloned().collect()
}
