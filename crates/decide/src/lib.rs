//! Decisions under load, without clock, socket or thread.
//!
//! A facade: [`admit`] decides at one pool of targets, [`steer`] between regions.

pub use dunlinrock_admit as admit;
pub use dunlinrock_steer as steer;
