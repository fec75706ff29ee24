//! One entry host: duties on threads of their own, rings between them, HTTP around them.
//!
//! ```
//! use dunlinrock_node::Host;
//! use dunlinrock_schema::settings::Settings;
//!
//! // Port 0 takes a free one. Nobody serves at the store's and the list's addresses here.
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
//! // It answers, and is not ready before it holds a configuration.
//! assert_ne!(host.callers_addr().port(), 0);
//! assert!(!host.is_ready());
//! ```
//!
//! A [`Host`] performs what `dunlinrock-decide` and `dunlinrock-coord` decide. [`duties`] says which
//! thread does what, [`view`] what a host holds to be true, [`run`] how a request is run, [`dump`]
//! and [`metrics`] what can be seen of it.

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
