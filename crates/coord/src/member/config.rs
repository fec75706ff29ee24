//! Identity of a host and the timings of its membership.

use std::{sync::Arc, time::Duration};

/// Identity of this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalMember {
    /// Name of the host.
    pub name: Arc<str>,
    /// Incarnation; higher than that of any earlier process under this name.
    pub incarnation: u64,
    /// Region of the host.
    pub region: Arc<str>,
    /// Failure domain of the host.
    pub domain: Arc<str>,
    /// Address for callers, as IP:PORT.
    pub callers: Arc<str>,
    /// Address for other hosts, as IP:PORT.
    pub peers: Arc<str>,
}

/// Timings of a membership; all hosts of a deployment use the same.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timings {
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Time without a heartbeat after which a host is suspect; four heartbeats, of which any may be
    /// lost.
    pub suspect_after: Duration,
    /// Time without a heartbeat after which a host counts as gone.
    pub gone_after: Duration,
    /// Interval between reports of changed facts.
    pub report: Duration,
    /// Interval between digests to another domain.
    pub digest: Duration,
    /// Interval at which received digests are relayed within a domain.
    pub relay_interval: Duration,
    /// Minimum interval between requests for missed rumors. Half of it is the time for which
    /// another host's rumors must differ before they are requested, as a rumor in transit makes
    /// them differ for a moment.
    pub sync: Duration,
    /// Time for which a rumor about a state is relayed.
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
