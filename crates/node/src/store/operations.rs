//! The operations that the root's machines ask for, on the store.

use bytes::Bytes;
use dunlinrock_coord::{
    pieces::Hash,
    root::{Answer, Ask, Stored},
};

use super::{ABSENT, Store, StoreError, Swap};

/// Key of the root.
pub const ROOT_KEY: &str = "root";
/// Prefix of the keys of pieces; the hash follows.
pub const PIECE_PREFIX: &str = "pieces/";

/// Key of a piece.
pub fn piece_key(hash: &Hash) -> String {
    format!("{PIECE_PREFIX}{hash}")
}

/// Does one operation. Whatever the store did not answer for certain is [`Answer::Failed`], and
/// the machine that asked finds out by reading.
pub async fn perform(store: &Store, ask: Ask) -> Answer {
    match attempt(store, ask).await {
        Ok(answer) => answer,
        Err(e) => {
            log::debug!(error:% = e; "a store operation failed");
            Answer::Failed
        }
    }
}

async fn attempt(store: &Store, ask: Ask) -> Result<Answer, StoreError> {
    Ok(match ask {
        Ask::Root => {
            let found = store.get(ROOT_KEY).await?;
            let version = found.version;
            Answer::Root(found.value.map(|bytes| Stored {
                bytes: bytes[..].into(),
                version,
            }))
        }
        Ask::Piece(hash) => {
            let found = store.get(&piece_key(&hash)).await?;
            Answer::Piece(found.value.map(|bytes| bytes[..].into()))
        }
        Ask::Write { hash, bytes } => {
            store
                .put(&piece_key(&hash), Bytes::copy_from_slice(&bytes))
                .await?;
            Answer::Done
        }
        Ask::Move { expect, bytes } => {
            let version = expect.unwrap_or(ABSENT);
            swapped(
                store
                    .swap(ROOT_KEY, version, Bytes::copy_from_slice(&bytes))
                    .await?,
            )
        }
        Ask::List => {
            let keys = store.list(PIECE_PREFIX).await?;
            let pieces = keys.iter().filter_map(|(key, version)| {
                let hash = Hash::parse(key.strip_prefix(PIECE_PREFIX)?)?;
                Some((hash, *version))
            });
            Answer::Listed(pieces.collect())
        }
        Ask::Remove { hash, version } => swapped(store.delete(&piece_key(&hash), version).await?),
    })
}

fn swapped(swap: Swap) -> Answer {
    match swap {
        Swap::Done(_) => Answer::Done,
        Swap::Conflict(_) => Answer::Conflict,
    }
}
