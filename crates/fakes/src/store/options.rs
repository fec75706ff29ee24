//! Options and kinds of outage of a store.

/// Options of a store.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// Permitted writes, deletions and lease calls per second.
    pub writes: f64,
    /// Permitted reads, watches and listings per second.
    pub reads: f64,
    /// Permitted burst of calls on top of either rate.
    pub burst: f64,
    /// Maximum size of a value, in bytes.
    pub value_bytes: usize,
    /// Maximum number of connections served at once.
    pub connections: usize,
}

impl Default for StoreOptions {
    /// 400 writes and 2000 reads per second, and values of up to a megabyte.
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

/// Kind of an outage of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// New connections are refused and existing ones are closed.
    Refuse,
    /// Connections are accepted, and closed without a response on their first request.
    Close,
    /// Each request is answered with status 503.
    Unavailable,
}
