//! Decisions under load, without clock, socket or thread.
//!
//! A facade: [`admit`] decides at one pool of targets, [`steer`] between regions. A struct takes an
//! input and a time, a `Duration` since an origin of the embedder's choice, and returns what to do:
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
//! // Which region is a caller near to?
//! let blocks = Blocks::open(&config);
//! assert_eq!(blocks.find("10.32.0.1".parse().unwrap()).map(|r| &**r), Some("cluj"));
//!
//! // A host that heard all its peers, none of which has shares, starts from the goal.
//! let goals = DesiredSplits::open(&config, &Default::default());
//! let mut shares = TrafficSplit::open();
//! assert!(!shares.ready());
//! shares.update_peers(&[]);
//! shares.advance(&goals, &Default::default(), Duration::ZERO);
//! assert!(shares.ready());
//! ```
//!
//! Which load each decision answers, what goes wrong without it, and why its thresholds are as they
//! are stands in `docs/decisions/`.

pub use dunlinrock_admit as admit;
pub use dunlinrock_steer as steer;
