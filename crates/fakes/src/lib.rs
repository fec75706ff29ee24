//! Small stand-ins for the platform: its store, its list of hosts, and targets.
//!
//! Each is a running handle: it serves HTTP on a thread of its own until it is dropped, and its
//! faults are switched on and off through methods of the handle or over HTTP under `/fake/`.
//!
//! ```
//! use dunlinrock_fakes::{Store, StoreRules};
//!
//! let store = Store::bind("127.0.0.1:0", StoreRules::default()).unwrap();
//! store.lose_answers(1); // the next write takes effect, and its answer is lost
//! assert_eq!(store.counts().writes, 0);
//! ```
//!
//! They are written on `hyper` alone, without a router, since their faults (a connection closed
//! without an answer, a body cut short, a port that refuses) are faults of the connection.

mod answer;
mod bucket;
mod list;
mod serve;
mod store;
mod target;

pub use list::{List, ListRules};
pub use store::{Down, Store, StoreRules};
pub use target::{Target, TargetRules, TargetSpec, Targets, Work};
