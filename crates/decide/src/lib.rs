//! Load management without clock, socket or thread: admission and traffic steering.
//!
//! This crate is a facade: [`admit`] decides at one pool of targets, [`steer`] between regions.
//! Each type takes its inputs and the time, a `Duration` since an origin of the embedder's
//! choice, and returns the decision:
//!
//! ```
//! use std::{collections::BTreeMap, time::Duration};
//!
//! use dunlinrock_decide::steer::{Blocks, DesiredSplits, TrafficSplit};
//! use dunlinrock_schema::config::Config;
//!
//! let config: Config = serde_json::from_str(
//!     r#"{
//!         "regions": { "cluj": {} }, "domains": { "cluj-a": { "region": "cluj" } },
//!         "services": {
//!             "catalogue": { "deadline_ms": 900, "cap": { "share": 0.1, "window_ms": 10000 } }
//!         },
//!         "targets": { "catalogue-07": {
//!             "service": "catalogue", "domain": "cluj-a", "address": "127.0.0.1:21007", "slots": 3
//!         } },
//!         "blocks": { "10.32.0.0/13": "cluj" }
//!     }"#,
//! )
//! .unwrap();
//!
//! // Returns the region of a caller by its address.
//! let blocks = Blocks::open(&config);
//! assert_eq!(blocks.find("10.32.0.1".parse().unwrap()).map(|r| &**r), Some("cluj"));
//!
//! // If no peer knows the current split, a host starts from the desired one.
//! let goals = DesiredSplits::open(&config, &Default::default());
//! let mut shares = TrafficSplit::open();
//! assert!(!shares.ready());
//! shares.update_peers(&[]);
//! shares.advance(&goals, &Default::default(), Duration::ZERO);
//! assert!(shares.ready());
//! ```
//!
//! `docs/decisions/` describes the problem that each decision handles, what goes wrong without it,
//! and why its thresholds are as they are.

pub use dunlinrock_admit as admit;
pub use dunlinrock_steer as steer;
