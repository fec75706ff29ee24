//! Headroom of a region and of its links, lent to hosts elsewhere for a short time.
//!
//! The load: many hosts that each send part of their callers' requests to another region. Reports
//! of that region's load lag by seconds, so hosts that each fill the room they see overrun it
//! together, and the region's own callers pay; a link fills the same way. So a region's own hosts
//! say how much they take: each divides the room of its own targets, and its equal part of each
//! link, among the hosts that ask. The sum over all grants that can still be used stays within the
//! room, whatever is lost, late or repeated on the way:
//!
//! * A grant ends by itself, after [`GRANT_TTL`]. The grantor counts it from when it sends it, the
//!   grantee from when it asked, which is earlier: no grant is used after its grantor has forgotten
//!   it.
//! * A smaller grant takes the place of a larger one at the grantee only when it arrives; until
//!   the larger one's end the grantor counts the larger.
//! * A host's part of a link is one by the largest number of hosts its region had within a
//!   lifetime of grants, and a new host grants nothing for that long: the others' grants were made
//!   when they were fewer.
//! * Without a fresh measurement of its own use a grantor renews no more than what it lent
//!   ([`FRESH_AGE`]), and later nothing ([`STALE_AGE`]). Use counts by its peak ([`PEAK_WINDOW`]), so that one
//!   report that is false or between two bursts frees nothing.
//!
//! Half of a link is each end's to grant, since both ends send work over it and neither sees the
//! other's grants. Answers are most of the bytes, and those of the one end's work travel against
//! those of the other's: so of each direction [`REQUEST_FRACTION`] is for the requests of the one and the
//! rest for the answers of the other, which wastes less than two halves.
//!
//! `docs/decisions/grants.md` holds the figures.

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

/// Time after which a grant ends by itself.
pub const GRANT_TTL: Duration = Duration::from_secs(3);

/// Age up to which a measurement of a host's own use lets its grants grow.
pub const FRESH_AGE: Duration = Duration::from_secs(1);

/// Age from which a host without a measurement grants nothing more.
pub const STALE_AGE: Duration = Duration::from_secs(3);

/// Time for which the highest use counts.
pub const PEAK_WINDOW: Duration = Duration::from_secs(5);

/// Part of each direction of a link that is for requests; the rest is for answers.
pub const REQUEST_FRACTION: f64 = 0.2;

/// Capacity of links that steering may use, in bytes a second in each direction, headroom taken
/// off, by the region at the other end.
pub type LinkCapacity = BTreeMap<Arc<str>, f64>;

/// What a host wants to send to a region.
#[derive(Clone, Debug, PartialEq)]
pub struct Need {
    /// The service.
    pub service: Arc<str>,
    /// Requests a second.
    pub rate: f64,
    /// Mean size of a request, in bytes.
    pub request_bytes: f64,
    /// Mean size of an answer, in bytes.
    pub answer_bytes: f64,
}

/// A host asks the hosts of a region for room.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantRequest {
    /// The host that asks.
    pub host: Arc<str>,
    /// Region it stands in; the grantor's own region where the callers are from elsewhere.
    pub region: Arc<str>,
    /// When it asks, by its own clock.
    pub sent_at: Duration,
    /// What it wants of this one grantor.
    pub needs: Vec<Need>,
}

/// Room that one host lends to another, for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The host that lends.
    pub grantor: Arc<str>,
    /// The region that takes the work.
    pub region: Arc<str>,
    /// The host that may use it.
    pub grantee: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// Requests a second.
    pub rate: f64,
    /// Bytes of requests a second.
    pub request_bytes: f64,
    /// Bytes of answers a second.
    pub answer_bytes: f64,
    /// When the grantee asked, by the grantee's own clock.
    pub requested_at: Duration,
}
