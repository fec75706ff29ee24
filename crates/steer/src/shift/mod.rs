//! Shifts traffic between regions towards the desired split, limited by the operators' cap.
//!
//! A new configuration, a drain, a failed region or a replaced host may call for a large part of a
//! service's traffic to be elsewhere at once. Without a limit it would land on cold caches and on
//! regions without the capacity for it, and would cause failures for callers that have nothing to do
//! with the cause. Shares therefore move at a limited speed whatever the cause, and only as far as
//! the receiving regions have granted headroom. Traffic that cannot move yet is refused with a
//! retry-after time.
//!
//! Each host decides for itself. Four rules keep the sum over all hosts under the cap:
//!
//! * A host moves at [`CAP_FRACTION`] of the cap's speed and makes up for at most [`MAX_STEP`] of a window
//!   of idle time. The limit needs no memory of earlier moves, so it also holds when a host is
//!   replaced and its memory is lost.
//! * A new host starts from the mean of its peers' shares. If it started from the desired split,
//!   its part of the traffic would jump; where no peer has shares there is no traffic that could
//!   jump. Hosts tell only what they apply to their own region's callers or adopted from others, not
//!   the split that they assumed for callers whose hosts they never heard.
//! * For the callers of other regions, a host adopts the shares of the hosts in those regions.
//! * A host stays within [`MAX_LEAD`] of the cap of its slowest peer, for at most [`PEER_WINDOWS`]
//!   windows: when a host fails and its callers move to others, the traffic jumps by the difference
//!   of their shares.
//!
//! `docs/decisions/shift.md` holds the parameter sweep behind these figures.

mod flow;
mod initial_split;
mod pick_region;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dunlinrock_config::goal::RegionShares;

use crate::DesiredSplits;
use flow::Flow;
pub use pick_region::{Refusal, UnservableReason};

/// Fraction of the cap's speed at which a host moves. The rest is reserved for moves that are not a
/// host's own: steps that began before a window (at most [`MAX_STEP`]), and callers that change
/// hosts when a third of all hosts fail at once (a third of [`MAX_LEAD`]): 0.8 * 1.05 + 0.45 / 3 =
/// 0.99.
pub use dunlinrock_config::goal::CAP_FRACTION;

/// Largest fraction of a window of idle time that a host makes up for in one step.
pub const MAX_STEP: f64 = 0.05;

/// Fraction of the cap by which a host may be nearer to the desired split than its slowest peer.
pub const MAX_LEAD: f64 = 0.45;

/// Number of windows for which a host waits for a peer that does not move. A peer that cannot reach
/// its desired split must not block a drain for all.
pub const PEER_WINDOWS: u32 = 2;

/// Shares by service, region of callers and serving region; hosts exchange this table.
pub type SplitTable = BTreeMap<Arc<str>, BTreeMap<Arc<str>, RegionShares>>;

/// Upper limit of a region's share, by service, region of callers and serving region; a missing
/// entry means no limit.
pub type ShareLimits = SplitTable;

/// The known shares of one live peer.
#[derive(Clone, Copy, Debug)]
pub struct PeerSplit<'p> {
    /// `None` until the peer has sent its shares; an empty table if the peer has none itself.
    pub table: Option<&'p SplitTable>,
}

/// The shares by which this host currently distributes traffic over regions.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplit {
    /// Empty until the host knows which shares to start from.
    flows: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Flow>>,
    initial: initial_split::InitialSplit,
    /// Shares before the last reset; for flows of which no peer knows shares.
    previous: SplitTable,
}

impl TrafficSplit {
    /// Creates a split without shares. The host refuses all requests until it has heard from its
    /// peers and [`Self::advance`] has run once.
    pub fn open() -> Self {
        Self::default()
    }

    /// Updates the known shares of all live peers.
    ///
    /// A host without shares starts from the mean of its peers' shares once a peer has some, or
    /// from the desired split once all peers have answered and none has shares. Later, peers that
    /// lag slow the host down.
    pub fn update_peers(&mut self, peers: &[PeerSplit<'_>]) {
        if !self.ready() {
            self.initial = initial_split::InitialSplit::from_peers(peers);
        }
        for (service, flows) in &mut self.flows {
            for (callers, flow) in flows {
                let tables = peers.iter().filter_map(|peer| peer.table);
                flow.update_peers(tables.filter_map(|table| table.get(service)?.get(callers)));
            }
        }
    }

    /// Adopts the shares of other regions' callers from live hosts of those regions. `peers` holds
    /// the hosts' tables by region; `own` is the region of this host.
    ///
    /// Nearly all callers use hosts of their own region, and those hosts move only as far as grants
    /// cover their traffic. A host elsewhere has no such traffic to limit it and would run ahead to
    /// the desired split; if all hosts of the callers' region failed, the callers' traffic would
    /// jump there. The host therefore follows, and continues from the last known shares when those
    /// hosts are gone.
    pub fn adopt_remote(&mut self, own: &str, peers: &BTreeMap<Arc<str>, Vec<&SplitTable>>) {
        for (service, flows) in &mut self.flows {
            for (callers, flow) in flows.iter_mut().filter(|(name, _)| ***name != *own) {
                let tables = peers.get(callers).into_iter().flatten();
                let tables = tables.filter_map(|table| table.get(service)?.get(callers));
                let mean = initial_split::mean_split(tables);
                if !mean.is_empty() {
                    flow.adopt(&mean);
                }
            }
        }
    }

    /// Whether the host has shares.
    pub fn ready(&self) -> bool {
        !self.flows.is_empty()
    }

    /// Drops all shares. Used after the host was paused: its peers have moved on, so it starts
    /// again from their shares, or from its own where no peer knows any.
    pub fn reset(&mut self) {
        let previous = match self.ready() {
            true => self.table(),
            false => std::mem::take(&mut self.previous),
        };
        *self = Self {
            previous,
            ..Self::open()
        };
    }

    /// Moves shares towards the desired splits, as far as the elapsed time and the limits allow.
    pub fn advance(&mut self, desired_splits: &DesiredSplits, limits: &ShareLimits, now: Duration) {
        if !self.ready() && !self.initial.known() {
            return;
        }
        self.flows
            .retain(|service, _| desired_splits.flows.contains_key(service));
        for (service, by_callers) in &desired_splits.flows {
            let flows = self.flows.entry(service.clone()).or_default();
            flows.retain(|callers, _| by_callers.contains_key(callers));
            for (callers, desired) in by_callers {
                let flow = flows.entry(callers.clone()).or_insert_with(|| {
                    let previous = || self.previous.get(service)?.get(callers);
                    let known = self.initial.find(service, callers).or_else(previous);
                    let mut flow = Flow::open(callers, known.unwrap_or(&desired.shares), now);
                    flow.is_assumed = known.is_none();
                    flow
                });
                let limits = limits.get(service).and_then(|table| table.get(callers));
                flow.advance(desired, limits, now);
            }
        }
    }

    /// Picks the region that serves a request of a service's caller.
    ///
    /// `value` must be uniform over requests. Use a hash of the request's key, so that a retry
    /// draws the same value: if each retry of a refused request drew a new value, the request would
    /// soon be served, and the remaining regions would get more than their shares.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] if the region that the request falls on cannot serve it now.
    pub fn pick_region(
        &self,
        service: &str,
        callers: &str,
        value: u64,
    ) -> Result<&Arc<str>, Refusal> {
        let flow = self.flows.get(service).and_then(|flows| flows.get(callers));
        match flow {
            Some(flow) => pick_region::pick_region(flow, value),
            None if self.ready() => Err(Refusal::no_region()),
            None => Err(Refusal::starting()),
        }
    }

    /// Returns all shares.
    pub fn table(&self) -> SplitTable {
        self.filter_table(|_, _| true)
    }

    /// Returns the shares to send to peers; `own` is the region of this host.
    ///
    /// Shares that this host assumed for other regions' callers are left out: they ignore regions
    /// that it had not heard then, and a host of the callers' region that started from them, or
    /// from what a third host took from them, would move all its traffic at once.
    pub fn table_for_peers(&self, own: &str) -> SplitTable {
        self.filter_table(|callers, flow| *callers == *own || !flow.is_assumed)
    }

    fn filter_table(&self, includes: impl Fn(&str, &Flow) -> bool) -> SplitTable {
        let tables = self.flows.iter().map(|(service, flows)| {
            let tables = flows
                .iter()
                .filter(|(callers, flow)| includes(callers, flow));
            let tables = tables.map(|(callers, flow)| (callers.clone(), flow.shares()));
            (service.clone(), tables.collect())
        });
        tables.collect()
    }

    /// Returns the fraction of a flow's traffic that is not yet at the desired split, whether it is
    /// moving or blocked by limits; 0 once the split is reached.
    pub fn remaining(&self, service: &str, callers: &str) -> f64 {
        let flow = self.flows.get(service).and_then(|flows| flows.get(callers));
        flow.map_or(0.0, |flow| flow.remaining)
    }
}
