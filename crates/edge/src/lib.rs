//! One entry host that sends straight to targets.
//!
//! Where a platform has a store that announces targets and hosts, no host owns a target's slots:
//! each chooses by itself, and the choices agree because all hash alike. A [`Host`](host::Host)
//! follows the store ([`control`]), keeps what it believes ([`replica`]), and serves callers
//! ([`front`], [`lookup`]). An adapter gives it the platform's [`Feed`](model::Feed) and
//! [`Dialect`](model::Dialect).
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
//! assert_eq!(settings::parse(text).unwrap().live.grace.as_millis(), 2500);
//!
//! // Every mistake is told at once.
//! let wrong = text.replace("2.5s", "soon").replace("127.0.0.1:9", "the store");
//! let error = settings::parse(&wrong).unwrap_err().to_string();
//! assert!(error.contains("bounds.grace") && error.contains("store.address"));
//! ```

pub mod control;
pub mod front;
pub mod host;
pub mod limits;
pub mod lookup;
pub mod meters;
pub mod model;
pub mod replica;
pub mod settings;
pub mod trace;
