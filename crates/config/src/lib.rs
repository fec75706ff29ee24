//! Parses and validates TOML documents: the settings of a host and an operator's configuration.
//!
//! Validation reports all findings of a document together. Each has a file, line and column, says
//! what is wrong and how to fix it.
//!
//! ```
//! use dunlinrock_config::{check, schema};
//! use dunlinrock_schema::config::Config;
//!
//! let text = "[services.catalogue]\ndeadline = 900\ncap = { share = 2.0, window_ms = 1000 }\n";
//! let findings = check::<Config>("services.toml", text, schema::CONFIG).unwrap_err();
//! assert_eq!(
//!     findings.to_string(),
//!     "services.toml:1:11: `services.catalogue` lacks the key `deadline_ms`; add `deadline_ms = \
//!      NUMBER` (Default deadline of a request, in milliseconds from its arrival; used if the \
//!      caller sets none)\n\
//!      services.toml:2:1: unknown key `deadline`; did you mean `deadline_ms`?\n\
//!      services.toml:3:17: `share` is 2.0; give a number from 0.001 to 1\n"
//! );
//! ```
//!
//! * [`check`] validates any document against a JSON Schema.
//! * [`settings::load`] reads a host's settings.
//! * [`config::load_dir`] reads an operator's configuration, the union of a directory's files.
//! * [`plan`](plan::plan) compares two configurations and returns what would change.

mod check;
pub mod config;
mod finding;
pub mod goal;
pub mod plan;
pub mod schema;
pub mod settings;
mod source;

pub use {
    check::check,
    finding::{Finding, Findings, Level, Location},
};
