//! Executes the store operations that the state machines of `dunlinrock_coord::root` request.

use bytes::Bytes;
use dunlinrock_coord::{
    pieces::Hash,
    root::{StoreOp, StoreReply, VersionedValue},
};

use super::{NO_VERSION, Store, StoreError, SwapResult};

/// Key of the root.
pub const ROOT_KEY: &str = "root";
/// Prefix of the keys of pieces; the hash follows.
pub const PIECE_PREFIX: &str = "pieces/";

/// Returns the key of a piece.
pub fn piece_key(hash: &Hash) -> String {
    format!("{PIECE_PREFIX}{hash}")
}

/// Executes one operation. Returns [`StoreReply::Failed`] if the store's answer leaves the effect
/// uncertain; the requesting state machine then finds out by reading.
pub async fn execute(store: &Store, op: StoreOp) -> StoreReply {
    match try_execute(store, op).await {
        Ok(answer) => answer,
        Err(e) => {
            log::debug!(error:% = e; "store operation failed");
            StoreReply::Failed
        }
    }
}

async fn try_execute(store: &Store, op: StoreOp) -> Result<StoreReply, StoreError> {
    Ok(match op {
        StoreOp::ReadRoot => {
            let found = store.get(ROOT_KEY).await?;
            let version = found.version;
            StoreReply::Root(found.value.map(|bytes| VersionedValue {
                bytes: bytes[..].into(),
                version,
            }))
        }
        StoreOp::ReadPiece(hash) => {
            let found = store.get(&piece_key(&hash)).await?;
            StoreReply::Piece(found.value.map(|bytes| bytes[..].into()))
        }
        StoreOp::WritePiece { hash, bytes } => {
            store
                .put(&piece_key(&hash), Bytes::copy_from_slice(&bytes))
                .await?;
            StoreReply::Done
        }
        StoreOp::SwapRoot { expect, bytes } => {
            let version = expect.unwrap_or(NO_VERSION);
            swap_reply(
                store
                    .compare_and_swap(ROOT_KEY, version, Bytes::copy_from_slice(&bytes))
                    .await?,
            )
        }
        StoreOp::ListPieces => {
            let keys = store.list(PIECE_PREFIX).await?;
            let pieces = keys.iter().filter_map(|(key, version)| {
                let hash = Hash::parse(key.strip_prefix(PIECE_PREFIX)?)?;
                Some((hash, *version))
            });
            StoreReply::Listed(pieces.collect())
        }
        StoreOp::RemovePiece { hash, version } => {
            swap_reply(store.delete(&piece_key(&hash), version).await?)
        }
    })
}

fn swap_reply(swap: SwapResult) -> StoreReply {
    match swap {
        SwapResult::Done(_) => StoreReply::Done,
        SwapResult::Conflict(_) => StoreReply::Conflict,
    }
}
