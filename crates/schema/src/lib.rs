//! Messages and settings of dunlinrock, as Rust types.
//!
//! The types are generated from the JSON Schema files in `schema/` and committed, so that a build
//! needs no generator. Each schema file corresponds to one module.
//!
//! ```
//! use dunlinrock_schema::config::Cap;
//!
//! let cap: Cap = serde_json::from_str(r#"{"share": 0.1, "window_ms": 60000}"#).unwrap();
//! assert_eq!(cap.window_ms, 60_000);
//! ```

mod generated;

pub use generated::{api, config, coord, edge, once, peer, settings, store};
