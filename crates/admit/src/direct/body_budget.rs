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

/// Fraction of the memory that responses may take, beside the bodies of requests.
const RESPONSE_FRACTION: f64 = 0.2;

/// Fraction of the limit from which on no further response should be asked for. The rest is for those
/// that are on their way: one that finds no room is lost, although its request has run.
const PRESSED_FRACTION: f64 = 0.6;

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

    /// Opens an unused budget for the responses that a process with `memory` bytes holds.
    pub fn for_responses(memory: u64) -> BodyBudget {
        BodyBudget {
            max: (memory as f64 * RESPONSE_FRACTION) as u64,
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

    /// Reserves more bytes for a body that has `held` so far; returns false if they exceed the limit.
    /// A body that is alone always fits.
    pub fn try_grow(&mut self, held: u64, bytes: u64) -> bool {
        if self.used > held && self.used + bytes > self.max {
            return false;
        }
        self.used += bytes;
        true
    }

    /// Returns whether so much is reserved that no further response should be asked for.
    pub fn is_pressed(&self) -> bool {
        self.used as f64 > self.max as f64 * PRESSED_FRACTION
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
