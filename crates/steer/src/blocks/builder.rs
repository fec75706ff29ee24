//! Builds a table of blocks.

use std::{collections::BTreeMap, sync::Arc};

use ipnet::IpNet;
use thiserror::Error;

use super::{Blocks, NOWHERE, Site, table::Table};

/// More names than a table can tell apart.
#[derive(Debug, Error)]
#[error(
    "more than {} names of regions or sites; a table cannot tell more apart",
    NOWHERE
)]
pub struct TooManyNames;

/// A table of blocks in the making; it can be filled a few blocks at a time.
#[derive(Debug)]
pub struct BlocksBuilder {
    names: Vec<Arc<str>>,
    sites: BTreeMap<Arc<str>, Site>,
    v4: BTreeMap<(u32, u8), Site>,
    v6: BTreeMap<(u128, u8), Site>,
}

impl BlocksBuilder {
    pub(super) fn open() -> Self {
        Self {
            names: Vec::new(),
            sites: BTreeMap::new(),
            v4: BTreeMap::new(),
            v6: BTreeMap::new(),
        }
    }

    /// Adds a block. One that is added again takes its last name.
    ///
    /// # Errors
    ///
    /// [`TooManyNames`] where there are too many names.
    pub fn add(&mut self, net: IpNet, name: &Arc<str>) -> Result<(), TooManyNames> {
        let site = self.site(name)?;
        match net.trunc() {
            IpNet::V4(net) => self
                .v4
                .insert((net.network().to_bits(), net.prefix_len()), site),
            IpNet::V6(net) => self
                .v6
                .insert((net.network().to_bits(), net.prefix_len()), site),
        };
        Ok(())
    }

    fn site(&mut self, name: &Arc<str>) -> Result<Site, TooManyNames> {
        if let Some(site) = self.sites.get(name) {
            return Ok(*site);
        }
        let site = Site::try_from(self.names.len()).map_err(|_| TooManyNames)?;
        if site == NOWHERE {
            return Err(TooManyNames);
        }
        self.names.push(name.clone());
        self.sites.insert(name.clone(), site);
        Ok(site)
    }

    /// Builds the table.
    pub fn finish(self) -> Blocks {
        let count = self.v4.len() + self.v6.len();
        let v4 = self.v4.into_iter().map(|((start, prefix), site)| {
            let rest = u32::MAX.checked_shr(u32::from(prefix)).unwrap_or(0);
            (start, start | rest, site)
        });
        let v6 = self.v6.into_iter().map(|((start, prefix), site)| {
            let rest = u128::MAX.checked_shr(u32::from(prefix)).unwrap_or(0);
            (start, start | rest, site)
        });
        Blocks {
            v4: Table::open(flatten(v4, |last| last.checked_add(1))),
            v6: Table::open(flatten(v6, |last| last.checked_add(1))),
            names: self.names,
            count,
        }
    }
}

/// Turns nested blocks, the outer before the inner, into ranges that follow one another.
fn flatten<A: Copy + Ord>(
    blocks: impl Iterator<Item = (A, A, Site)>,
    after: impl Fn(A) -> Option<A>,
) -> Vec<(A, Site)> {
    let mut ranges = Vec::new();
    // Blocks that cover the place at hand, the outermost first, with their last addresses.
    let mut open: Vec<(A, Site)> = Vec::new();
    for (start, last, site) in blocks {
        close(&mut open, &mut ranges, |end| end < start, &after);
        ranges.push((start, site));
        open.push((last, site));
    }
    close(&mut open, &mut ranges, |_| true, &after);
    ranges
}

/// Ends the innermost blocks while they are over; what is around them goes on.
fn close<A: Copy + Ord>(
    open: &mut Vec<(A, Site)>,
    ranges: &mut Vec<(A, Site)>,
    over: impl Fn(A) -> bool,
    after: impl Fn(A) -> Option<A>,
) {
    while let Some((last, _)) = open.pop_if(|(last, _)| over(*last)) {
        let around = open.last().map_or(NOWHERE, |(_, site)| *site);
        if let Some(next) = after(last) {
            ranges.push((next, around));
        }
    }
}
