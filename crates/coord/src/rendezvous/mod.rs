//! Rendezvous hashing: all hosts choose the same members for a key without coordination.
//!
//! Highest random weight: each member has a score for the key, and those with the highest scores
//! are chosen. A member that joins or leaves moves only the keys that it wins or loses, one in N;
//! with a modulus nearly all keys would move, and every move costs a handover. While hosts disagree
//! on the members they may choose differently, and the caller must tolerate that.
//!
//! ```
//! use dunlinrock_coord::rendezvous;
//!
//! let two = rendezvous::choose("records", ["h1", "h2", "h3"], 2);
//! assert_eq!(two.len(), 2);
//! ```

use rapidhash::v3::rapidhash_v3;

/// Returns the `count` members with the highest scores for the key, highest first.
pub fn choose<T: AsRef<str> + Ord>(
    key: &str,
    members: impl IntoIterator<Item = T>,
    count: usize,
) -> Vec<T> {
    choose_weighted(key, members.into_iter().map(|name| (name, 1.0)), count)
}

/// Like [`choose`], with members chosen in proportion to their weights; a member with weight 0 is
/// never chosen.
pub fn choose_weighted<T: AsRef<str> + Ord>(
    key: &str,
    members: impl IntoIterator<Item = (T, f64)>,
    count: usize,
) -> Vec<T> {
    let mut scored: Vec<_> = members
        .into_iter()
        .filter(|(_, weight)| *weight > 0.0)
        .map(|(name, weight)| (score(key, name.as_ref(), weight), name))
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
    scored.truncate(count);
    scored.into_iter().map(|(_, name)| name).collect()
}

/// Returns all members, highest score first: the order in which they take over from each other.
pub fn rank<T: AsRef<str> + Ord>(key: &str, members: impl IntoIterator<Item = T>) -> Vec<T> {
    choose(key, members, usize::MAX)
}

/// Returns the score of a member: `-weight / ln(u)` for a uniform `u` derived from key and name.
///
/// With this form the probability of the highest score is the member's fraction of all weights.
fn score(key: &str, name: &str, weight: f64) -> f64 {
    let mut text = Vec::with_capacity(key.len() + name.len() + 1);
    text.extend_from_slice(key.as_bytes());
    // A byte that no name contains, to keep "a" + "bc" apart from "ab" + "c".
    text.push(0xff);
    text.extend_from_slice(name.as_bytes());
    // 53 bits fill the mantissa; the half avoids 0 and 1, whose logarithms are no valid scores.
    let uniform = ((rapidhash_v3(&text) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / uniform.ln()
}
