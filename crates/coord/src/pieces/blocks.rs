//! Blocks of client addresses, stored in seven bytes each.

use std::{collections::BTreeMap, net::Ipv4Addr, sync::Arc};

use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

use super::shards::shards;

/// Maximum number of blocks in a shard: 1.8 KB, so that a changed block fits 4 KB with its index
/// pieces.
pub const MAX_SHARD_BLOCKS: usize = 256;
/// Bytes of one block: address, prefix length, index of the region.
const ROW_BYTES: usize = 7;

/// One shard of client blocks.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct Blocks {
    /// Regions that the rows refer to by index, sorted.
    pub regions: Vec<Arc<str>>,
    /// Blocks of IPv4 addresses in canonical form, seven bytes each.
    pub rows: Vec<u8>,
    /// All other blocks, as text.
    pub texts: BTreeMap<Arc<str>, Arc<str>>,
}

/// Splits blocks into named shards by their leading address bits.
pub(super) fn split_blocks(blocks: &BTreeMap<Arc<str>, Arc<str>>) -> Vec<(Arc<str>, Blocks)> {
    let mut ipv4 = Vec::new();
    let mut other = Vec::new();
    for (block, region) in blocks {
        match parse(block) {
            Some((address, length)) => {
                let key = u64::from(u32::from(address)) << 32;
                ipv4.push((key, (address, length, region)));
            }
            None => other.push((rapidhash_v3(block.as_bytes()), (block, region))),
        }
    }
    let mut out = Vec::new();
    for shard in shards(ipv4, MAX_SHARD_BLOCKS) {
        let name = format!("blocks/v4/{:08x}/{}", shard.prefix >> 32, shard.bits);
        out.push((name.into(), pack(&shard.entries)));
    }
    for shard in shards(other, MAX_SHARD_BLOCKS) {
        let name = format!("blocks/other/{:016x}/{}", shard.prefix, shard.bits);
        let texts = shard.entries.into_iter();
        let texts = texts.map(|(block, region)| (block.clone(), region.clone()));
        out.push((
            name.into(),
            Blocks {
                texts: texts.collect(),
                ..Default::default()
            },
        ));
    }
    out
}

impl Blocks {
    /// Returns all blocks; `None` if the rows are corrupt.
    pub fn unpack(&self) -> Option<BTreeMap<Arc<str>, Arc<str>>> {
        let mut out = self.texts.clone();
        for row in self.rows.chunks(ROW_BYTES) {
            let row: [u8; ROW_BYTES] = row.try_into().ok()?;
            let address = Ipv4Addr::new(row[0], row[1], row[2], row[3]);
            let region = self
                .regions
                .get(usize::from(u16::from_be_bytes([row[5], row[6]])))?;
            out.insert(format!("{address}/{}", row[4]).into(), region.clone());
        }
        Some(out)
    }
}

fn pack(entries: &[(Ipv4Addr, u8, &Arc<str>)]) -> Blocks {
    let mut regions: Vec<Arc<str>> = entries
        .iter()
        .map(|(.., region)| (*region).clone())
        .collect();
    regions.sort();
    regions.dedup();
    let mut rows = Vec::with_capacity(entries.len() * ROW_BYTES);
    for (address, length, region) in entries {
        // A shard contains at most 256 distinct addresses times 33 lengths, so the index fits.
        let index = regions.binary_search(region).unwrap_or_default() as u16;
        rows.extend_from_slice(&address.octets());
        rows.push(*length);
        rows.extend_from_slice(&index.to_be_bytes());
    }
    Blocks {
        regions,
        rows,
        texts: BTreeMap::new(),
    }
}

/// Parses a block if its text is exactly what [`Blocks::unpack`] would write; all others are stored
/// as text.
fn parse(block: &str) -> Option<(Ipv4Addr, u8)> {
    let (address, length) = block.split_once('/')?;
    let canonical = length.len() <= 2 && (length == "0" || !length.starts_with(['0', '+']));
    let length = length
        .parse()
        .ok()
        .filter(|length| *length <= 32 && canonical)?;
    Some((address.parse().ok()?, length))
}
