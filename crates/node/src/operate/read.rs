//! Reads the active configuration from the store.

use anyhow::Context;
use dunlinrock_coord::{
    pieces::{self, Hash, JoinError, Pieces, TreeError},
    root::{StoreOp, StoreReply},
    wire,
};
use dunlinrock_schema::{config::Config, coord::Root};

use crate::store::{ROOT_KEY, Store, execute};

/// The active configuration with its root.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// The root.
    pub root: Root,
    /// The complete configuration.
    pub config: Config,
}

/// Reads the active configuration; returns `None` if none has been applied yet.
///
/// # Errors
///
/// Returns an error if the store does not answer or its content cannot be read.
pub async fn read(store: &Store) -> anyhow::Result<Option<ActiveConfig>> {
    let found = store.get(ROOT_KEY).await?;
    let Some(value) = found.value else {
        return Ok(None);
    };
    let root: Root = wire::decode(&value).context("the root in the store cannot be read")?;
    let config = fetch(store, &root, &mut Pieces::new()).await?;
    Ok(Some(ActiveConfig { root, config }))
}

/// Fetches the pieces of a root that `held` lacks, and joins all pieces.
async fn fetch(store: &Store, root: &Root, held: &mut Pieces) -> anyhow::Result<Config> {
    let tree = Hash::read(&root.now.tree).context("the root names no tree")?;
    loop {
        let missing = match pieces::join(tree, held) {
            Ok(config) => return Ok(config),
            Err(JoinError::Tree(TreeError::Missing(missing))) => missing,
            Err(e) => return Err(e.into()),
        };
        for hash in missing {
            match execute(store, StoreOp::ReadPiece(hash)).await {
                StoreReply::Piece(Some(bytes)) => {
                    held.insert(hash, bytes);
                }
                _ => anyhow::bail!(
                    "piece {hash} of revision {} was not read",
                    root.now.revision
                ),
            }
        }
    }
}
