//! Encoding of message bodies between hosts: `MessagePack` with field names, so that newer hosts
//! may add fields.

use std::io;

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

/// Error while a body was encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// A message could not be encoded.
    #[error("encoding a message for another host: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// A body does not contain the message type of its path.
    #[error("decoding a message from another host: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// A frame does not consist of a head and a body.
    #[error("reading a frame from another host: {0}")]
    Frame(&'static str),
    /// A value could not be compressed or decompressed.
    #[error("compressing or uncompressing a message: {0}")]
    Compression(#[from] io::Error),
}

/// Encodes a message.
pub fn pack<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    Ok(rmp_serde::to_vec_named(message)?)
}

/// Decodes a message.
pub fn unpack<T: DeserializeOwned>(body: &[u8]) -> Result<T, CodecError> {
    Ok(rmp_serde::from_slice(body)?)
}

/// Size of the length prefix of a head, in bytes.
const LENGTH_BYTES: usize = 4;

/// Encodes a head, followed by the body as raw bytes. A body encoded as a MessagePack array would
/// grow by half and be copied once more.
pub fn join_frame<T: Serialize>(head: &T, body: &[u8]) -> Result<Vec<u8>, CodecError> {
    let head = pack(head)?;
    let length =
        u32::try_from(head.len()).map_err(|_| CodecError::Frame("its head is too long"))?;
    let mut out = Vec::with_capacity(LENGTH_BYTES + head.len() + body.len());
    out.extend_from_slice(&length.to_be_bytes());
    out.extend_from_slice(&head);
    out.extend_from_slice(body);
    Ok(out)
}

/// Decodes a frame of [`join_frame`]; the returned body shares the frame's memory.
pub fn split_frame<T: DeserializeOwned>(frame: &Bytes) -> Result<(T, Bytes), CodecError> {
    let Some((length, rest)) = frame.split_first_chunk::<LENGTH_BYTES>() else {
        return Err(CodecError::Frame("it is shorter than a length"));
    };
    let length = usize::try_from(u32::from_be_bytes(*length)).unwrap_or(usize::MAX);
    let Some(head) = rest.get(..length) else {
        return Err(CodecError::Frame("it is shorter than its head"));
    };
    Ok((unpack(head)?, frame.slice(LENGTH_BYTES + length..)))
}
