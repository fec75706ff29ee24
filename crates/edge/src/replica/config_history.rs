//! The active configuration, and patches to it from earlier versions.

use std::{collections::VecDeque, sync::Arc};

use dunlinrock_node::wire::CodecError;
use serde::{Deserialize, Serialize};

use crate::model::{Config, KeyIndex, Packed, Patch, RouteIndex, VersionMismatch};

/// Number of patches kept. A host that asks every quarter of a second is rarely more than one
/// version behind; one that was cut off while a dozen versions came in quick succession still needs
/// no full version.
const MAX_PATCHES: usize = 16;

/// Configuration update for another host.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum ConfigUpdate {
    /// Patches, each from the version that the previous one ends at.
    Steps(Vec<Packed>),
    /// The full active version.
    Whole(Packed),
}

/// Why a configuration update of another host is unusable.
#[derive(Debug, thiserror::Error)]
pub enum ConfigUpdateError {
    /// A patch is for another version than the active one.
    #[error(transparent)]
    VersionMismatch(#[from] VersionMismatch),
    /// The update cannot be unpacked.
    #[error(transparent)]
    Pack(#[from] CodecError),
}

/// A packed patch, and the version that it is for.
#[derive(Debug)]
struct PackedPatch {
    from: u64,
    packed: Packed,
}

/// The active configuration and the latest patches.
///
/// Invariants: the version never decreases; each patch is for the version that the previous one
/// ends at, and the last one ends at the active version.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    current: Option<Arc<Config>>,
    /// The full active version, packed when it is first needed.
    packed_full: Option<Packed>,
    patches: VecDeque<PackedPatch>,
    /// Keys of the active version.
    keys: KeyIndex,
    /// Routes of the active version.
    routes: RouteIndex,
}

impl ConfigHistory {
    /// Returns the active version.
    pub fn current(&self) -> Option<&Arc<Config>> {
        self.current.as_ref()
    }

    /// Returns the workspaces of the active version by their keys.
    pub fn keys(&self) -> &KeyIndex {
        &self.keys
    }

    /// Returns the routes of the active version by host name and prefix.
    pub fn routes(&self) -> &RouteIndex {
        &self.routes
    }

    /// Returns the number of the active version; 0 if none is known.
    pub fn number(&self) -> u64 {
        self.current.as_ref().map_or(0, |config| config.version)
    }

    /// Replaces the active version if the given one is newer; returns whether it is.
    pub fn replace_if_newer(&mut self, config: &Arc<Config>) -> bool {
        if config.version <= self.number() {
            return false;
        }
        let packed_patch = self
            .current
            .as_ref()
            .and_then(|current| patch_between(current, config));
        self.advance(Arc::clone(config), packed_patch);
        true
    }

    /// Applies an update of another host.
    ///
    /// # Errors
    ///
    /// When the update cannot be read or does not fit the active version. Patches that were applied
    /// before the failure stay.
    pub fn apply_update(&mut self, update: &ConfigUpdate) -> Result<(), ConfigUpdateError> {
        match update {
            ConfigUpdate::Whole(packed) => {
                self.replace_if_newer(&Arc::new(packed.unpack()?));
                Ok(())
            }
            ConfigUpdate::Steps(patches) => patches
                .iter()
                .try_for_each(|packed| self.apply_patch(packed)),
        }
    }

    /// Returns the update for a host that has version `held`, if there is a newer one.
    ///
    /// # Errors
    ///
    /// When the active version cannot be packed.
    pub fn update_since(&mut self, held: u64) -> Result<Option<ConfigUpdate>, CodecError> {
        let Some(current) = self
            .current
            .as_ref()
            .filter(|current| current.version > held)
        else {
            return Ok(None);
        };
        if let Some(first) = self
            .patches
            .iter()
            .position(|packed_patch| packed_patch.from == held)
        {
            let patches = self.patches.iter().skip(first);
            return Ok(Some(ConfigUpdate::Steps(
                patches
                    .map(|packed_patch| packed_patch.packed.clone())
                    .collect(),
            )));
        }
        let packed_full = match self.packed_full.take() {
            Some(packed_full) => packed_full,
            None => Packed::pack(&**current)?,
        };
        Ok(Some(ConfigUpdate::Whole(
            self.packed_full.insert(packed_full).clone(),
        )))
    }

    /// Applies one patch, unless its version was reached before.
    fn apply_patch(&mut self, packed: &Packed) -> Result<(), ConfigUpdateError> {
        let patch: Patch = packed.unpack()?;
        if patch.to <= self.number() {
            return Ok(());
        }
        let mismatch = VersionMismatch {
            from: patch.from,
            held: self.number(),
        };
        let config = patch.apply(self.current.as_ref().ok_or(mismatch)?)?;
        let packed_patch = PackedPatch {
            from: patch.from,
            packed: packed.clone(),
        };
        self.advance(Arc::new(config), Some(packed_patch));
        Ok(())
    }

    fn advance(&mut self, config: Arc<Config>, packed_patch: Option<PackedPatch>) {
        match packed_patch {
            Some(packed_patch) => self.patches.push_back(packed_patch),
            None => self.patches.clear(),
        }
        if self.patches.len() > MAX_PATCHES {
            self.patches.pop_front();
        }
        self.packed_full = None;
        let same = |current: &Arc<Config>| current.workspaces == config.workspaces;
        if !self.current.as_ref().is_some_and(same) {
            self.keys = KeyIndex::open(&config.workspaces);
            crate::trace::log_config_warnings(&config, &self.keys);
        }
        self.routes = RouteIndex::open(&config.routes);
        self.current = Some(config);
    }
}

/// Packs the patch between two versions. If there is none, hosts receive the full version.
fn patch_between(old: &Config, new: &Config) -> Option<PackedPatch> {
    let patch = Patch::between(old, new)?;
    match Packed::pack(&patch) {
        Ok(packed) => Some(PackedPatch {
            from: old.version,
            packed,
        }),
        Err(e) => {
            log::error!(target: "belief", event = "unpacked", from = old.version, to = new.version, error:% = e; "cannot pack the patch; other hosts receive the full version");
            None
        }
    }
}
