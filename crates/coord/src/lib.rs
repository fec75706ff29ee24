//! Coordination parts without I/O: configuration spread, membership, leases.
//!
//! Each part is a plain struct: an input and a time come in, typed actions come out, and the caller
//! performs them. A time is a `Duration` since an origin of the caller's choice, on a monotonic
//! clock. Each part can be used without the rest:
//!
//! * [`pieces`]: a configuration as immutable pieces under the hashes of their content;
//! * [`root`]: the one value that is moved by compare-and-swap, applies and sweeps over it;
//! * [`follow`]: a host's copy of the configuration, which never goes back;
//! * [`relay`]: which hosts watch the store, and how a change spreads from them;
//! * [`member`]: who is there, corrected by heartbeats, and words that reach all hosts;
//! * [`rendezvous`]: a choice of hosts for a key that all hosts make alike;
//! * [`lease`]: a lease of the store with a fencing token;
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
