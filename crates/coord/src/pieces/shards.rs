//! Splits entries into shards of bounded size by the leading bits of a key.

/// Entries whose keys start with the same bits.
#[derive(Clone, Debug, PartialEq)]
pub struct Shard<T> {
    /// Leading bits of all keys of the shard; the other bits are zero.
    pub prefix: u64,
    /// Number of leading bits, 0 to 64.
    pub bits: u32,
    /// The entries, ordered by key.
    pub entries: Vec<T>,
}

/// Splits entries so that no shard has more than `max`, unless their keys are equal.
///
/// The result depends on the entries alone, and one more entry changes one shard or splits it in
/// two. A fixed number of shards would have to move everything when it grows.
pub fn shards<T>(mut entries: Vec<(u64, T)>, max: usize) -> Vec<Shard<T>> {
    entries.sort_by_key(|(key, _)| *key);
    let mut out = Vec::new();
    split(entries, 0, max, &mut out);
    out
}

fn split<T>(mut entries: Vec<(u64, T)>, bits: u32, max: usize, out: &mut Vec<Shard<T>>) {
    let Some(&(first, _)) = entries.first() else {
        return;
    };
    if entries.len() <= max || bits == u64::BITS {
        out.push(Shard {
            prefix: leading_bits(first, bits),
            bits,
            entries: entries.into_iter().map(|(_, entry)| entry).collect(),
        });
        return;
    }
    let top = 1 << (u64::BITS - 1 - bits);
    let middle = entries.partition_point(|(key, _)| key & top == 0);
    let upper = entries.split_off(middle);
    split(entries, bits + 1, max, out);
    split(upper, bits + 1, max, out);
}

fn leading_bits(key: u64, bits: u32) -> u64 {
    if bits == 0 {
        0
    } else {
        key & (u64::MAX << (u64::BITS - bits))
    }
}
