//! The parts of a configuration that are stored and changed independently.

use std::{collections::BTreeMap, sync::Arc};

use dunlinrock_schema::config::{Config, Domain, Drain, Link, Region, Service, Target};
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

use super::{
    blocks::{Blocks, split_blocks},
    shards::shards,
    table::Table,
};

/// Maximum number of targets stored with their service. More are split into separate pieces of at
/// most this many, so that a changed target fits 4 KB with its index pieces.
pub const MAX_SHARD_TARGETS: usize = 32;

/// One named part of a configuration.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum Leaf {
    /// All regions.
    Regions(Table),
    /// All failure domains.
    Domains(Table),
    /// The links from one region.
    Links(Table),
    /// All drains.
    Drains(Table),
    /// A service with its targets.
    Service {
        /// Name of the service.
        name: Arc<str>,
        /// Rules of the service; `None` if only targets refer to it.
        rules: Option<Service>,
        /// Its targets, if they are few.
        targets: Table,
    },
    /// Some targets of a service that has many.
    Targets(Table),
    /// Some of the client blocks.
    Blocks(Blocks),
}

/// Error: the rows of a leaf do not match their type.
#[derive(Debug, thiserror::Error)]
#[error("a leaf of the configuration does not match its type: {0}")]
pub struct LeafError(String);

/// Splits a configuration into leaves. Empty parts have no leaf.
pub fn leaves(config: &Config) -> BTreeMap<Arc<str>, Leaf> {
    // Names every field, so that a field added to the schema and not stored here fails to compile
    // instead of being lost silently.
    let Config {
        regions,
        domains,
        links,
        drains,
        blocks,
        services: _,
        targets: _,
    } = config;
    let mut out = BTreeMap::new();
    add_table(&mut out, "regions", regions, Leaf::Regions);
    add_table(&mut out, "domains", domains, Leaf::Domains);
    add_table(&mut out, "drains", drains, Leaf::Drains);
    for (from, links) in group_by(links, |link| &link.from) {
        add_table(&mut out, &format!("links/{from}"), &links, Leaf::Links);
    }
    add_services(&mut out, config);
    for (name, blocks) in split_blocks(blocks) {
        out.insert(name, Leaf::Blocks(blocks));
    }
    out
}

fn add_table<T: Serialize>(
    out: &mut BTreeMap<Arc<str>, Leaf>,
    name: &str,
    rows: &BTreeMap<Arc<str>, T>,
    leaf: impl Fn(Table) -> Leaf,
) {
    if !rows.is_empty() {
        out.insert(name.into(), leaf(Table::pack(rows)));
    }
}

fn group_by<T: Clone>(
    rows: &BTreeMap<Arc<str>, T>,
    by: impl Fn(&T) -> &Arc<str>,
) -> BTreeMap<Arc<str>, BTreeMap<Arc<str>, T>> {
    let mut out: BTreeMap<_, BTreeMap<_, _>> = BTreeMap::new();
    for (name, row) in rows {
        let rows = out.entry(by(row).clone()).or_default();
        rows.insert(name.clone(), row.clone());
    }
    out
}

fn add_services(out: &mut BTreeMap<Arc<str>, Leaf>, config: &Config) {
    let mut targets = group_by(&config.targets, |target| &target.service);
    for name in config.services.keys() {
        targets.entry(name.clone()).or_default();
    }
    for (name, targets) in targets {
        let many = targets.len() > MAX_SHARD_TARGETS;
        let few = if many {
            BTreeMap::new()
        } else {
            targets.clone()
        };
        let leaf = Leaf::Service {
            name: name.clone(),
            rules: config.services.get(&name).cloned(),
            targets: Table::pack(&few),
        };
        out.insert(format!("service/{name}").into(), leaf);
        if many {
            add_target_shards(out, &name, targets);
        }
    }
}

fn add_target_shards(
    out: &mut BTreeMap<Arc<str>, Leaf>,
    service: &str,
    targets: BTreeMap<Arc<str>, Target>,
) {
    let keyed = targets
        .into_iter()
        .map(|row| (rapidhash_v3(row.0.as_bytes()), row));
    for shard in shards(keyed.collect(), MAX_SHARD_TARGETS) {
        let name = format!("targets/{service}/{:016x}/{}", shard.prefix, shard.bits);
        let rows = shard.entries.into_iter().collect();
        add_table(out, &name, &rows, Leaf::Targets);
    }
}

impl Leaf {
    /// Adds the leaf's part to a configuration.
    pub fn add(&self, config: &mut Config) -> Result<(), LeafError> {
        match self {
            Self::Regions(rows) => config.regions.extend(unpack::<Region>(rows)?),
            Self::Domains(rows) => config.domains.extend(unpack::<Domain>(rows)?),
            Self::Links(rows) => config.links.extend(unpack::<Link>(rows)?),
            Self::Drains(rows) => config.drains.extend(unpack::<Drain>(rows)?),
            Self::Targets(rows) => config.targets.extend(unpack::<Target>(rows)?),
            Self::Service {
                name,
                rules,
                targets,
            } => {
                let rules = rules.clone().map(|rules| (name.clone(), rules));
                config.services.extend(rules);
                config.targets.extend(unpack::<Target>(targets)?);
            }
            Self::Blocks(blocks) => config.blocks.extend(rows(blocks)?),
        }
        Ok(())
    }

    /// Removes the leaf's part from a configuration.
    pub fn remove(&self, config: &mut Config) -> Result<(), LeafError> {
        match self {
            Self::Regions(rows) => remove_rows(&mut config.regions, &rows.names),
            Self::Domains(rows) => remove_rows(&mut config.domains, &rows.names),
            Self::Links(rows) => remove_rows(&mut config.links, &rows.names),
            Self::Drains(rows) => remove_rows(&mut config.drains, &rows.names),
            Self::Targets(rows) => remove_rows(&mut config.targets, &rows.names),
            Self::Service { name, targets, .. } => {
                config.services.remove(name);
                remove_rows(&mut config.targets, &targets.names);
            }
            Self::Blocks(blocks) => rows(blocks)?.keys().for_each(|block| {
                config.blocks.remove(block);
            }),
        }
        Ok(())
    }
}

fn unpack<T: serde::de::DeserializeOwned>(
    table: &Table,
) -> Result<BTreeMap<Arc<str>, T>, LeafError> {
    table.unpack().map_err(|error| LeafError(error.to_string()))
}

fn rows(blocks: &Blocks) -> Result<BTreeMap<Arc<str>, Arc<str>>, LeafError> {
    let corrupt = || LeafError("rows of client blocks are corrupt".to_owned());
    blocks.unpack().ok_or_else(corrupt)
}

fn remove_rows<T>(rows: &mut BTreeMap<Arc<str>, T>, names: &[Arc<str>]) {
    for name in names {
        rows.remove(name);
    }
}
