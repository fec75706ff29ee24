//! Packed values for messages between hosts: encoded and compressed once, then passed on unchanged.

use std::io::{Read, Write};

use bytes::Bytes;
use dunlinrock_node::wire::{CodecError, pack, unpack};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Maximum size of an unpacked value, in bytes: a broken message must not exhaust a host's memory.
const MAX_UNPACKED_BYTES: u64 = 16 << 20;

/// A packed value. Clones share its bytes.
///
/// Routes repeat the names of their fields, hosts and services; packed, a version reaches eight
/// hosts over a narrow link in a fraction of a second.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct Packed(Bytes);

impl Packed {
    /// Packs a value.
    ///
    /// # Errors
    ///
    /// When it cannot be encoded.
    pub fn pack<T: Serialize>(value: &T) -> Result<Packed, CodecError> {
        let plain = pack(value)?;
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&plain)?;
        Ok(Packed(encoder.finish()?.into()))
    }

    /// Unpacks the value.
    ///
    /// # Errors
    ///
    /// When it is broken or too large.
    pub fn unpack<T: DeserializeOwned>(&self) -> Result<T, CodecError> {
        let mut plain = Vec::new();
        DeflateDecoder::new(&*self.0)
            .take(MAX_UNPACKED_BYTES)
            .read_to_end(&mut plain)?;
        unpack(&plain)
    }

    /// Returns the packed size in bytes.
    pub fn size(&self) -> usize {
        self.0.len()
    }
}
