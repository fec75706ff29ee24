//! An edge host: a proxy that accepts callers' requests and sends them straight to targets.
//!
//! It is for platforms whose store lists targets and hosts. No host owns a target's slots: each
//! host selects targets by itself, and the selections agree because all hosts use the same hash. A
//! [`Host`](host::Host) follows the store ([`control`]), keeps a [`replica`] of it, and serves callers
//! ([`front`], [`lookup`]). An adapter provides the platform's [`PlatformStore`](model::PlatformStore)
//! and [`Dialect`](model::Dialect).
//!
//! ```
//! use dunlinrock_edge::settings;
//!
//! let text = r#"
//!     name = "h1"
//!     region = "north"
//!     domain = "north-1"
//!     domains = { north-1 = "north" }
//!     listen = { callers = "127.0.0.1:1", lookup = "127.0.0.1:2", peers = "127.0.0.1:3" }
//!     store = { address = "127.0.0.1:9" }
//!     bounds = { grace = "2.5s" }
//! "#;
//! assert_eq!(settings::parse(text).unwrap().reloadable.grace.as_millis(), 2500);
//!
//! // All mistakes are reported at once.
//! let wrong = text.replace("2.5s", "soon").replace("127.0.0.1:9", "the store");
//! let error = settings::parse(&wrong).unwrap_err().to_string();
//! assert!(error.contains("bounds.grace") && error.contains("store.address"));
//! ```

pub mod control;
pub mod front;
pub mod host;
pub mod limits;
pub mod links;
pub mod lookup;
pub mod meters;
pub mod model;
pub mod notices;
pub mod replica;
pub mod settings;
pub mod store;
pub mod trace;
