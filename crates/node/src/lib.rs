//! One entry host: a few worker threads, bounded channels between them, and HTTP servers around
//! them.
//!
//! ```
//! use dunlinrock_node::Host;
//! use dunlinrock_schema::settings::Settings;
//!
//! // Port 0 binds a free port. Nothing listens at the addresses of the store and the list here.
//! let settings: Settings = serde_json::from_str(
//!     r#"{
//!         "name": "cluj-1", "region": "cluj", "domain": "cluj-a",
//!         "callers": "127.0.0.1:0", "peers": "127.0.0.1:0",
//!         "store": { "address": "127.0.0.1:9" }, "list": { "address": "127.0.0.1:9" }
//!     }"#,
//! )
//! .unwrap();
//! let host = Host::spawn(settings).unwrap();
//!
//! // The host listens, and is not ready before it has a configuration.
//! assert_ne!(host.callers_addr().port(), 0);
//! assert!(!host.is_ready());
//! ```
//!
//! A [`Host`] does the I/O for the decisions of `dunlinrock-decide` and `dunlinrock-coord`.
//! [`duties`] has the worker threads, [`view`] the host's current knowledge of the cluster, [`run`]
//! the way of a request to a target, [`dump`] and [`metrics`] what operators can observe.

pub mod call;
pub mod clock;
pub mod dump;
pub mod duties;
pub mod host;
pub mod metrics;
pub mod operate;
pub mod ring;
pub mod run;
pub mod serve;
pub mod shared;
pub mod store;
pub mod traffic;
pub mod view;
pub mod wire;

pub use host::Host;
