//! Computes the capacity that a host needs in other regions, and the limits that the capacity
//! granted to it sets on the shares of its traffic.
//!
//! The desired split may give a region more traffic than it has capacity for. If the share moved
//! there regardless, its requests would be refused one by one while the capacity of the previous
//! region stays idle. A host therefore requests grants for the shares that it may reach within the
//! next window of the cap, and a share moves only as far as grants cover it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dunlinrock_config::goal::RegionShares;

use crate::{
    DesiredSplit, DesiredSplits, Grantee, Grantor, Need, ShareLimits, SplitTable, TrafficSplit,
    hash,
};

/// Burst margin of a requested rate, as a multiple of the square root of the mean rate. Requests
/// arrive unevenly, and a token bucket filled at the mean rate alone would refuse some. A mean of a
/// few requests per second has to be doubled, one of hundreds needs a tenth more; a fixed fraction
/// would be too little for the one and too much for the other.
pub const BURST_MARGIN: f64 = 1.5;

/// Fraction of the burst margin of the granted rate that is kept free when a share is limited. With
/// the full margin, each rise of the measured rate since the request would move the share back a
/// little; with none, requests are refused wherever grants are scarce.
pub const KEPT_MARGIN: f64 = 0.5;

/// Measured traffic of one flow at this host: one service's callers in one region.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traffic {
    /// Requests per second that this host receives for the flow.
    pub rate: f64,
    /// Mean size of a request, in bytes.
    pub request_bytes: f64,
    /// Mean size of a response, in bytes.
    pub answer_bytes: f64,
}

/// Measured traffic by service, then by region of callers.
pub type TrafficTable = BTreeMap<Arc<str>, BTreeMap<Arc<str>, Traffic>>;

/// Returns the capacity that a host in `region` needs, by serving region.
///
/// Callers of other regions need a grant in the host's own region too, since their traffic adds to
/// that of the region's own callers.
pub fn needs(
    desired_splits: &DesiredSplits,
    split: &TrafficSplit,
    traffic: &TrafficTable,
    region: &str,
) -> BTreeMap<Arc<str>, Vec<Need>> {
    let mut needs = mean_needs(desired_splits, split, traffic, region);
    for need in needs.values_mut().flatten() {
        need.rate = requested_rate(need.rate);
    }
    needs
}

/// Returns the rate to request for a mean rate.
fn requested_rate(mean: f64) -> f64 {
    mean + BURST_MARGIN * mean.sqrt()
}

/// Returns the mean rate that a granted rate covers with [`KEPT_MARGIN`] of the burst margin free.
fn usable_rate(granted: f64) -> f64 {
    if !granted.is_finite() {
        return granted;
    }
    let margin = BURST_MARGIN * KEPT_MARGIN;
    let root = (margin * margin + 4.0 * granted).sqrt() - margin;
    (root / 2.0).powi(2)
}

/// Returns the needs at their mean rates, without the burst margin.
fn mean_needs(
    desired_splits: &DesiredSplits,
    split: &TrafficSplit,
    traffic: &TrafficTable,
    region: &str,
) -> BTreeMap<Arc<str>, Vec<Need>> {
    let table = split.table();
    let mut needs: BTreeMap<Arc<str>, Vec<Need>> = BTreeMap::new();
    for (service, callers, desired, traffic) in active_flows(desired_splits, traffic) {
        for (serving, share) in max_shares(desired, find_split(&table, service, callers)) {
            if is_local(region, callers, &serving) || share * traffic.rate <= 0.0 {
                continue;
            }
            let list = needs.entry(serving).or_default();
            add_need(list, service, share * traffic.rate, &traffic);
        }
    }
    needs
}

/// Returns the share limits that follow from the grants of a host in `region`, and for its own
/// region from the local spare capacity.
pub fn share_limits(
    desired_splits: &DesiredSplits,
    split: &TrafficSplit,
    traffic: &TrafficTable,
    region: &str,
    grants: (&Grantee, &Grantor),
    now: Duration,
) -> ShareLimits {
    let (grantee, grantor) = grants;
    let table = split.table();
    let needs = mean_needs(desired_splits, split, traffic, region);
    let mut limits = ShareLimits::new();
    for (service, callers, desired, traffic) in active_flows(desired_splits, traffic) {
        if traffic.rate <= 0.0 {
            continue;
        }
        let current = find_split(&table, service, callers);
        // All traffic that stays with a region that cannot serve is refused. Using the full grant
        // then refuses fewer requests, although some exceed the granted rate.
        let not_eligible = |region: &Arc<str>| !desired.eligible.contains(region);
        let has_unservable = current.is_some_and(|shares| shares.keys().any(not_eligible));
        let mut out = RegionShares::new();
        for (serving, share) in max_shares(desired, current) {
            let limit = if is_local(region, callers, &serving) {
                let current_share = current.and_then(|shares| shares.get(&serving)).copied();
                current_share.unwrap_or(0.0) + grantor.spare_rate(service, now) / traffic.rate
            } else {
                let list = needs.get(&serving);
                let need = list.and_then(|list| list.iter().find(|n| n.service == *service));
                // Callers of several regions divide the grants in proportion to their demand.
                need.map_or(0.0, |need| {
                    let granted = grantee.rate(&serving, need, now);
                    let rate = if has_unservable {
                        granted
                    } else {
                        usable_rate(granted)
                    };
                    share * rate / need.rate
                })
            };
            out.insert(serving, limit);
        }
        let flows = limits.entry(service.clone()).or_default();
        flows.insert(callers.clone(), out);
    }
    limits
}

/// Maximum number of hosts of a region that one host requests grants from. With all hosts, the
/// number of requests and grants would grow with the square of the fleet; with eight, the grants of
/// several hosts remain when one or two of them fail.
pub const MAX_GRANTORS: usize = 8;

/// Chooses the hosts of a region that the host `own` requests grants from: all hosts if there are
/// few, otherwise a subset that depends on `own`, so that requests spread evenly over the region's
/// hosts.
pub fn choose_grantors<'h>(own: &str, hosts: &'h [Arc<str>]) -> Vec<&'h Arc<str>> {
    let own = hash::hash_str(own);
    let mut hosts: Vec<_> = hosts
        .iter()
        .map(|host| (hash::mix64(own ^ hash::hash_str(host)), host))
        .collect();
    hosts.sort();
    hosts.truncate(MAX_GRANTORS);
    hosts.into_iter().map(|(_, host)| host).collect()
}

/// Returns whether a host in `region` may send requests of `callers` to `serving` without a grant:
/// only those of its own region's callers to its own region.
pub fn is_local(region: &str, callers: &str, serving: &str) -> bool {
    region == callers && region == serving
}

/// Iterates over all flows with traffic.
fn active_flows<'a>(
    desired_splits: &'a DesiredSplits,
    traffic: &'a TrafficTable,
) -> impl Iterator<Item = (&'a Arc<str>, &'a Arc<str>, &'a DesiredSplit, Traffic)> {
    desired_splits
        .flows
        .iter()
        .flat_map(move |(service, flows)| {
            flows.iter().filter_map(move |(callers, desired)| {
                let traffic = traffic.get(service)?.get(callers)?;
                Some((service, callers, desired, *traffic))
            })
        })
}

fn find_split<'r>(table: &'r SplitTable, service: &str, callers: &str) -> Option<&'r RegionShares> {
    table.get(service)?.get(callers)
}

/// Returns the largest share that each region may get of a flow within one window: the current
/// share, or, if the desired one is larger, an increase towards it by at most the cap. Regions that
/// cannot serve are left out.
fn max_shares<'a>(
    desired: &'a DesiredSplit,
    current: Option<&'a RegionShares>,
) -> impl Iterator<Item = (Arc<str>, f64)> + 'a {
    desired.eligible.iter().filter_map(move |region| {
        let desired_share = desired.shares.get(region).copied().unwrap_or(0.0);
        let share = current
            .and_then(|shares| shares.get(region))
            .copied()
            .unwrap_or(0.0);
        let max_share = share.max(desired_share.min(share + desired.cap));
        (max_share > 0.0).then(|| (region.clone(), max_share))
    })
}

/// Adds a rate to a service's need; sizes are averaged over all callers.
fn add_need(list: &mut Vec<Need>, service: &Arc<str>, rate: f64, traffic: &Traffic) {
    let Some(need) = list.iter_mut().find(|need| need.service == *service) else {
        list.push(Need {
            service: service.clone(),
            rate,
            request_bytes: traffic.request_bytes,
            answer_bytes: traffic.answer_bytes,
        });
        return;
    };
    let sum = need.rate + rate;
    let mean = |old: f64, new: f64| (old * need.rate + new * rate) / sum;
    need.request_bytes = mean(need.request_bytes, traffic.request_bytes);
    need.answer_bytes = mean(need.answer_bytes, traffic.answer_bytes);
    need.rate = sum;
}
