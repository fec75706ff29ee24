//! The shares of one flow: one service's traffic from the callers of one region.

use std::{sync::Arc, time::Duration};

use dunlinrock_config::goal::RegionShares;

use super::{CAP_FRACTION, MAX_LEAD, MAX_STEP, PEER_WINDOWS};
use crate::{DesiredSplit, hash};

/// Differences of shares below this are rounding errors.
const EPSILON: f64 = 1e-9;

/// Minimum window length for the division of the cap by the window.
const MIN_WINDOW: Duration = Duration::from_millis(1);

/// The share of one serving region.
#[derive(Clone, Debug)]
pub(super) struct RegionShare {
    pub(super) region: Arc<str>,
    /// Hash of the region's name.
    pub(super) name_hash: u64,
    /// Current share, 0 to 1.
    pub(super) share: f64,
    /// Share to move towards, as far as limits allow, 0 to 1.
    pub(super) target_share: f64,
    /// Whether the region can serve requests at all.
    pub(super) eligible: bool,
}

/// The shares of one service's traffic from the callers of one region.
#[derive(Clone, Debug)]
pub(super) struct Flow {
    /// Ordered by region. Invariant: the shares sum up to 1, and so do the target shares; or the
    /// list is empty if no region can serve.
    pub(super) regions: Vec<RegionShare>,
    /// Region of the callers.
    callers: Arc<str>,
    /// Whether the shares began as the desired split and were never those of another host.
    pub(super) is_assumed: bool,
    /// Current speed in shares per second; 0 while blocked.
    pub(super) speed: f64,
    /// Fraction of the traffic that is not at the desired split, whether it is blocked by limits or
    /// not.
    pub(super) remaining: f64,
    /// Length of the cap's window.
    pub(super) window: Duration,
    /// Time of the last step.
    last_step: Duration,
    /// Time since which slower peers have blocked the flow.
    blocked_since: Option<Duration>,
    /// Shares of this flow at the peers.
    peers: Vec<RegionShares>,
}

impl Flow {
    pub(super) fn open(callers: &Arc<str>, shares: &RegionShares, now: Duration) -> Self {
        let mut flow = Self {
            callers: callers.clone(),
            is_assumed: false,
            regions: Vec::new(),
            speed: 0.0,
            remaining: 0.0,
            window: Duration::ZERO,
            last_step: now,
            blocked_since: None,
            peers: Vec::new(),
        };
        for (region, share) in shares {
            flow.entry(region).share = *share;
        }
        flow
    }

    /// Returns the entry of a region, and creates it if it is missing.
    fn entry(&mut self, region: &Arc<str>) -> &mut RegionShare {
        let found = self
            .regions
            .binary_search_by(|entry| entry.region.cmp(region));
        let at = found.unwrap_or_else(|at| {
            let entry = RegionShare {
                region: region.clone(),
                name_hash: hash::hash_str(region),
                share: 0.0,
                target_share: 0.0,
                eligible: false,
            };
            self.regions.insert(at, entry);
            at
        });
        &mut self.regions[at]
    }

    pub(super) fn shares(&self) -> RegionShares {
        let regions = self.regions.iter().filter(|entry| entry.share > 0.0);
        regions
            .map(|entry| (entry.region.clone(), entry.share))
            .collect()
    }

    pub(super) fn update_peers<'r>(&mut self, splits: impl Iterator<Item = &'r RegionShares>) {
        self.peers = splits.cloned().collect();
    }

    /// Replaces the shares by those of another host.
    pub(super) fn adopt(&mut self, shares: &RegionShares) {
        self.is_assumed = false;
        for entry in &mut self.regions {
            entry.share = 0.0;
        }
        for (region, share) in shares {
            self.entry(region).share = *share;
        }
    }

    /// Returns the fraction of the traffic that is still to move within the current limits.
    pub(super) fn movable(&self) -> f64 {
        self.regions.iter().map(RegionShare::missing_share).sum()
    }

    /// Takes one step towards the desired split.
    pub(super) fn advance(
        &mut self,
        desired: &DesiredSplit,
        limits: Option<&RegionShares>,
        now: Duration,
    ) {
        self.window = desired.window;
        if self.regions.is_empty() {
            // No traffic was served, so no traffic moves.
            for (region, share) in &desired.shares {
                self.entry(region).share = *share;
            }
        }
        self.set_targets(desired, limits);
        let speed = CAP_FRACTION * desired.cap / desired.window.max(MIN_WINDOW).as_secs_f64();
        let max_step = desired.window.mul_f64(MAX_STEP);
        let time = now.saturating_sub(self.last_step).min(max_step);
        self.last_step = now;
        let movable = self.movable();
        let lead = self.allowed_lead(desired, now);
        self.speed = if lead > 0.0 && movable > EPSILON {
            speed
        } else {
            0.0
        };
        self.shift_by(movable, (speed * time.as_secs_f64()).min(lead));
        self.regions
            .retain(|entry| entry.share > 0.0 || entry.target_share > 0.0);
        let remaining = self.distance(&desired.shares);
        self.remaining = if remaining > EPSILON { remaining } else { 0.0 };
    }

    fn distance(&self, desired: &RegionShares) -> f64 {
        let regions = self
            .regions
            .iter()
            .map(|entry| (&entry.region, entry.share));
        distance(regions, desired)
    }

    /// Sets the target shares to the desired split, cut down to the limits.
    fn set_targets(&mut self, desired: &DesiredSplit, limits: Option<&RegionShares>) {
        for entry in &mut self.regions {
            entry.target_share = 0.0;
            entry.eligible = desired.eligible.contains(&entry.region);
        }
        for (region, share) in &desired.shares {
            let entry = self.entry(region);
            entry.eligible = true;
            entry.target_share = *share;
        }
        let limit = |region: &Arc<str>| limits.and_then(|shares| shares.get(region)).copied();
        for entry in &mut self.regions {
            if let Some(limit) = limit(&entry.region) {
                entry.target_share = entry.target_share.min(limit.max(0.0));
            }
        }
        let callers = self.callers.clone();
        self.balance_targets(&callers, limits);
    }

    /// Restores a sum of 1 for the target shares after limits have cut some of them.
    ///
    /// Traffic that the desired regions cannot take stays where it is if that region can serve it.
    /// Otherwise the callers' own region takes it up to its limit; this is how traffic returns from
    /// a region that no longer grants capacity. The rest stays where it is and is refused.
    fn balance_targets(&mut self, callers: &str, limits: Option<&RegionShares>) {
        let mut missing = 1.0
            - self
                .regions
                .iter()
                .map(|entry| entry.target_share)
                .sum::<f64>();
        self.retain_excess(&mut missing, |entry| {
            entry.eligible && *entry.region == *callers
        });
        if let Some(entry) = self
            .regions
            .iter_mut()
            .find(|entry| *entry.region == *callers)
            && entry.eligible
            && missing > 0.0
        {
            let limit = limits.and_then(|shares| shares.get(callers)).copied();
            let available = limit.unwrap_or(1.0) - entry.target_share;
            let taken = missing.min(available.max(0.0));
            entry.target_share += taken;
            missing -= taken;
        }
        self.retain_excess(&mut missing, |entry| entry.eligible);
        self.retain_excess(&mut missing, |_| true);
    }

    /// Lets the matching regions keep their shares above the target, up to `missing` in total.
    fn retain_excess(&mut self, missing: &mut f64, which: impl Fn(&RegionShare) -> bool) {
        let excess = |entry: &RegionShare| match which(entry) {
            true => (entry.share - entry.target_share).max(0.0),
            false => 0.0,
        };
        let available: f64 = self.regions.iter().map(excess).sum();
        if available <= 0.0 || *missing <= 0.0 {
            return;
        }
        let ratio = (*missing / available).min(1.0);
        for entry in &mut self.regions {
            entry.target_share += excess(entry) * ratio;
        }
        *missing -= available * ratio;
    }

    /// Returns how much traffic may move before the flow is too far ahead of its slowest peer.
    fn allowed_lead(&mut self, desired: &DesiredSplit, now: Duration) -> f64 {
        let own = self.distance(&desired.shares);
        let peer_distance =
            |shares: &RegionShares| distance(shares.iter().map(|(r, s)| (r, *s)), &desired.shares);
        let slowest = self.peers.iter().map(peer_distance).fold(0.0, f64::max);
        let lead = own - slowest + MAX_LEAD * desired.cap;
        if lead > EPSILON {
            self.blocked_since = None;
            return lead;
        }
        let since = *self.blocked_since.get_or_insert(now);
        if now.saturating_sub(since) > desired.window.saturating_mul(PEER_WINDOWS) {
            return 1.0;
        }
        0.0
    }

    /// Moves up to `max_shift` of the traffic in a straight line towards the target shares.
    fn shift_by(&mut self, movable: f64, max_shift: f64) {
        if movable <= EPSILON {
            return;
        }
        let fraction = (max_shift / movable).clamp(0.0, 1.0);
        for p in &mut self.regions {
            p.share = match fraction {
                1.0 => p.target_share,
                fraction => p.share + (p.target_share - p.share) * fraction,
            };
        }
    }
}

impl RegionShare {
    fn missing_share(&self) -> f64 {
        (self.target_share - self.share).max(0.0)
    }
}

/// Returns the fraction of the traffic that two splits send to different regions.
fn distance<'r>(shares: impl Iterator<Item = (&'r Arc<str>, f64)>, desired: &RegionShares) -> f64 {
    let excess = |(region, share): (&Arc<str>, f64)| {
        (share - desired.get(region).copied().unwrap_or(0.0)).max(0.0)
    };
    shares.map(excess).sum()
}
