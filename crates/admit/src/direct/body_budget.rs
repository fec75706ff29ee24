//! How many bytes of bodies a host holds at once.
//!
//! Load: large uploads in a burst. Bodies and answers are held whole, since a request may be sent
//! again and an answer is passed on only once it is complete. Without a bound a few hundred uploads at
//! a time take all of the memory, and the process is ended with everything that it serves.

/// Part of the memory that bodies may take. The rest is for connections, some 10 KB each, for the
/// libraries' buffers, which hold a body a second time while it is read or written, and for what the
/// host believes.
const MEMORY_FRACTION: f64 = 0.3;

/// Bytes of bodies held, and how many may be.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    max: u64,
    used: u64,
}

impl BodyBudget {
    /// Opens the budget of a process with `memory` bytes, none of them taken.
    pub fn open(memory: u64) -> BodyBudget {
        BodyBudget {
            max: (memory as f64 * MEMORY_FRACTION) as u64,
            used: 0,
        }
    }

    /// Takes room for a body. A single body always has room: refused, it would be refused for ever.
    pub fn try_reserve(&mut self, bytes: u64) -> bool {
        if self.used > 0 && self.used + bytes > self.max {
            return false;
        }
        self.used += bytes;
        true
    }

    /// Gives room back that was taken.
    pub fn release(&mut self, bytes: u64) {
        self.used = self.used.saturating_sub(bytes);
    }

    /// Bytes held.
    pub fn used(&self) -> u64 {
        self.used
    }
}
