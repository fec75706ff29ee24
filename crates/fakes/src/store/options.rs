//! Rules and faults of a store.

/// Limits of a store.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// Writes, deletions and calls on leases let through in a second.
    pub writes: f64,
    /// Reads, watches and listings let through in a second.
    pub reads: f64,
    /// Calls let through at once on top of either rate.
    pub burst: f64,
    /// Largest value, in bytes.
    pub value_bytes: usize,
    /// Connections served at once.
    pub connections: usize,
}

impl Default for StoreOptions {
    /// Several hundred writes and two thousand reads a second, a megabyte a value.
    fn default() -> Self {
        Self {
            writes: 400.0,
            reads: 2000.0,
            burst: 200.0,
            value_bytes: 1 << 20,
            connections: 4096,
        }
    }
}

/// How a store is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// Connections are refused; those there are, are cut.
    Refuse,
    /// Connections are accepted, and closed on the first request without an answer.
    Close,
    /// Each request is answered with status 503.
    Unavailable,
}
