//! What a host needs of other regions, and how far its shares may go by what it was lent.
//!
//! The load: a goal that gives a region more work than it has room for. A share that moves there
//! in spite of that is turned away request by request, and the room of its old place stands idle.
//! So a host asks for room a window ahead of its shares, and a share moves only as far as the
//! grants carry it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dunlinrock_config::goal::Row;

use crate::{
    DesiredSplit, DesiredSplits, Grantee, Grantor, Need, ShareLimits, SplitTable, TrafficSplit,
    hash,
};

/// How many times the square root of the rate is asked for on top of it: requests come unevenly,
/// and a bucket that is filled at the mean rate alone turns some away. A rate of a few requests a
/// second needs twice its mean, one of hundreds a tenth more; a fixed part would be too little for
/// the one and too much for the other.
pub const BURST_MARGIN: f64 = 1.5;

/// Part of the safety that a share leaves free in what was granted. With all of it, each rise of a
/// measured rate since the ask would send the share back a little; with none, requests find no
/// room wherever grants are scarce.
pub const KEPT_MARGIN: f64 = 0.5;

/// What a host measures of one service's callers in one region.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traffic {
    /// Requests a second that this host gets.
    pub rate: f64,
    /// Mean size of a request, in bytes.
    pub request_bytes: f64,
    /// Mean size of an answer, in bytes.
    pub answer_bytes: f64,
}

/// Traffic by service, then by region of callers.
pub type TrafficTable = BTreeMap<Arc<str>, BTreeMap<Arc<str>, Traffic>>;

/// What a host in `region` needs of other regions, by region.
///
/// Its own region is among them for callers of other regions: the host then takes work from
/// elsewhere too.
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

/// The rate to ask for, for a mean rate.
fn requested_rate(mean: f64) -> f64 {
    mean + BURST_MARGIN * mean.sqrt()
}

/// The mean rate that a granted rate carries while few requests find no room.
fn usable(granted: f64) -> f64 {
    if !granted.is_finite() {
        return granted;
    }
    let margin = BURST_MARGIN * KEPT_MARGIN;
    let root = (margin * margin + 4.0 * granted).sqrt() - margin;
    (root / 2.0).powi(2)
}

/// The needs at their mean rates.
fn mean_needs(
    desired_splits: &DesiredSplits,
    split: &TrafficSplit,
    traffic: &TrafficTable,
    region: &str,
) -> BTreeMap<Arc<str>, Vec<Need>> {
    let table = split.table();
    let mut needs: BTreeMap<Arc<str>, Vec<Need>> = BTreeMap::new();
    for (service, callers, desired, traffic) in active_flows(desired_splits, traffic) {
        for (serving, share) in wanted_shares(desired, find_split(&table, service, callers)) {
            if is_local(region, callers, &serving) || share * traffic.rate <= 0.0 {
                continue;
            }
            let list = needs.entry(serving).or_default();
            add(list, service, share * traffic.rate, &traffic);
        }
    }
    needs
}

/// How far shares may go by what a host in `region` was lent, and at home by its own room.
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
        // What stays with a region that cannot serve is refused for certain; then it is better to
        // use all that was granted, and have a request now and then find no room.
        let not_eligible = |region: &Arc<str>| !desired.eligible.contains(region);
        let has_unservable = current.is_some_and(|shares| shares.keys().any(not_eligible));
        let mut out = Row::new();
        for (serving, share) in wanted_shares(desired, current) {
            let limit = if is_local(region, callers, &serving) {
                let now_share = current.and_then(|shares| shares.get(&serving)).copied();
                now_share.unwrap_or(0.0) + grantor.spare_rate(service, now) / traffic.rate
            } else {
                let list = needs.get(&serving);
                let need = list.and_then(|list| list.iter().find(|n| n.service == *service));
                // Callers of several regions share the grants by what each wants.
                need.map_or(0.0, |need| {
                    let granted = grantee.rate(&serving, need, now);
                    let rate = if has_unservable {
                        granted
                    } else {
                        usable(granted)
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

/// Hosts of a region that one host asks. With more, asks and grants would grow with the square of
/// the fleet; eight hold the room of a few when one or two of them end.
pub const MAX_GRANTORS: usize = 8;

/// The hosts of a region that the host `own` asks: all where they are few, else some that are its
/// own choice, so that each is asked by about as many as the others.
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

/// Whether a host may send requests without a grant: its own callers' at home.
pub fn is_local(region: &str, callers: &str, serving: &str) -> bool {
    region == callers && region == serving
}

/// All services and regions of callers with traffic.
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

fn find_split<'r>(table: &'r SplitTable, service: &str, callers: &str) -> Option<&'r Row> {
    table.get(service)?.get(callers)
}

/// The shares that a lane may have within a window: what it has, and towards its goal at most the
/// cap more. Regions that cannot serve want nothing.
fn wanted_shares<'a>(
    desired: &'a DesiredSplit,
    current: Option<&'a Row>,
) -> impl Iterator<Item = (Arc<str>, f64)> + 'a {
    desired.eligible.iter().filter_map(move |region| {
        let desired_share = desired.shares.get(region).copied().unwrap_or(0.0);
        let share = current
            .and_then(|shares| shares.get(region))
            .copied()
            .unwrap_or(0.0);
        let wanted = share.max(desired_share.min(share + desired.cap));
        (wanted > 0.0).then(|| (region.clone(), wanted))
    })
}

/// Adds a rate to a service's need; sizes are means over all callers.
fn add(list: &mut Vec<Need>, service: &Arc<str>, rate: f64, traffic: &Traffic) {
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
