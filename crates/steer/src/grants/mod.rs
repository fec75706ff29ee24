//! Short-lived grants of capacity: how much traffic a host may send to another region.
//!
//! Many hosts each send part of their callers' requests to another region. Reports of that region's
//! load lag by seconds, so hosts that each fill the capacity they see would together overload it,
//! at the expense of the region's own callers; a link fills up in the same way. The region's own
//! hosts therefore decide how much traffic they accept: each divides the free capacity of its own
//! targets, and its equal part of each link, among the hosts that request it. The sum of all usable
//! grants never exceeds the available capacity, even if messages are lost, late or duplicated:
//!
//! * A grant expires by itself after [`GRANT_TTL`]. The grantor counts from the time at which it
//!   sends the grant, the grantee from the time of its request, which is earlier: no grant is used
//!   after its grantor has dropped it.
//! * A smaller grant replaces a larger one only when it arrives at the grantee; until the larger
//!   one expires, the grantor counts the larger one.
//! * A host's part of a link is one divided by the largest number of hosts that its region had
//!   within the last [`GRANT_TTL`]. A new host issues no grants for that time, because the others'
//!   grants were computed for fewer hosts.
//! * Without a fresh measurement of its own usage a grantor only renews what it has granted already
//!   ([`FRESH_AGE`]), and later grants nothing ([`STALE_AGE`]). Usage counts by its recent peak
//!   ([`PEAK_WINDOW`]), so a single report that is wrong or falls between two bursts frees no
//!   capacity.
//!
//! Each end of a link grants half of its capacity, since both ends send traffic over it and neither
//! sees the other's grants. Responses are most of the bytes, and the responses to one end's
//! requests travel in the opposite direction to those of the other end. In each direction
//! [`REQUEST_FRACTION`] is therefore for the requests of one end and the rest for the responses of
//! the other, which wastes less than two equal halves.
//!
//! `docs/decisions/grants.md` holds the measurements.

mod grantee;
mod grantor;
mod local_usage;
mod outstanding;
mod token_bucket;
mod window_max;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

pub use {
    grantee::{Grantee, NoCapacity},
    grantor::Grantor,
    local_usage::LocalUsage,
};

/// Time after which a grant expires.
pub const GRANT_TTL: Duration = Duration::from_secs(3);

/// Maximum age of a usage measurement with which a host's grants may grow.
pub const FRESH_AGE: Duration = Duration::from_secs(1);

/// Age of the last usage measurement from which a host grants nothing more.
pub const STALE_AGE: Duration = Duration::from_secs(3);

/// Window in which the highest usage counts.
pub const PEAK_WINDOW: Duration = Duration::from_secs(5);

/// Fraction of each direction of a link that is for requests; the rest is for responses.
pub const REQUEST_FRACTION: f64 = 0.2;

/// Usable capacity of a region's links by the region at the other end: bytes per second in each
/// direction, without the headroom.
pub type LinkCapacity = BTreeMap<Arc<str>, f64>;

/// The traffic of one service that a host wants to send to a region.
#[derive(Clone, Debug, PartialEq)]
pub struct Need {
    /// The service.
    pub service: Arc<str>,
    /// Requests per second.
    pub rate: f64,
    /// Mean size of a request, in bytes.
    pub request_bytes: f64,
    /// Mean size of a response, in bytes.
    pub answer_bytes: f64,
}

/// A host's request for grants, sent to a host of another region.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantRequest {
    /// The requesting host.
    pub host: Arc<str>,
    /// Region of the requesting host; the grantor's own region if the callers are from elsewhere.
    pub region: Arc<str>,
    /// Time of the request by the requester's clock.
    pub sent_at: Duration,
    /// Capacity that is requested of this grantor.
    pub needs: Vec<Need>,
}

/// Capacity that one host grants to another for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The granting host.
    pub grantor: Arc<str>,
    /// The region that serves the traffic.
    pub region: Arc<str>,
    /// The host that may use the grant.
    pub grantee: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// Requests per second.
    pub rate: f64,
    /// Bytes of requests per second.
    pub request_bytes: f64,
    /// Bytes of responses per second.
    pub answer_bytes: f64,
    /// Time of the request that this grant answers, by the grantee's clock.
    pub requested_at: Duration,
}
