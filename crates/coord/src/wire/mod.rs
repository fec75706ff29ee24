//! Encoding of messages and pieces: MessagePack, deterministic for equal values.
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

/// Encodes a message between hosts, with its fields by position.
///
/// The schema of a message has only required fields, so no field is ever omitted and each position
/// keeps its meaning; a changed message uses another path of the peer interface.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::new();
    let mut to = Serializer::new(&mut out).with_bytes(BytesMode::ForceAll);
    written(value.serialize(&mut to));
    out
}

/// Encodes a stored value, with its fields by name, so that a field can be added later.
pub fn encode_named<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::new();
    let mut to = Serializer::new(&mut out)
        .with_bytes(BytesMode::ForceAll)
        .with_struct_map();
    written(value.serialize(&mut to));
    out
}

/// Decodes the output of [`encode`] or [`encode_named`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    from_slice(bytes)
}

/// Unwraps the result: a vector accepts every write, and MessagePack can represent every value of
/// the messages, including ordered maps with string keys.
fn written(result: Result<(), rmp_serde::encode::Error>) {
    result.expect("MessagePack can represent every message");
}
