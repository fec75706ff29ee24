//! The root: the one value in the store that is moved by compare-and-swap.
//!
//! It says which configuration is in force (the hash of its topmost index piece), as which
//! revision, by whose apply, and lists the applies before it. [`Apply`] moves it and finds out for
//! certain what came of it; [`Sweep`] removes pieces that no kept revision reaches.
//!
//! The store must read what was last written (no stale reads), compare and swap on versions that it
//! never uses twice, and take a conditional removal.
//!
//! ```
//! use std::time::Duration;
//!
//! use dunlinrock_coord::{
//!     pieces,
//!     root::{StoreReply, Apply, StoreOp, ApplyRequest, StoreLimits, ApplyOutcome},
//! };
//! use dunlinrock_schema::config::Config;
//!
//! let intent = ApplyRequest { id: "a1".into(), by: "ana".into(), at_ms: 0, base: None };
//! let mut apply = Apply::open(intent, pieces::split(&Config::default()), StoreLimits::default());
//! let mut asks = apply.poll(Duration::ZERO);
//! while let Some(asked) = asks.pop() {
//!     // An empty store that does all it is asked.
//!     let answer = match asked.op {
//!         StoreOp::ReadRoot => StoreReply::Root(None),
//!         _ => StoreReply::Done,
//!     };
//!     asks.extend(apply.handle_reply(asked.id, answer, Duration::ZERO));
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
