//! The active configuration, built from the pieces that the follower holds.
//!
//! Client blocks are kept apart from the rest: 760,000 of them as strings in a map would take half
//! of the memory that a host may use, so they are read from their pieces directly into the lookup
//! table. A change that affects no block keeps the table.

use std::sync::Arc;

use anyhow::Context;
use dunlinrock_coord::{
    follow::{Snapshot, Update},
    pieces::{self, Leaf},
};
use dunlinrock_decide::steer::Blocks;
use dunlinrock_schema::config::Config;

/// Prefix of the names of pieces that hold client blocks.
const BLOCKS_PREFIX: &str = "blocks/";

/// The configuration that this host applies.
#[derive(Clone, Debug)]
pub(super) struct ActiveConfig {
    /// Revision; 0 before there is one.
    pub revision: u64,
    /// The configuration, without its client blocks.
    pub config: Arc<Config>,
    /// The client blocks.
    pub blocks: Arc<Blocks>,
}

impl ActiveConfig {
    pub(super) fn open() -> ActiveConfig {
        let blocks = Arc::new(Blocks::builder().finish());
        ActiveConfig {
            revision: 0,
            config: Arc::default(),
            blocks,
        }
    }

    /// Builds the configuration of `snapshot` and keeps the parts that `update` did not change.
    /// Fails without a partial result.
    pub(super) fn next(
        &self,
        update: &Update,
        snapshot: &Snapshot,
    ) -> anyhow::Result<ActiveConfig> {
        let tree = snapshot
            .tree()
            .context("the snapshot has no valid tree hash")?;
        let listed = pieces::list_tree(tree, &snapshot.pieces)?;
        let mut config = Config::default();
        let blocks_changed = self.revision == 0
            || update
                .diff
                .changed
                .keys()
                .any(|name| name.starts_with(BLOCKS_PREFIX));
        let mut builder = Blocks::builder();
        for (name, hash) in &listed.leaves {
            let block = name.starts_with(BLOCKS_PREFIX);
            if block && !blocks_changed {
                continue;
            }
            let leaf = pieces::read_leaf(*hash, &snapshot.pieces)?;
            if block {
                add_blocks(&mut builder, &leaf)?;
            } else {
                leaf.add(&mut config)?;
            }
        }
        let blocks = if blocks_changed {
            Arc::new(builder.finish())
        } else {
            Arc::clone(&self.blocks)
        };
        Ok(ActiveConfig {
            revision: update.entry.revision,
            config: Arc::new(config),
            blocks,
        })
    }
}

fn add_blocks(
    builder: &mut dunlinrock_decide::steer::BlocksBuilder,
    leaf: &Leaf,
) -> anyhow::Result<()> {
    let mut shard = Config::default();
    leaf.add(&mut shard)?;
    for (block, region) in &shard.blocks {
        let net = block
            .parse()
            .with_context(|| format!("client block {block}"))?;
        builder
            .add(net, region)
            .with_context(|| format!("client block {block}"))?;
    }
    Ok(())
}
