//! Moves shares of traffic towards their goals, under the operators' cap.
//!
//! The load: a large part of a service's traffic that wants to be elsewhere at once, because of a
//! new file, a drain, a lost region, or a host that was replaced. Without a limit it lands on cold
//! caches and on regions that have no room for it, and a closing ends for callers who had nothing
//! to do with the cause. So shares move at a limited speed whatever the cause, and only as far as
//! the regions they move to have granted headroom. What cannot move yet is refused with the time
//! after which a new try helps.
//!
//! Each host decides for itself. That the sum over hosts stays under the cap rests on four rules:
//!
//! * A host moves at [`PACE`] of the cap's speed and does not make up for time it was idle beyond
//!   [`MAX_STEP`] of a window. The limit needs no memory of earlier moves, so that it holds across the
//!   replacement of a host, whose memory is gone.
//! * A new host starts from the mean of its peers' shares. If it started from the goal, its part
//!   of the traffic would jump; where no peer has shares there is no traffic to jump.
//! * A host takes the shares of other regions' callers over from the hosts there.
//! * A host stays within [`MAX_LEAD`] of the cap of its slowest peer, for [`PEER_WINDOWS`] windows: when a
//!   host dies and its callers go to others, the traffic jumps by the difference of their shares.
//!
//! `docs/decisions/shift.md` holds the sweep behind these figures.

mod flow;
mod initial_split;
mod pick_region;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dunlinrock_config::goal::Row;

use crate::DesiredSplits;
use flow::Flow;
pub use pick_region::{Refusal, UnservableReason};

/// Part of the cap's speed at which a host moves. The rest is kept for what is not a host's own
/// move: steps that began before a window (at most [`MAX_STEP`]), and callers who change hosts when a
/// third of all hosts end at once (a third of [`MAX_LEAD`]): 0.8 * 1.05 + 0.45 / 3 = 0.99.
pub use dunlinrock_config::goal::PACE;

/// Part of a window for which a host that was idle makes up at most.
pub const MAX_STEP: f64 = 0.05;

/// Part of the cap by which a host may be nearer to the goal than its slowest peer.
pub const MAX_LEAD: f64 = 0.45;

/// Windows for which a host waits for a peer that does not move: one that cannot reach its goal
/// must not stop a drain for all.
pub const PEER_WINDOWS: u32 = 2;

/// TrafficSplit by service, then by region of callers: what hosts tell one another.
pub type SplitTable = BTreeMap<Arc<str>, BTreeMap<Arc<str>, Row>>;

/// Largest share that a region can be given, by service, region of callers and serving region;
/// one that is not listed has no limit.
pub type ShareLimits = SplitTable;

/// What is known of one peer that is alive.
#[derive(Clone, Copy, Debug)]
pub struct PeerSplit<'p> {
    /// Its shares, none where it has not got any yet; `None` where it was not heard yet.
    pub table: Option<&'p SplitTable>,
}

/// The shares of traffic that this host goes by.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplit {
    /// Empty until the host knows where to start.
    flows: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Flow>>,
    initial: initial_split::InitialSplit,
}

impl TrafficSplit {
    /// A host without shares: it refuses all until it has heard its peers and steered once.
    pub fn open() -> Self {
        Self::default()
    }

    /// Takes in what is known of all peers that are alive.
    ///
    /// A host that has no shares starts from the mean of its peers' once one of them has some, and
    /// from the goal once all were heard and none has. Later, peers that lag hold it back.
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

    /// Takes over the shares of other regions' callers from living hosts of those regions, given by
    /// region; `own` is the region of this host.
    ///
    /// Nearly all callers use hosts of their own region, and those go only as far as grants carry
    /// their traffic. A host elsewhere has no such traffic to hold it, and would run ahead to the
    /// goal; should the region's hosts all end, its callers would jump there. So it follows, and
    /// goes on by itself from where they ended.
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

    /// Whether the host has shares to go by.
    pub fn ready(&self) -> bool {
        !self.flows.is_empty()
    }

    /// Drops all shares. For a host that was paused: its peers have gone on without it, so it
    /// starts again from theirs.
    pub fn reset(&mut self) {
        *self = Self::open();
    }

    /// Moves shares towards the goals as far as time and ceilings allow.
    pub fn advance(&mut self, desired_splits: &DesiredSplits, limits: &ShareLimits, now: Duration) {
        if !self.ready() && !self.initial.known() {
            return;
        }
        self.flows
            .retain(|service, _| desired_splits.flows.contains_key(service));
        for (service, split) in &desired_splits.flows {
            let flows = self.flows.entry(service.clone()).or_default();
            flows.retain(|callers, _| split.contains_key(callers));
            for (callers, desired) in split {
                let flow = flows.entry(callers.clone()).or_insert_with(|| {
                    let split = self.initial.find(service, callers);
                    Flow::open(callers, split.unwrap_or(&desired.shares), now)
                });
                let limits = limits.get(service).and_then(|table| table.get(callers));
                flow.advance(desired, limits, now);
            }
        }
    }

    /// The region that serves a request of a service's caller.
    ///
    /// `value` is uniform over requests. Take a hash of the request's key, so that a new try draws
    /// the same value: a refused request whose each try drew another would soon be served, and the
    /// regions that are left would get more than their shares.
    ///
    /// # Errors
    ///
    /// [`Refusal`] where the share it falls on cannot be served now.
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

    /// The shares, to tell peers.
    pub fn table(&self) -> SplitTable {
        let tables = self.flows.iter().map(|(service, flows)| {
            let tables = flows.iter();
            let tables = tables.map(|(callers, flow)| (callers.clone(), flow.shares()));
            (service.clone(), tables.collect())
        });
        tables.collect()
    }

    /// Part of a service's callers in one region that is not where the goal wants it, be it under way
    /// or held by ceilings; none where all is at its goal.
    pub fn remaining(&self, service: &str, callers: &str) -> f64 {
        let flow = self.flows.get(service).and_then(|flows| flows.get(callers));
        flow.map_or(0.0, |flow| flow.remaining)
    }
}
