//! Memory budget for buffered request and response bodies.
//!
//! Large uploads may arrive in a burst. Bodies and responses are buffered completely, since a
//! request may be retried and a response is only passed on once it is complete. Without a limit, a
//! few hundred uploads at a time take all of the memory, and the process is killed with everything
//! that it serves.

/// Fraction of the memory that bodies may take. The rest is for connections, some 10 KB each, for
/// the libraries' buffers, which hold a second copy of a body while it is read or written, and for
/// the host's replica of the store.
const MEMORY_FRACTION: f64 = 0.3;

/// Bytes of buffered bodies, with their limit.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    max: u64,
    used: u64,
}

impl BodyBudget {
    /// Opens an unused budget for a process with `memory` bytes.
    pub fn open(memory: u64) -> BodyBudget {
        BodyBudget {
            max: (memory as f64 * MEMORY_FRACTION) as u64,
            used: 0,
        }
    }

    /// Reserves bytes for a body; returns false if they exceed the limit. A single body always
    /// fits: it would otherwise be refused each time it is sent.
    pub fn try_reserve(&mut self, bytes: u64) -> bool {
        if self.used > 0 && self.used + bytes > self.max {
            return false;
        }
        self.used += bytes;
        true
    }

    /// Releases reserved bytes.
    pub fn release(&mut self, bytes: u64) {
        self.used = self.used.saturating_sub(bytes);
    }

    /// Returns the reserved bytes.
    pub fn used(&self) -> u64 {
        self.used
    }
}
