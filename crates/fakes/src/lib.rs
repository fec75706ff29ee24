//! Small stand-ins for the platform: its store, its list of hosts, and targets.
//!
//! Each is a running handle: it serves HTTP on a thread of its own until it is dropped, and its
//! faults are switched on and off through methods of the handle or over HTTP under `/fake/`.
//!
//! ```
//! use dunlinrock_fakes::{Store, StoreOptions};
//!
//! let store = Store::bind("127.0.0.1:0", StoreOptions::default()).unwrap();
//! store.drop_responses(1); // the next write takes effect, and its answer is lost
//! assert_eq!(store.counts().writes, 0);
//! ```
//!
//! They are written on `hyper` alone, without a router, since their faults (a connection closed
//! without an answer, a body cut short, a port that refuses) are faults of the connection.

mod host_list;
mod response;
mod serve;
mod store;
mod target;
mod token_bucket;

pub use host_list::{List, ListOptions};
pub use store::{OutageKind, Store, StoreOptions};
pub use target::{Target, TargetOptions, TargetSpec, Targets, WorkTime};
