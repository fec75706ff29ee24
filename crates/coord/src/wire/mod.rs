//! Encoding of messages and pieces: MessagePack, the same bytes for the same value.
//!
//! ```
//! use dunlinrock_coord::wire;
//!
//! let bytes = wire::encode(&("web", 3));
//! assert_eq!(wire::decode::<(String, u32)>(&bytes).unwrap(), ("web".to_owned(), 3));
//! ```

use rmp_serde::{
    Serializer,
    config::BytesMode,
    decode::{Error, from_slice},
};
use serde::{Serialize, de::DeserializeOwned};

/// Encodes a message between hosts, its fields by position.
///
/// The schema of a message has required fields only, so that no field is ever left out and every
/// position keeps its meaning; a changed message takes another path of the peer interface.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::new();
    let mut to = Serializer::new(&mut out).with_bytes(BytesMode::ForceAll);
    written(value.serialize(&mut to));
    out
}

/// Encodes what lasts in the store, its fields by name, so that a field may be added.
pub fn encode_named<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::new();
    let mut to = Serializer::new(&mut out)
        .with_bytes(BytesMode::ForceAll)
        .with_struct_map();
    written(value.serialize(&mut to));
    out
}

/// Decodes what either of the two wrote.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    from_slice(bytes)
}

/// A vector takes every write, and ordered maps of strings have no value that MessagePack lacks.
fn written(result: Result<(), rmp_serde::encode::Error>) {
    result.expect("MessagePack holds every message");
}
