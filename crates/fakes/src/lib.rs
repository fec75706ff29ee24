//! Small fakes of the platform: its key-value store, its list of hosts, and targets.
//!
//! Each fake is a handle that serves HTTP on its own thread until it is dropped. Its faults are set
//! through methods of the handle or over HTTP under `/fake/`.
//!
//! ```
//! use dunlinrock_fakes::{Store, StoreOptions};
//!
//! let store = Store::bind("127.0.0.1:0", StoreOptions::default()).unwrap();
//! store.drop_responses(1); // the next write takes effect, and its response is lost
//! assert_eq!(store.counts().writes, 0);
//! ```
//!
//! The fakes use `hyper` directly, without a router, since their faults (a connection closed without
//! a response, a truncated body, a refused connection) are faults of the connection.

mod host_list;
mod response;
mod serve;
mod store;
mod target;
mod token_bucket;

pub use host_list::{List, ListOptions};
pub use store::{OutageKind, Store, StoreOptions};
pub use target::{Target, TargetOptions, TargetSpec, Targets, WorkTime};
