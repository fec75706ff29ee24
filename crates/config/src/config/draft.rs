//! The merged files of a configuration, before cross-file validation.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use dunlinrock_schema::config::Config;

use super::ConfigFile;
use crate::{Findings, Location, check::Document, schema, settings::name_fault};

/// Sections whose entries are named by the operator.
const NAMED: [&str; 6] = [
    "services", "regions", "domains", "links", "targets", "drains",
];
/// Section whose entries are keyed by an address block.
pub(super) const BLOCKS: &str = "blocks";

/// The valid entries of all files, with the locations of all entries.
pub(super) struct Draft {
    /// Union of the files, without invalid entries.
    pub(super) config: Config,
    documents: Vec<Document>,
    /// Defined names by section, those of invalid entries included, with the index of their file.
    names: BTreeMap<&'static str, BTreeMap<Arc<str>, usize>>,
    /// Whether all files were parsed as TOML, which means that all names are known.
    pub(super) all_parsed: bool,
}

impl Draft {
    pub(super) fn open(files: &[ConfigFile], findings: &mut Findings) -> Self {
        let mut draft = Self {
            config: Config::default(),
            documents: Vec::new(),
            names: BTreeMap::new(),
            all_parsed: true,
        };
        for file in files {
            let mut document = Document::read(&file.name, &file.text, schema::CONFIG, findings);
            draft.all_parsed &= document.parsed;
            if let Some(part) = document.typed(findings) {
                draft.merge(part);
            }
            draft.documents.push(document);
        }
        draft.index(findings);
        draft
    }

    fn merge(&mut self, part: Config) {
        self.config.services.extend(part.services);
        self.config.regions.extend(part.regions);
        self.config.domains.extend(part.domains);
        self.config.links.extend(part.links);
        self.config.targets.extend(part.targets);
        self.config.drains.extend(part.drains);
        self.config.blocks.extend(part.blocks);
    }

    /// Records the file that defines each name. A name defined in two files is a finding in both.
    fn index(&mut self, findings: &mut Findings) {
        for section in NAMED.into_iter().chain([BLOCKS]) {
            let names = self.names.entry(section).or_default();
            for (n, document) in self.documents.iter().enumerate() {
                for name in document.locations.names(section) {
                    let here = document.locations.key(&[section, name]);
                    if section != BLOCKS
                        && let Some(fault) = name_fault(name)
                    {
                        findings.error(here.clone(), format!("the name `{name}` {fault}"));
                    }
                    let Some(first) = names.get(name) else {
                        names.insert(name.clone(), n);
                        continue;
                    };
                    let there = self.documents[*first].locations.key(&[section, name]);
                    findings.error(here.clone(), duplicate_name(section, name, &there));
                    findings.error(there, duplicate_name(section, name, &here));
                }
            }
        }
    }

    /// Returns the names defined in a section, those of invalid entries included.
    pub(super) fn names(&self, section: &str) -> impl Iterator<Item = &Arc<str>> + Clone {
        self.names.get(section).into_iter().flat_map(BTreeMap::keys)
    }

    /// Returns whether a section defines a name, even if its entry is invalid.
    pub(super) fn defines(&self, section: &str, name: &str) -> bool {
        self.names
            .get(section)
            .is_some_and(|names| names.contains_key(name))
    }

    /// Returns the location of the value at `path`: section, name, keys.
    pub(super) fn value(&self, path: &[&str]) -> Location {
        self.document(path).map_or_else(
            || Location::file("configuration"),
            |d| d.locations.value(path),
        )
    }

    /// Returns the location of the key at `path`: section, name, keys.
    pub(super) fn key(&self, path: &[&str]) -> Location {
        self.document(path).map_or_else(
            || Location::file("configuration"),
            |d| d.locations.key(path),
        )
    }

    /// Returns the number of keys directly under `path`, invalid ones included.
    pub(super) fn count(&self, path: &[&str]) -> usize {
        self.document(path).map_or(0, |d| d.locations.count(path))
    }

    /// Returns whether a key is set in a file, as opposed to taken from its default.
    pub(super) fn is_set(&self, path: &[&str]) -> bool {
        self.document(path).is_some_and(|d| d.locations.has(path))
    }

    fn document(&self, path: &[&str]) -> Option<&Document> {
        let [section, name, ..] = path else {
            return None;
        };
        let at = self.names.get(section)?.get(*name)?;
        self.documents.get(*at)
    }

    /// Returns the regions in which a service has targets, drained or not.
    pub(super) fn regions_of(&self, service: &str) -> BTreeSet<&Arc<str>> {
        let targets = self.config.targets.values();
        targets
            .filter(|target| &*target.service == service)
            .filter_map(|target| self.config.domains.get(&target.domain))
            .map(|domain| &domain.region)
            .collect()
    }
}

fn duplicate_name(section: &str, name: &str, other: &Location) -> String {
    let kind = section.trim_end_matches('s');
    format!("the {kind} `{name}` is also defined at {other}; keep one of them")
}
