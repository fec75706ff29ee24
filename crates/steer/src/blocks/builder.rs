//! Builds the lookup table from CIDR blocks of client addresses to names.

use std::{collections::BTreeMap, sync::Arc};

use ipnet::IpNet;
use thiserror::Error;

use super::{Blocks, NO_NAME, NameIndex, table::Table};

/// Error: the blocks have more distinct names than a table can index.
#[derive(Debug, Error)]
#[error(
    "more than {} names of regions or sites; a table of blocks cannot hold more",
    NO_NAME
)]
pub struct TooManyNames;

/// Builder of a [`Blocks`] table; blocks can be added a few at a time.
#[derive(Debug)]
pub struct BlocksBuilder {
    names: Vec<Arc<str>>,
    indices: BTreeMap<Arc<str>, NameIndex>,
    v4: BTreeMap<(u32, u8), NameIndex>,
    v6: BTreeMap<(u128, u8), NameIndex>,
}

impl BlocksBuilder {
    pub(super) fn open() -> Self {
        Self {
            names: Vec::new(),
            indices: BTreeMap::new(),
            v4: BTreeMap::new(),
            v6: BTreeMap::new(),
        }
    }

    /// Adds a CIDR block with its name, or replaces the name if the block was added before.
    ///
    /// # Errors
    ///
    /// Returns [`TooManyNames`] if the table cannot hold another name.
    pub fn add(&mut self, net: IpNet, name: &Arc<str>) -> Result<(), TooManyNames> {
        let index = self.index_of(name)?;
        match net.trunc() {
            IpNet::V4(net) => self
                .v4
                .insert((net.network().to_bits(), net.prefix_len()), index),
            IpNet::V6(net) => self
                .v6
                .insert((net.network().to_bits(), net.prefix_len()), index),
        };
        Ok(())
    }

    fn index_of(&mut self, name: &Arc<str>) -> Result<NameIndex, TooManyNames> {
        if let Some(index) = self.indices.get(name) {
            return Ok(*index);
        }
        let index = NameIndex::try_from(self.names.len()).map_err(|_| TooManyNames)?;
        if index == NO_NAME {
            return Err(TooManyNames);
        }
        self.names.push(name.clone());
        self.indices.insert(name.clone(), index);
        Ok(index)
    }

    /// Builds the table.
    pub fn finish(self) -> Blocks {
        let count = self.v4.len() + self.v6.len();
        let v4 = self.v4.into_iter().map(|((start, prefix), index)| {
            let hostmask = u32::MAX.checked_shr(u32::from(prefix)).unwrap_or(0);
            (start, start | hostmask, index)
        });
        let v6 = self.v6.into_iter().map(|((start, prefix), index)| {
            let hostmask = u128::MAX.checked_shr(u32::from(prefix)).unwrap_or(0);
            (start, start | hostmask, index)
        });
        Blocks {
            v4: Table::open(flatten(v4, |last| last.checked_add(1))),
            v6: Table::open(flatten(v6, |last| last.checked_add(1))),
            names: self.names,
            count,
        }
    }
}

/// Flattens nested blocks, sorted with the outer before the inner, into consecutive ranges, each
/// given by its first address and the name of the innermost block that covers it.
fn flatten<A: Copy + Ord>(
    blocks: impl Iterator<Item = (A, A, NameIndex)>,
    successor: impl Fn(A) -> Option<A>,
) -> Vec<(A, NameIndex)> {
    let mut ranges = Vec::new();
    // Blocks that cover the current address, the outermost first, each with its last address.
    let mut open: Vec<(A, NameIndex)> = Vec::new();
    for (start, last, index) in blocks {
        close_blocks(&mut open, &mut ranges, |end| end < start, &successor);
        ranges.push((start, index));
        open.push((last, index));
    }
    close_blocks(&mut open, &mut ranges, |_| true, &successor);
    ranges
}

/// Removes the innermost blocks that have ended from `open`, and starts a range of the enclosing
/// block after each.
fn close_blocks<A: Copy + Ord>(
    open: &mut Vec<(A, NameIndex)>,
    ranges: &mut Vec<(A, NameIndex)>,
    ended: impl Fn(A) -> bool,
    successor: impl Fn(A) -> Option<A>,
) {
    while let Some((last, _)) = open.pop_if(|(last, _)| ended(*last)) {
        let enclosing = open.last().map_or(NO_NAME, |(_, index)| *index);
        if let Some(next) = successor(last) {
            ranges.push((next, enclosing));
        }
    }
}
