//! Virtual clocks of callers or keys in a table of fixed size.

/// Rows of the table. A light caller is mistaken for a heavy one only if it collides in all rows:
/// with ten heavy callers among 256 cells that is (10/256)^4, about one in 430,000.
const ROWS: usize = 4;

/// Cells in a row; a power of two. Both sketches of a queue take 16 KB.
const CELLS: usize = 256;

/// Clocks by hash; a read returns the minimum of the id's cells.
///
/// Invariant: a read is never below the clock that was last raised for the same id, except after a
/// raise of an id that shares all its cells was undone.
#[derive(Clone, Debug)]
pub(crate) struct Sketch {
    seed: u64,
    cells: Vec<u64>,
}

impl Sketch {
    pub(crate) fn open(seed: u64) -> Self {
        Self {
            seed,
            cells: vec![0; ROWS * CELLS],
        }
    }

    /// Returns the clock of an id, or a later one if other ids share its cells.
    pub(crate) fn read(&self, id: u64) -> u64 {
        self.cells_of(id)
            .map(|i| self.cells[i])
            .into_iter()
            .min()
            .unwrap_or(0)
    }

    /// Advances the clock of an id to `to`.
    pub(crate) fn raise(&mut self, id: u64, to: u64) {
        for i in self.cells_of(id) {
            self.cells[i] = self.cells[i].max(to);
        }
    }

    /// Undoes the last raise of an id, unless its cells have been raised since.
    pub(crate) fn lower(&mut self, id: u64, from: u64, to: u64) {
        for i in self.cells_of(id) {
            if self.cells[i] == from {
                self.cells[i] = to;
            }
        }
    }

    /// Changes the hash seed, so that two ids that collide do not collide permanently. Only valid
    /// while no clock is ahead of the pool's, that is, while nothing is queued.
    pub(crate) fn reseed(&mut self) {
        self.seed = self.seed.wrapping_add(1);
    }

    fn cells_of(&self, id: u64) -> [usize; ROWS] {
        let hash = mix(id ^ self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        std::array::from_fn(|row| row * CELLS + (hash >> (16 * row)) as usize % CELLS)
    }
}

/// The finalizer of SplitMix64: each bit of the input changes half of the output bits.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
