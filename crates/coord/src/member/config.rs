//! Who a host is, and the times of its membership.

use std::{sync::Arc, time::Duration};

/// The host itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalMember {
    /// Name.
    pub name: Arc<str>,
    /// Incarnation; higher than that of any earlier process under this name.
    pub incarnation: u64,
    /// Region.
    pub region: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Address for callers, as IP:PORT.
    pub callers: Arc<str>,
    /// Address for hosts, as IP:PORT.
    pub peers: Arc<str>,
}

/// Times of a membership; hosts of one deployment share them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timings {
    /// Time between two heartbeats.
    pub heartbeat: Duration,
    /// Silence after which a host is suspect; four heartbeats, of which any may be lost.
    pub suspect_after: Duration,
    /// Silence after which a host counts as gone.
    pub gone_after: Duration,
    /// Time between two reports of facts that changed.
    pub report: Duration,
    /// Time between two digests to another domain.
    pub digest: Duration,
    /// Time between two rounds in which digests are passed on within a domain.
    pub relay_interval: Duration,
    /// Least time between two asks for missed words; half of it is the time for which another host's
    /// words must differ before it is asked, as a word on its way makes them differ for a moment.
    pub sync: Duration,
    /// Time for which a word of a state is passed on.
    pub rumor_ttl: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(250),
            suspect_after: Duration::from_secs(1),
            gone_after: Duration::from_secs(3),
            report: Duration::from_secs(8),
            digest: Duration::from_secs(1),
            relay_interval: Duration::from_secs(10),
            sync: Duration::from_millis(500),
            rumor_ttl: Duration::from_secs(30),
        }
    }
}
