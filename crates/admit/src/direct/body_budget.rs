//! How many bytes of bodies a host holds at once.
//!
//! Load: large uploads in a burst. Bodies and answers are held whole, since a request may be sent
//! again and an answer is passed on only once it is complete. Without a bound a few hundred uploads at
//! a time take all of the memory, and the process is ended with everything that it serves.

/// Part of the memory that bodies may take. The rest is for connections, some 10 KB each, for the
/// libraries' buffers, which hold a body a second time while it is read or written, and for what the
/// host believes.
const PART: f64 = 0.3;

/// Bytes of bodies held, and how many may be.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    most: u64,
    held: u64,
}

impl BodyBudget {
    /// Opens the budget of a process with `memory` bytes, none of them taken.
    pub fn open(memory: u64) -> BodyBudget {
        BodyBudget {
            most: (memory as f64 * PART) as u64,
            held: 0,
        }
    }

    /// Takes room for a body. A single body always has room: refused, it would be refused for ever.
    pub fn try_reserve(&mut self, bytes: u64) -> bool {
        if self.held > 0 && self.held + bytes > self.most {
            return false;
        }
        self.held += bytes;
        true
    }

    /// Gives room back that was taken.
    pub fn release(&mut self, bytes: u64) {
        self.held = self.held.saturating_sub(bytes);
    }

    /// Bytes held.
    pub fn used(&self) -> u64 {
        self.held
    }
}
