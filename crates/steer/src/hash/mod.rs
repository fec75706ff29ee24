//! Hash functions with the same results on every host and in every build.
//!
//! Hosts make the same choice without coordination because they compute the same hashes; the hasher
//! of the standard library does not guarantee that.

use rapidhash::v3::rapidhash_v3;

/// Hashes several parts. The length of each part is hashed too, so that `ab`, `c` and `a`, `bc`
/// differ.
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut bytes = Vec::with_capacity(parts.iter().map(|part| part.len() + 8).sum());
    for part in parts {
        bytes.extend_from_slice(&(part.len() as u64).to_be_bytes());
        bytes.extend_from_slice(part);
    }
    hash_bytes(&bytes)
}

/// Hashes bytes.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    rapidhash_v3(bytes)
}

/// Hashes a string (FNV-1a, finished by [`mix64`]).
pub fn hash_str(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    mix64(text.bytes().fold(OFFSET, step))
}

/// Mixes a number over all 64 bits (the finalizer of `SplitMix64`).
pub fn mix64(mut n: u64) -> u64 {
    n = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

/// Maps the upper bits of a hash to a number above 0 and below 1.
pub fn to_unit_f64(hash: u64) -> f64 {
    const SCALE: f64 = 1.0 / (1_u64 << 53) as f64;
    ((hash >> 11) as f64 + 0.5) * SCALE
}

/// Returns the weighted rendezvous score of a candidate for a value; the lowest score wins.
///
/// Each candidate wins in proportion to its weight. If one weight grows, values change their winner
/// only to that candidate.
pub fn score(candidate: u64, value: u64, weight: f64) -> f64 {
    -to_unit_f64(mix64(candidate ^ mix64(value))).ln() / weight
}
