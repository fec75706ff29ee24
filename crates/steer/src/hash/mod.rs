//! Hashes that are equal on every host and in every build.
//!
//! Hosts agree on a choice without a word between them because they hash alike; the standard
//! library's hasher promises no such thing.

/// Hashes a text (FNV-1a, finished by [`mix64`]).
pub fn hash_str(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    mix64(text.bytes().fold(OFFSET, step))
}

/// Spreads a number over all 64 bits (the finisher of `SplitMix64`).
pub fn mix64(mut n: u64) -> u64 {
    n = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

/// A number above 0 and below 1 from the upper bits of a hash.
pub fn to_unit_f64(hash: u64) -> f64 {
    const SCALE: f64 = 1.0 / (1_u64 << 53) as f64;
    ((hash >> 11) as f64 + 0.5) * SCALE
}

/// How strongly a candidate stands for a value, given its weight; the least score wins.
///
/// The least score wins. Weighted rendezvous: a candidate wins in proportion to its weight, and
/// where one weight grows, values change their winner only to that candidate.
pub fn score(candidate: u64, value: u64, weight: f64) -> f64 {
    -to_unit_f64(mix64(candidate ^ mix64(value))).ln() / weight
}
