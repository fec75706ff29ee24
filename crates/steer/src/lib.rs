//! Decisions under load between regions: who serves whose callers, how fast that may change, and
//! who may use whose spare capacity.
//!
//! Nothing here has a clock, a thread or a socket: an input and a time come in, a decision comes
//! out. Times are a `Duration` since an origin of the process's own choice and never go back.
//!
//! ```
//! use std::{collections::BTreeSet, time::Duration};
//!
//! use dunlinrock_steer::{ShareLimits, DesiredSplits, TrafficSplit};
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
//! let mut shares = TrafficSplit::open();
//! // Nobody else is there: the host starts from the goal itself.
//! shares.update_peers(&[]);
//! let all_well = DesiredSplits::open(&config, &BTreeSet::new());
//! shares.advance(&all_well, &ShareLimits::default(), Duration::ZERO);
//! assert_eq!(&**shares.pick_region("catalogue", "cluj", 7).unwrap(), "cluj");
//!
//! // Cluj is lost: its share moves by no more than the cap in any window, and what has not moved
//! // yet is refused rather than sent somewhere at once.
//! let lost = DesiredSplits::open(&config, &BTreeSet::from(["cluj".into()]));
//! shares.advance(&lost, &ShareLimits::default(), Duration::from_millis(100));
//! let refusal = shares.pick_region("catalogue", "cluj", 7).unwrap_err();
//! assert!(refusal.retry_after > Duration::ZERO);
//! ```
//!
//! * [`Blocks`]: client address to region, by longest prefix.
//! * [`DesiredSplits`], [`TrafficSplit`]: where traffic is meant to go, and the capped way there.
//! * [`Grantor`], [`Grantee`]: headroom of a region and its links, lent for a short time.
//! * [`spill`]: what a host needs of other regions, and how far its shares may go.
//! * [`hosts`]: which hosts a look-up answers with.
//! * [`divide`]: rules that divide several scarce resources.
//! * [`naive`]: the baseline that the decisions are measured against.

pub mod affinity;
pub mod blocks;
pub mod divide;
pub mod grants;
pub mod hash;
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
