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
//!     root::{Answer, Apply, Ask, Intent, Pace, Verdict},
//! };
//! use dunlinrock_schema::config::Config;
//!
//! let intent = Intent { id: "a1".into(), by: "ana".into(), at_ms: 0, base: None };
//! let mut apply = Apply::open(intent, pieces::split(&Config::default()), Pace::default());
//! let mut asks = apply.poll(Duration::ZERO);
//! while let Some(asked) = asks.pop() {
//!     // An empty store that does all it is asked.
//!     let answer = match asked.ask {
//!         Ask::Root => Answer::Root(None),
//!         _ => Answer::Done,
//!     };
//!     asks.extend(apply.answer(asked.number, answer, Duration::ZERO));
//! }
//! assert_eq!(apply.verdict(), Some(&Verdict::InForce { revision: 1, later: vec![] }));
//! ```

mod apply;
mod intent;
mod record;
mod settle;
mod store;
mod sweep;
mod trace;
mod verdict;

#[doc(hidden)]
pub use self::intent::Fault;
pub use self::{
    apply::Apply,
    intent::{Intent, Pace},
    record::{PAST_ENTRIES, RECENT, bytes, find, read},
    store::{Answer, Ask, Asked, Stored, Version},
    sweep::{KEPT_REVISIONS, Sweep, Swept, kept},
    trace::{Trace, after},
    verdict::Verdict,
};
