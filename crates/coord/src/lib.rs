//! Coordination of hosts without I/O: configuration distribution, membership and leases.
//!
//! Each module is a sans-I/O state machine: the caller passes an input with the current time and
//! performs the typed actions that are returned. A time is a `Duration` since an origin of the
//! caller's choice, on a monotonic clock. The modules can be used independently:
//!
//! * [`pieces`]: a configuration as content-addressed, immutable pieces;
//! * [`root`]: the one mutable value of the store, replaced by compare-and-swap; applies and
//!   garbage collection;
//! * [`follow`]: a host's snapshot of the configuration, which never goes back to an older
//!   revision;
//! * [`relay`]: which hosts watch the store, and the tree that distributes a change from them;
//! * [`member`]: the hosts and their states, by heartbeats, and rumors that reach all hosts;
//! * [`rendezvous`]: rendezvous hashing, so that all hosts choose the same hosts for a key;
//! * [`lease`]: a lease in the store with a fencing token;
//! * [`wire`]: encoding of messages.
//!
//! ```
//! use dunlinrock_coord::rendezvous;
//!
//! let hosts = ["h1", "h2", "h3"];
//! let owner = rendezvous::choose("catalogue", hosts.iter().copied(), 1);
//! assert_eq!(owner, rendezvous::choose("catalogue", hosts.iter().rev().copied(), 1));
//! ```

pub mod follow;
pub mod lease;
pub mod member;
pub mod pieces;
pub mod relay;
pub mod rendezvous;
pub mod root;
pub mod wire;

pub use dunlinrock_once as once;
