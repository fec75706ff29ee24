//! Traffic steering between regions: which region serves which callers, how fast that may change,
//! and how much spare capacity of other regions a host may use.
//!
//! The crate has no clock, thread or socket: it takes an input and a time and returns a decision.
//! Times are a `Duration` since an origin that the process chooses, and never go back.
//!
//! ```
//! use std::{collections::BTreeSet, time::Duration};
//!
//! use dunlinrock_steer::{DesiredSplits, ShareLimits, TrafficSplit};
//!
//! # let text = r#"
//! # [services.catalogue]
//! # deadline_ms = 900
//! # cap = { share = 0.1, window_ms = 10000 }
//! # [regions.cluj]
//! # [regions.iasi]
//! # [domains]
//! # cluj-a = { region = "cluj" }
//! # iasi-a = { region = "iasi" }
//! # [links]
//! # l = { from = "cluj", to = "iasi", delay_us = 20000, bytes_per_s = 1000000 }
//! # [targets]
//! # c = { service = "catalogue", domain = "cluj-a", address = "127.0.0.1:21001", slots = 3 }
//! # i = { service = "catalogue", domain = "iasi-a", address = "127.0.0.1:21002", slots = 3 }
//! # "#;
//! # let file = dunlinrock_config::config::ConfigFile { name: "all.toml".into(), text: text.into() };
//! # let config = dunlinrock_config::config::check_files(&[file]).config.unwrap();
//! let mut split = TrafficSplit::open();
//! // There are no peers: the host starts from the desired split.
//! split.update_peers(&[]);
//! let healthy = DesiredSplits::open(&config, &BTreeSet::new());
//! split.advance(&healthy, &ShareLimits::default(), Duration::ZERO);
//! assert_eq!(&**split.pick_region("catalogue", "cluj", 7).unwrap(), "cluj");
//!
//! // Region cluj fails. Its share moves within the cap in any window, and requests whose share has
//! // not moved yet are refused instead of being sent to another region at once.
//! let degraded = DesiredSplits::open(&config, &BTreeSet::from(["cluj".into()]));
//! split.advance(&degraded, &ShareLimits::default(), Duration::from_millis(100));
//! let refusal = split.pick_region("catalogue", "cluj", 7).unwrap_err();
//! assert!(refusal.retry_after > Duration::ZERO);
//! ```
//!
//! * [`Blocks`]: maps client addresses to regions by longest-prefix match.
//! * [`DesiredSplits`], [`TrafficSplit`]: the desired split of traffic over regions, and the current
//!   split, which moves towards it under a cap.
//! * [`Grantor`], [`Grantee`]: short-lived grants of the headroom of regions and links.
//! * [`spill`]: the capacity that a host needs in other regions, and the limits of its shares.
//! * [`hosts`]: the hosts that a lookup returns for a block of callers.
//! * [`host_draw`]: the hosts that a lookup returns for a region, by their capacity.
//! * [`divide`]: algorithms that divide several scarce resources.
//! * [`affinity`]: the target that serves a request, by affinity or by load.
//! * [`naive`]: the baseline for comparison.

pub mod affinity;
pub mod blocks;
pub mod divide;
pub mod grants;
pub mod hash;
pub mod host_draw;
pub mod hosts;
pub mod naive;
pub mod shift;
pub mod spill;
pub mod spread;

pub use {
    blocks::{Blocks, BlocksBuilder, TooManyNames},
    grants::{Grant, GrantRequest, Grantee, Grantor, LinkCapacity, LocalUsage, Need, NoCapacity},
    shift::{PeerSplit, Refusal, ShareLimits, SplitTable, TrafficSplit, UnservableReason},
    spill::{Traffic, TrafficTable},
    spread::{DesiredSplit, DesiredSplits},
};
