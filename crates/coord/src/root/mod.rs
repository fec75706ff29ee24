//! The root: the one mutable value of the store, replaced by compare-and-swap.
//!
//! It has the hash of the topmost index piece of the active configuration, its revision and the
//! apply that made it, and lists earlier applies. [`Apply`] replaces the root and determines the
//! outcome for certain; [`Sweep`] removes pieces that no retained revision refers to.
//!
//! The store must return the last written value (no stale reads), compare and swap by versions that
//! are never reused, and support conditional removal.
//!
//! ```
//! use std::time::Duration;
//!
//! use dunlinrock_coord::{
//!     pieces,
//!     root::{Apply, ApplyOutcome, ApplyRequest, PendingOp, StoreLimits, StoreOp, StoreReply},
//! };
//! use dunlinrock_schema::config::Config;
//!
//! let request = ApplyRequest { id: "a1".into(), by: "ana".into(), at_ms: 0, base: None };
//! let mut apply = Apply::open(request, pieces::split(&Config::default()), StoreLimits::default());
//! let mut pending = apply.poll(Duration::ZERO);
//! while let Some(PendingOp { id, op }) = pending.pop() {
//!     // An empty store on which every operation succeeds.
//!     let reply = match op {
//!         StoreOp::ReadRoot => StoreReply::Root(None),
//!         _ => StoreReply::Done,
//!     };
//!     pending.extend(apply.handle_reply(id, reply, Duration::ZERO));
//! }
//! assert_eq!(apply.outcome(), Some(&ApplyOutcome::Applied { revision: 1, later: vec![] }));
//! ```

mod apply;
mod history;
mod outcome;
mod record;
mod request;
mod resolve;
mod store_op;
mod sweep;

#[doc(hidden)]
pub use self::request::Fault;
pub use self::{
    apply::Apply,
    history::{History, applies_after},
    outcome::ApplyOutcome,
    record::{PAST_ENTRIES, RECENT_ENTRIES, decode, encode, find_entry},
    request::{ApplyRequest, StoreLimits},
    store_op::{PendingOp, StoreOp, StoreReply, Version, VersionedValue},
    sweep::{RETAINED_REVISIONS, Sweep, SweepOutcome, retained_trees},
};
