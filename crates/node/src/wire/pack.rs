//! Bodies between hosts: `MessagePack` with field names, so that a newer host may add a field.

use serde::{Serialize, de::DeserializeOwned};

/// A body could not be written or read.
#[derive(Debug, thiserror::Error)]
pub enum PackError {
    /// A message could not be encoded.
    #[error("encoding a message for another host: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// A body is not the message that its path promises.
    #[error("decoding a message from another host: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

/// Encodes a message.
pub fn pack<T: Serialize>(message: &T) -> Result<Vec<u8>, PackError> {
    Ok(rmp_serde::to_vec_named(message)?)
}

/// Decodes a message.
pub fn unpack<T: DeserializeOwned>(body: &[u8]) -> Result<T, PackError> {
    Ok(rmp_serde::from_slice(body)?)
}
