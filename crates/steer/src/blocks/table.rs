//! Sorted ranges of addresses with an index over the first bits.

use super::{NO_NAME, NameIndex};

/// Number of address bits that the index covers: 65,536 entries, a quarter of a megabyte. With
/// 760,000 evenly spread blocks a range holds a dozen bounds, within two cache lines.
const INDEX_BITS: u32 = 16;

/// An address as a number.
pub(super) trait Address: Copy + Ord {
    /// The lowest address.
    const ZERO: Self;
    /// Returns the first [`INDEX_BITS`] bits.
    fn head(self) -> usize;
}

impl Address for u32 {
    const ZERO: Self = 0;
    fn head(self) -> usize {
        (self >> (Self::BITS - INDEX_BITS)) as usize
    }
}

impl Address for u128 {
    const ZERO: Self = 0;
    fn head(self) -> usize {
        (self >> (Self::BITS - INDEX_BITS)) as usize
    }
}

/// Ranges of addresses: each starts at its bound and ends before the next.
#[derive(Clone, Debug)]
pub(super) struct Table<A> {
    /// Ascending; the first is the lowest address, or the list is empty.
    bounds: Vec<A>,
    /// Name of each range; as long as `bounds`. Neighbours differ.
    names: Vec<NameIndex>,
    /// For each head, the number of bounds with a lower head, and one entry more for the end. Empty
    /// if there are no bounds.
    index: Vec<u32>,
}

impl<A: Address> Table<A> {
    /// Builds a table of ranges in ascending order of their starts.
    pub(super) fn open(ranges: impl IntoIterator<Item = (A, NameIndex)>) -> Self {
        let mut bounds = Vec::new();
        let mut names = Vec::new();
        for (start, name) in ranges {
            if bounds.is_empty() && start > A::ZERO {
                bounds.push(A::ZERO);
                names.push(NO_NAME);
            }
            if bounds.last() == Some(&start) {
                bounds.pop();
                names.pop();
            }
            if names.last() != Some(&name) {
                bounds.push(start);
                names.push(name);
            }
        }
        bounds.shrink_to_fit();
        names.shrink_to_fit();
        let index = index(&bounds);
        Self {
            bounds,
            names,
            index,
        }
    }

    pub(super) fn find(&self, address: A) -> NameIndex {
        let head = address.head();
        let Some([from, to]) = self.index.get(head..head + 2) else {
            return NO_NAME;
        };
        let (from, to) = (*from as usize, *to as usize);
        // The range that covers the address starts within its head, or is the last one before.
        let within = self.bounds[from..to].partition_point(|bound| *bound <= address);
        match (from + within).checked_sub(1) {
            Some(at) => self.names[at],
            None => NO_NAME,
        }
    }

    pub(super) fn bytes(&self) -> usize {
        size_of_val(&*self.bounds) + size_of_val(&*self.names) + size_of_val(&*self.index)
    }
}

fn index<A: Address>(bounds: &[A]) -> Vec<u32> {
    if bounds.is_empty() {
        return Vec::new();
    }
    let mut index = vec![0; (1 << INDEX_BITS) + 1];
    for bound in bounds {
        index[bound.head() + 1] += 1;
    }
    let mut sum = 0;
    for entry in &mut index {
        sum += *entry;
        *entry = sum;
    }
    index
}
