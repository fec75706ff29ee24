//! Values as they travel between hosts: encoded and compressed once, passed on as they are.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Largest value that is unpacked, in bytes: twenty times a configuration of 4,200 routes. A broken message
/// must not take a host's memory.
const MOST: u64 = 16 << 20;

/// A packed value. Clones share its bytes.
///
/// Routes repeat the names of their fields, hosts and services: 1,400 of them take 32 KB packed instead of
/// 278 KB, a link of 10 Mbit/s carries that to eight hosts in 0.2 s instead of 1.8 s, and compressing costs
/// 0.65 ms of a core beside 0.34 ms for encoding (`cargo bench -p dunlinrock-edge --bench configuration`).
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct Packed(Bytes);

/// Why a value cannot be packed or unpacked.
#[derive(Debug, thiserror::Error)]
pub enum PackError {
    /// It cannot be encoded.
    #[error("cannot be encoded: {0}")]
    Unsent(#[from] rmp_serde::encode::Error),
    /// It cannot be decoded.
    #[error("unreadable: {0}")]
    Unreadable(#[from] rmp_serde::decode::Error),
    /// Its compression is broken.
    #[error("cannot be unpacked: {0}")]
    Broken(#[from] io::Error),
}

impl Packed {
    /// Packs a value.
    ///
    /// # Errors
    ///
    /// When it cannot be encoded.
    pub fn pack<T: Serialize>(value: &T) -> Result<Packed, PackError> {
        let plain = rmp_serde::to_vec_named(value)?;
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&plain)?;
        Ok(Packed(encoder.finish()?.into()))
    }

    /// The value.
    ///
    /// # Errors
    ///
    /// When it is broken or larger than a host takes.
    pub fn unpack<T: DeserializeOwned>(&self) -> Result<T, PackError> {
        let mut plain = Vec::new();
        DeflateDecoder::new(&*self.0)
            .take(MOST)
            .read_to_end(&mut plain)?;
        Ok(rmp_serde::from_slice(&plain)?)
    }

    /// Its size, in bytes.
    pub fn size(&self) -> usize {
        self.0.len()
    }
}
