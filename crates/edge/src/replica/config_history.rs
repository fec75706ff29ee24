//! The configuration in force, and the way to it from the versions before.

use std::{collections::VecDeque, sync::Arc};

use dunlinrock_node::wire::PackError;
use serde::{Deserialize, Serialize};

use crate::model::{Config, KeyIndex, Packed, Patch, RouteIndex, VersionMismatch};

/// Patches that are kept. A host that asks every quarter of a second is rarely more than one behind; one
/// that was cut off while a dozen versions came in quick succession still needs no whole one.
const KEPT: usize = 16;

/// What another host is told of the configuration.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum ConfigUpdate {
    /// Patches, each beginning where the one before ends.
    Steps(Vec<Packed>),
    /// The version in force, whole.
    Whole(Packed),
}

/// Why news of another host are of no use.
#[derive(Debug, thiserror::Error)]
pub enum ConfigUpdateError {
    /// A patch does not begin at the version that is held.
    #[error(transparent)]
    VersionMismatch(#[from] VersionMismatch),
    /// They cannot be unpacked.
    #[error(transparent)]
    Pack(#[from] PackError),
}

/// A packed patch and where it begins.
#[derive(Debug)]
struct Step {
    from: u64,
    packed: Packed,
}

/// The version in force.
///
/// Invariants: its number never falls; each step begins where the one before ends, and the last one ends
/// at the version in force.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    now: Option<Arc<Config>>,
    /// `now` packed whole, once somebody needed it.
    whole: Option<Packed>,
    steps: VecDeque<Step>,
    /// Keys of the version in force.
    keys: KeyIndex,
    /// Its routes.
    routes: RouteIndex,
}

impl ConfigHistory {
    /// The version in force.
    pub fn current(&self) -> Option<&Arc<Config>> {
        self.now.as_ref()
    }

    /// Its workspaces by their keys.
    pub fn keys(&self) -> &KeyIndex {
        &self.keys
    }

    /// Its routes by host name and prefix.
    pub fn routes(&self) -> &RouteIndex {
        &self.routes
    }

    /// Its number; 0 where none is known.
    pub fn number(&self) -> u64 {
        self.now.as_ref().map_or(0, |config| config.version)
    }

    /// Takes a whole version in; tells whether it is newer. An older one never replaces a newer one.
    pub fn replace_if_newer(&mut self, config: &Arc<Config>) -> bool {
        if config.version <= self.number() {
            return false;
        }
        let step = self.now.as_ref().and_then(|now| step(now, config));
        self.advance(Arc::clone(config), step);
        true
    }

    /// Takes in what another host tells.
    ///
    /// # Errors
    ///
    /// When it cannot be read, or does not fit the version in force. What was taken in before that stays.
    pub fn apply_update(&mut self, news: &ConfigUpdate) -> Result<(), ConfigUpdateError> {
        match news {
            ConfigUpdate::Whole(packed) => {
                self.replace_if_newer(&Arc::new(packed.unpack()?));
                Ok(())
            }
            ConfigUpdate::Steps(steps) => {
                steps.iter().try_for_each(|packed| self.apply_patch(packed))
            }
        }
    }

    /// What a host that holds version `held` is to be told, if anything.
    ///
    /// # Errors
    ///
    /// When the version in force cannot be packed.
    pub fn update_since(&mut self, held: u64) -> Result<Option<ConfigUpdate>, PackError> {
        let Some(now) = self.now.as_ref().filter(|now| now.version > held) else {
            return Ok(None);
        };
        if let Some(first) = self.steps.iter().position(|step| step.from == held) {
            let steps = self.steps.iter().skip(first);
            return Ok(Some(ConfigUpdate::Steps(
                steps.map(|step| step.packed.clone()).collect(),
            )));
        }
        let whole = match self.whole.take() {
            Some(whole) => whole,
            None => Packed::pack(&**now)?,
        };
        Ok(Some(ConfigUpdate::Whole(self.whole.insert(whole).clone())))
    }

    /// Goes one step on, unless it was gone before.
    fn apply_patch(&mut self, packed: &Packed) -> Result<(), ConfigUpdateError> {
        let patch: Patch = packed.unpack()?;
        if patch.to <= self.number() {
            return Ok(());
        }
        let misfit = VersionMismatch {
            from: patch.from,
            held: self.number(),
        };
        let config = patch.apply(self.now.as_ref().ok_or(misfit)?)?;
        let step = Step {
            from: patch.from,
            packed: packed.clone(),
        };
        self.advance(Arc::new(config), Some(step));
        Ok(())
    }

    fn advance(&mut self, config: Arc<Config>, step: Option<Step>) {
        match step {
            Some(step) => self.steps.push_back(step),
            None => self.steps.clear(),
        }
        if self.steps.len() > KEPT {
            self.steps.pop_front();
        }
        self.whole = None;
        let same = |now: &Arc<Config>| now.workspaces == config.workspaces;
        if !self.now.as_ref().is_some_and(same) {
            self.keys = KeyIndex::open(&config.workspaces);
            crate::trace::workspaces(&config, &self.keys);
        }
        self.routes = RouteIndex::open(&config.routes);
        self.now = Some(config);
    }
}

/// The packed way between two versions. Where there is none, hosts are told the whole version.
fn step(old: &Config, new: &Config) -> Option<Step> {
    let patch = Patch::between(old, new)?;
    match Packed::pack(&patch) {
        Ok(packed) => Some(Step {
            from: old.version,
            packed,
        }),
        Err(e) => {
            log::error!(target: "belief", event = "unpacked", from = old.version, to = new.version, error:% = e; "other hosts are told the whole version");
            None
        }
    }
}
